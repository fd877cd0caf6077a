#include "simulation/gossip/scenario_actions.hpp"

#include <set>
#include <utility>

namespace merlingauge::test {

using consensus::RegisterValue;
using membership::Instance;

namespace {
// The words of a line: `at`, the time, the action, its arguments.
constexpr std::size_t kTime = 1;
constexpr std::size_t kAction = 2;
constexpr std::size_t kFirstArgument = 3;

const std::string& argument(const std::vector<std::string>& words, std::size_t index) {
  return words.at(kFirstArgument + index);
}
}  // namespace

ScenarioActions::Action ScenarioActions::actionOf(const std::string& name) {
  static const std::map<std::string, Action> kActions = {
      {"value", &ScenarioActions::value},     {"server", &ScenarioActions::server},
      {"servers", &ScenarioActions::servers}, {"kill", &ScenarioActions::kill},
      {"gone", &ScenarioActions::gone},       {"cut", &ScenarioActions::cut},
      {"cutoff", &ScenarioActions::cutOff},   {"leave", &ScenarioActions::leave},
      {"change", &ScenarioActions::change},   {"join", &ScenarioActions::join},
      {"forget", &ScenarioActions::forget}};
  const auto found = kActions.find(name);
  if (found == kActions.end()) throw Broken{"no such thing to do: " + name};
  return found->second;
}

void ScenarioActions::schedule(const Scenario& scenario) {
  for (const auto* line : linesOf(scenario, "at")) {
    const auto words = line->words;
    parts_.clock.after(std::stod(words.at(kTime)), [this, words] {
      const auto action = actionOf(words.at(kAction));
      (this->*action)(words);
    });
  }
}

void ScenarioActions::value(const Words& words) {
  RegisterValue value;
  value.sequence = std::stoull(argument(words, 1));
  parts_.fleet.setNewestFrom(value.sequence, parts_.clock.ms());
  ++updates_;
  for (int i = 0; i < 3; ++i) value.voters.emplace_back("c" + std::to_string(i));
  if (words.size() > kFirstArgument + 2) {
    const auto bytes = std::stoul(argument(words, 2));
    value.config = config::ConfigText::create(std::string(bytes, 'x'));
  }
  parts_.fleet.learn(parts_.fleet.at(argument(words, 0)), value);
}

void ScenarioActions::server(const Words& words) {
  auto& node = parts_.fleet.at(argument(words, 0));
  const auto& status = argument(words, 2);
  Instance server;
  server.id = InstanceId(argument(words, 1));
  server.service = ServiceName("svc");
  server.sequence = ++updates_;
  server.status = status == "draining" ? Instance::Status::draining : Instance::Status::available;
  if (status == "gone") {
    node.registry->deregister(server.id, parts_.clock.now());
  } else {
    node.registry->handleHeartbeat(server, parts_.clock.now());
  }
  node.gossip->notifyUpdate();
}

void ScenarioActions::servers(const Words& words) {
  parts_.traffic.start(std::stoi(argument(words, 0)));
}

void ScenarioActions::kill(const Words& words) {
  const double downMs = std::stod(argument(words, 0));
  for (std::size_t i = kFirstArgument + 1; i < words.size(); ++i) {
    auto& node = parts_.fleet.at(words[i]);
    parts_.fleet.kill(node);
    parts_.fleet.disturb(node);
    parts_.clock.after(downMs, [this, &node] {
      parts_.fleet.start(node);
      parts_.fleet.disturb(node);
    });
  }
}

void ScenarioActions::gone(const Words& words) {
  parts_.fleet.kill(parts_.fleet.at(argument(words, 0)));
}

void ScenarioActions::cut(const Words& words) {
  const auto pairs = pairsOf(argument(words, 1), argument(words, 2));
  auto& node = parts_.fleet.at(argument(words, 1));
  parts_.network.cut(pairs);
  parts_.fleet.disturb(node);
  parts_.clock.after(std::stod(argument(words, 0)), [this, pairs, &node] {
    parts_.network.join(pairs);
    parts_.fleet.disturb(node);
  });
}

void ScenarioActions::cutOff(const Words& words) {
  const double lengthMs = std::stod(argument(words, 0));
  const auto& direction = argument(words, 1);
  const std::set<std::string> named(words.begin() + kFirstArgument + 2, words.end());
  std::set<SimulatedNetwork::NodePair> pairs;
  for (const auto& name : named) {
    for (const auto& node : parts_.fleet.nodes()) {
      if (!node->isControlNode || named.contains(node->id.str())) continue;
      if (direction != "in") pairs.emplace(NodeId(name), node->id);
      if (direction != "out") pairs.emplace(node->id, NodeId(name));
    }
  }
  parts_.network.cutOneWay(pairs);
  parts_.claims.disturbUntil(parts_.clock.ms() + lengthMs);
  parts_.clock.after(lengthMs, [this, pairs] { parts_.network.joinOneWay(pairs); });
}

void ScenarioActions::leave(const Words& words) {
  parts_.deregistrations.drain(parts_.fleet.at(argument(words, 0)), InstanceId(argument(words, 1)),
                               std::stoul(argument(words, 2)), std::stod(argument(words, 3)));
}

void ScenarioActions::change(const Words& words) {
  parts_.replicatedRegister.change(argument(words, 0), "revision at " + words.at(kTime));
}

void ScenarioActions::join(const Words& words) {
  auto& node = parts_.fleet.at(argument(words, 0));
  node.seeds.clear();
  for (std::size_t i = kFirstArgument + 1; i < words.size(); ++i) node.seeds.emplace_back(words[i]);
  parts_.fleet.start(node);
}

void ScenarioActions::forget(const Words& words) {
  const auto& node = parts_.fleet.at(argument(words, 0));
  node.registry->loseInstance(InstanceId(argument(words, 1)));
}

std::vector<SimulatedNetwork::NodePair> ScenarioActions::pairsOf(const std::string& node,
                                                                 const std::string& others) const {
  std::vector<SimulatedNetwork::NodePair> pairs;
  for (const auto& other : parts_.fleet.nodes()) {
    const bool isMeant = others == "cores" ? other->isControlNode : other->id.str() == others;
    if (isMeant) pairs.emplace_back(NodeId(node), other->id);
  }
  return pairs;
}

void ScenarioActions::report(std::map<std::string, double>& measured) const {
  measured["words"] = static_cast<double>(updates_);
}

}  // namespace merlingauge::test
