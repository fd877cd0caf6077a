#include "simulation/register/scenario_actions.hpp"

#include <map>

#include "simulation/register/previous_format.hpp"

namespace merlingauge::test::register_world {

namespace {
// The words of a line: `at`, the time, the action, its arguments.
constexpr std::size_t kTime = 1;
constexpr std::size_t kAction = 2;
constexpr std::size_t kFirstArgument = 3;

const std::string& argument(const std::vector<std::string>& words, std::size_t index) {
  return words.at(kFirstArgument + index);
}

double durationMs(const std::vector<std::string>& words) { return std::stod(argument(words, 1)); }
}  // namespace

ScenarioActions::Action ScenarioActions::actionOf(const std::string& name) {
  static const std::map<std::string, Action> kActions = {
      {"put", &ScenarioActions::put},
      {"previous_format", &ScenarioActions::previousFormat},
      {"read", &ScenarioActions::read},
      {"kill", &ScenarioActions::kill},
      {"power_loss", &ScenarioActions::kill},
      {"lose_disk", &ScenarioActions::loseDisk},
      {"snapshot", &ScenarioActions::snapshot},
      {"restore", &ScenarioActions::restore},
      {"hang", &ScenarioActions::hang},
      {"full", &ScenarioActions::full},
      {"freeze", &ScenarioActions::freeze},
      {"cut", &ScenarioActions::cut},
      {"voters", &ScenarioActions::voters},
      {"remove", &ScenarioActions::remove},
      {"start", &ScenarioActions::start},
      {"leave", &ScenarioActions::leave},
      {"tolerate", &ScenarioActions::tolerate}};
  const auto found = kActions.find(name);
  if (found == kActions.end()) throw Broken{"no such thing to do: " + name};
  return found->second;
}

void ScenarioActions::schedule(const Scenario& scenario, double untilMs) {
  for (const auto* line : linesOf(scenario, "at")) {
    scheduleOnce(std::stod(line->words.at(kTime)), line->words);
  }
  for (const auto* line : linesOf(scenario, "every")) {
    const double intervalMs = std::stod(line->words.at(kTime));
    double atMs = intervalMs;
    while (atMs < untilMs) {
      scheduleOnce(atMs, line->words);
      atMs += intervalMs;
    }
  }
}

void ScenarioActions::scheduleOnce(double atMs, const Words& words) {
  parts_.clock.after(atMs, [this, words] {
    const auto action = actionOf(words.at(kAction));
    (this->*action)(words);
  });
}

Machine& ScenarioActions::machineOf(const Words& words) const {
  return parts_.fleet.at(argument(words, 0));
}

void ScenarioActions::put(const Words& words) {
  constexpr std::size_t kName = 3;
  const bool isNamed = words.size() > kFirstArgument + kName;
  const auto name = isNamed ? argument(words, kName) : parts_.client.newName("d");
  const auto base = std::stoll(argument(words, 1));
  const auto revision = std::stoll(argument(words, 2));
  parts_.client.change(machineOf(words), {base, revision, name});
}

void ScenarioActions::previousFormat(const Words& /*words*/) {
  for (const auto& machine : parts_.fleet.machines()) {
    if (machine->disk) machine->disk->head = inPreviousFormat(machine->disk->head);
  }
}

void ScenarioActions::read(const Words& words) { parts_.proposals.read(machineOf(words)); }

void ScenarioActions::kill(const Words& words) {
  parts_.fleet.stop(machineOf(words), false, durationMs(words));
}

void ScenarioActions::loseDisk(const Words& words) {
  parts_.fleet.stop(machineOf(words), true, durationMs(words));
}

void ScenarioActions::snapshot(const Words& words) {
  auto& machine = machineOf(words);
  machine.snapshot = machine.disk;
}

void ScenarioActions::restore(const Words& words) {
  auto& machine = machineOf(words);
  parts_.fleet.stop(machine, true, durationMs(words));
  if (!machine.snapshot) return;
  machine.diskLost = false;
  if (parts_.plantedFault == PlantedFault::unfencedSnapshot) {
    // The promises since are forgotten, and nobody is asked.
    machine.disk = machine.snapshot;
    return;
  }
  const auto saved = consensus::decodeState(*machine.snapshot);
  machine.disk = consensus::encodeState(consensus::fenced(saved, parts_.clock.random()));
}

void ScenarioActions::hang(const Words& words) {
  machineOf(words).diskHungUntilMs = parts_.clock.ms() + durationMs(words);
}

void ScenarioActions::full(const Words& words) {
  auto& machine = machineOf(words);
  machine.diskFull = true;
  parts_.clock.after(durationMs(words), [&machine] { machine.diskFull = false; });
}

void ScenarioActions::freeze(const Words& words) {
  machineOf(words).frozenUntilMs = parts_.clock.ms() + durationMs(words);
}

void ScenarioActions::cut(const Words& words) {
  parts_.network.cut(NodeId(argument(words, 0)), durationMs(words));
}

void ScenarioActions::voters(const Words& words) {
  std::vector<NodeId> voters;
  for (std::size_t i = kFirstArgument + 1; i < words.size(); ++i) voters.emplace_back(words[i]);
  parts_.client.changeVoters(machineOf(words), voters);
}

void ScenarioActions::remove(const Words& words) {
  parts_.fleet.stop(machineOf(words), true, kForGoodMs);
}

void ScenarioActions::start(const Words& words) { parts_.fleet.boot(machineOf(words)); }

void ScenarioActions::leave(const Words& words) {
  parts_.fleet.leave(machineOf(words), durationMs(words));
}

void ScenarioActions::tolerate(const Words& words) {
  parts_.faults.requireTolerates(std::stoul(argument(words, 0)), durationMs(words), "by hand");
}

}  // namespace merlingauge::test::register_world
