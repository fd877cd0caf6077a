// counterexample: a run that violates an invariant, replayed and made as short as possible.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "simulation/explorer/model.hpp"

namespace merlingauge::test::explorer {

struct Counterexample {
  std::string violation;
  std::vector<std::string> steps;
};

/// Takes the steps given as texts. One that cannot be taken is left out, unless its place is in
/// `strict`: then Broken is thrown. The steps taken are added to `taken` where it is not null.
State replay(const Model& model, const std::vector<std::string>& steps,
             const std::set<std::size_t>& strict, std::vector<std::string>* taken);

/// Leaves out steps as long as the run still ends in the same kind of violation.
Counterexample shrink(const Model& model, Counterexample found);

}  // namespace merlingauge::test::explorer
