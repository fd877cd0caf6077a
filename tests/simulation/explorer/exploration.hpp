// exploration: breadth-first search and random walks over the model.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "simulation/explorer/counterexample.hpp"
#include "simulation/explorer/model.hpp"

namespace merlingauge::test::explorer {

class Exploration {
 public:
  explicit Exploration(Model& model) : model_(model) {}

  /// Breadth first, so that the first counterexample is a shortest one. Ends once so many states
  /// are known, or all of them.
  std::optional<Counterexample> search(std::size_t mostStates);
  /// Each walk draws its own speeds: some links and steps are slow all along, which leads to deep
  /// and lopsided runs sooner than even chances do.
  std::optional<Counterexample> walk(std::uint64_t seed, std::size_t length);
  /// Counts the state where changes were acknowledged or rejected in it.
  void count(const State& state);
  void report(std::map<std::string, double>& measured) const;

 private:
  /// How a state was reached: by the step at this place, from this other one.
  struct Origin {
    std::uint32_t parent = 0;
    std::uint32_t step = 0;
  };
  struct Reached {
    std::uint32_t index = 0;  ///< of its origin
    State state;
  };
  [[nodiscard]] Counterexample counterexampleOf(const std::string& violation, Origin last) const;

  Model& model_;
  std::vector<Origin> origins_;
  std::size_t states_ = 0;
  std::size_t depth_ = 0;
  std::size_t searchSteps_ = 0;
  std::size_t walkSteps_ = 0;
  std::size_t acknowledged_ = 0;
  std::size_t rejected_ = 0;
  bool complete_ = false;
};

}  // namespace merlingauge::test::explorer
