// planted_fault: a fault that a scenario plants in the register, which the checkers must find.
#pragma once

#include <cstdint>

#include "simulation/scenario_runner.hpp"

namespace merlingauge::test::register_world {

enum class PlantedFault : std::uint8_t {
  none,
  forgottenDisk,     ///< `forgotten_disk`: a voter that lost its disk votes as if nothing had been
  forgottenChanges,  ///< `forgotten_changes`: few changes are remembered, unknown ones are rejected
  hiddenIncarnations,  ///< `hidden_incarnations`: replies say nothing of incarnations
  oldVoterRule,        ///< `old_voter_rule`: voters are chosen by the rule that was replaced
  oneMajority,         ///< `one_majority`: new voters take over without the old ones
  rejectedAhead,       ///< `rejected_ahead`: a change on a base not yet committed is a conflict
  unfencedSnapshot,    ///< `unfenced_snapshot`: a restored disk keeps the incarnation it was saved
                       ///< under
  unsyncedReplies,     ///< `unsynced_replies`: replies do not wait for the disk
};

/// The word of the line `fault WORD`; none without such a line.
PlantedFault plantedFaultOf(const Scenario& scenario);

}  // namespace merlingauge::test::register_world
