#include "simulation/register/planted_fault.hpp"

#include <map>
#include <string>

namespace merlingauge::test::register_world {

PlantedFault plantedFaultOf(const Scenario& scenario) {
  static const std::map<std::string, PlantedFault> kFaults = {
      {"forgotten_disk", PlantedFault::forgottenDisk},
      {"forgotten_changes", PlantedFault::forgottenChanges},
      {"hidden_incarnations", PlantedFault::hiddenIncarnations},
      {"old_voter_rule", PlantedFault::oldVoterRule},
      {"one_majority", PlantedFault::oneMajority},
      {"rejected_ahead", PlantedFault::rejectedAhead},
      {"unfenced_snapshot", PlantedFault::unfencedSnapshot},
      {"unsynced_replies", PlantedFault::unsyncedReplies}};
  const auto lines = linesOf(scenario, "fault");
  if (lines.empty()) return PlantedFault::none;
  const auto& name = lines[0]->words.at(1);
  const auto found = kFaults.find(name);
  if (found == kFaults.end()) throw Broken{"no such fault: " + name};
  return found->second;
}

}  // namespace merlingauge::test::register_world
