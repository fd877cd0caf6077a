// config_client: configuration changes and changes of voters, proposed through a machine.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "control/config_change.hpp"
#include "simulation/register/planted_fault.hpp"
#include "simulation/register/proposal_runner.hpp"

namespace merlingauge::test::register_world {

/// `items N`: the size of a configuration. `history N`: how many changes the register remembers.
class ConfigClient {
 public:
  ConfigClient(const Scenario& scenario, ProposalRunner& proposals, PlantedFault fault);

  CallPtr change(Machine& machine, const SentChange& sent);
  /// A change on top of whatever is in place.
  CallPtr append(Machine& machine);
  /// An operator's; with no voters it finishes the change that is half done.
  void changeVoters(Machine& machine, const std::vector<NodeId>& voters);
  /// A name that no change had before.
  std::string newName(const std::string& prefix);

 private:
  [[nodiscard]] std::string textOf(const SentChange& sent) const;
  [[nodiscard]] control::ConfigChange changeOf(const SentChange& sent) const;

  ProposalRunner& proposals_;
  PlantedFault fault_;
  int items_ = 0;
  std::size_t historyEntries_ = 0;
  int lastName_ = 0;
};

}  // namespace merlingauge::test::register_world
