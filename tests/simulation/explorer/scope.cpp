#include "simulation/explorer/scope.hpp"

#include <algorithm>
#include <map>

namespace merlingauge::test::explorer {

namespace {
PlantedFault faultNamed(const std::string& name) {
  static const std::map<std::string, PlantedFault> kFaults = {
      {"forgotten_disk", PlantedFault::forgottenDisk},
      {"hidden_incarnations", PlantedFault::hiddenIncarnations},
      {"late_reply", PlantedFault::lateReply},
      {"one_majority", PlantedFault::oneMajority},
      {"early_rejection", PlantedFault::earlyRejection},
      {"unread_voters", PlantedFault::unreadVoters},
      {"unsynced_replies", PlantedFault::unsyncedReplies}};
  const auto found = kFaults.find(name);
  if (found == kFaults.end()) throw Broken{"no such fault: " + name};
  return found->second;
}
}  // namespace

Scope::Scope(const Scenario& scenario) {
  for (const auto* line : linesOf(scenario, "fault")) fault = faultNamed(line->words.at(1));
  const auto voters = static_cast<std::size_t>(number(scenario, "voters", 3));
  const auto nodes =
      static_cast<std::size_t>(number(scenario, "nodes", static_cast<double>(voters)));
  for (std::size_t i = 1; i <= nodes; ++i) {
    ids.emplace_back("n" + std::to_string(i));
    if (i <= voters) firstVoters.push_back(ids.back());
  }
  for (const auto& line : scenario.lines) addTask(line.words);
  diskLosses = static_cast<int>(number(scenario, "disk_losses", 0));
  crashes = static_cast<int>(number(scenario, "crashes", 0));
  duplicates = static_cast<int>(number(scenario, "duplicates", 0));
  rounds = static_cast<int>(number(scenario, "rounds", 1));
  syncsAreSteps = number(scenario, "syncs", 0) > 0;
  heals = number(scenario, "heal", 1) >= 1;
  mostUnrecovered = (voters - 1) / 2;
}

void Scope::addTask(const std::vector<std::string>& words) {
  static const std::map<std::string, Task::Kind> kKinds = {
      {"put", Task::Kind::put}, {"read", Task::Kind::read}, {"change", Task::Kind::changeVoters}};
  const auto kind = kKinds.find(words[0]);
  if (kind == kKinds.end()) return;
  Task task;
  task.kind = kind->second;
  task.node = placeOf(words.at(1));
  task.tag = "p" + std::to_string(tasks.size() + 1);
  if (task.kind == Task::Kind::put) {
    task.base = std::stoll(words.at(2));
    if (words.size() > 3) task.tag = words[3];
  }
  if (task.kind == Task::Kind::changeVoters) {
    for (std::size_t i = 2; i < words.size(); ++i) task.voters.emplace_back(words[i]);
    nextVoters = task.voters;
  }
  tasks.push_back(std::move(task));
}

std::size_t Scope::placeOf(const std::string& name) const {
  const auto found = std::find(ids.begin(), ids.end(), NodeId(name));
  require(found != ids.end(), "no machine " + name);
  return static_cast<std::size_t>(found - ids.begin());
}

}  // namespace merlingauge::test::explorer
