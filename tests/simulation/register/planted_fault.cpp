#include "simulation/register/planted_fault.hpp"

#include <map>
#include <string>

namespace merlingauge::test::register_world {

PlantedFault plantedFaultOf(const Scenario& scenario) {
  static const std::map<std::string, PlantedFault> kFaults = {
      {"forgetful", PlantedFault::forgottenDisk},
      {"forget_orders", PlantedFault::forgottenChanges},
      {"untold", PlantedFault::hiddenIncarnations},
      {"oldrule", PlantedFault::oldVoterRule},
      {"onemajority", PlantedFault::oneMajority},
      {"refuse_ahead", PlantedFault::rejectedAhead},
      {"unfenced", PlantedFault::unfencedSnapshot},
      {"unsynced", PlantedFault::unsyncedReplies}};
  const auto lines = linesOf(scenario, "fault");
  if (lines.empty()) return PlantedFault::none;
  const auto& name = lines[0]->words.at(1);
  const auto found = kFaults.find(name);
  if (found == kFaults.end()) throw Broken{"no such fault: " + name};
  return found->second;
}

}  // namespace merlingauge::test::register_world
