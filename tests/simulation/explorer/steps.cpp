#include "simulation/explorer/steps.hpp"

#include <algorithm>

namespace merlingauge::test::explorer {

namespace {
/// In the order of Step::Kind.
constexpr const char* kStepNames[] = {"start", "deliver",   "duplicate", "timeout", "sync",
                                      "crash", "lose_disk", "rejoin",    "gossip"};
}  // namespace

std::vector<Step> StepLister::stepsOf(const State& state) const {
  std::vector<Step> steps;
  addProposerSteps(state, steps);
  std::size_t unrecovered = 0;
  for (std::size_t i = 0; i < scope_.firstVoters.size(); ++i) {
    unrecovered += state.nodes[i]->acceptor.recovered() ? 0 : 1;
  }
  for (std::size_t i = 0; i < scope_.ids.size(); ++i) addNodeSteps(state, i, unrecovered, steps);
  return steps;
}

void StepLister::addProposerSteps(const State& state, std::vector<Step>& steps) const {
  for (std::size_t i = 0; i < scope_.tasks.size(); ++i) {
    const bool started = state.proposers[i]->proposer.has_value();
    if (!started && canStart(state, scope_.tasks[i])) steps.push_back({Step::Kind::start, i, 0});
  }
  for (std::size_t i = 0; i < state.inFlight.size(); ++i) {
    steps.push_back({Step::Kind::deliver, i, 0});
    if (state.duplicates < scope_.duplicates) steps.push_back({Step::Kind::duplicate, i, 0});
  }
  for (std::size_t i = 0; i < scope_.tasks.size(); ++i) {
    const auto& proposing = *state.proposers[i];
    if (proposing.proposer && !proposing.done && proposing.rounds < scope_.rounds) {
      steps.push_back({Step::Kind::timeout, i, 0});
    }
  }
}

void StepLister::addNodeSteps(const State& state, std::size_t place, std::size_t unrecovered,
                              std::vector<Step>& steps) const {
  const auto& node = *state.nodes[place];
  const bool recovered = node.acceptor.recovered();
  if (scope_.syncsAreSteps && node.unsynced) steps.push_back({Step::Kind::sync, place, 0});
  if (state.crashes < scope_.crashes) steps.push_back({Step::Kind::crash, place, 0});
  if (state.diskLosses < scope_.diskLosses &&
      (unrecovered < scope_.mostUnrecovered || !recovered)) {
    steps.push_back({Step::Kind::loseDisk, place, 0});
  }
  if (!recovered && hasVoterToAsk(node, scope_.ids[place])) {
    steps.push_back({Step::Kind::rejoin, place, 0});
  }
  for (std::size_t other = 0; other < scope_.ids.size(); ++other) {
    const bool isNewer = node.known.sequence > state.nodes[other]->known.sequence;
    if (isNewer && listensToGossip(state, other)) {
      steps.push_back({Step::Kind::gossip, place, other});
    }
  }
}

bool StepLister::hasVoterToAsk(const Node& node, const NodeId& self) const {
  const auto others = node.otherVoters(self);
  return std::any_of(others.begin(), others.end(),
                     [&node](const NodeId& other) { return !node.askedToRejoin.contains(other); });
}

/// A change of voters begins once all of the new ones are recovered.
bool StepLister::canStart(const State& state, const Task& task) const {
  return std::all_of(task.voters.begin(), task.voters.end(), [&](const NodeId& voter) {
    return state.nodes[scope_.placeOf(voter)]->acceptor.recovered();
  });
}

/// Gossip matters to nodes that will yet start from what they know.
bool StepLister::listensToGossip(const State& state, std::size_t node) const {
  if (!state.nodes[node]->acceptor.recovered()) return true;
  for (std::size_t i = 0; i < scope_.tasks.size(); ++i) {
    if (scope_.tasks[i].node == node && !state.proposers[i]->proposer) return true;
  }
  return false;
}

std::string StepLister::textOf(const State& state, const Step& step) const {
  const auto name = std::string(kStepNames[static_cast<int>(step.kind)]) + " ";
  switch (step.kind) {
    case Step::Kind::start:
    case Step::Kind::timeout:
      return name + "p" + std::to_string(step.subject + 1);
    case Step::Kind::deliver:
    case Step::Kind::duplicate:
      return name + state.inFlight[step.subject]->name;
    case Step::Kind::gossip:
      return name + scope_.ids[step.subject].str() + " " + scope_.ids[step.object].str();
    default:
      return name + scope_.ids[step.subject].str();
  }
}

std::uint64_t StepLister::classOf(const State& state, const Step& step) {
  const auto key = static_cast<std::uint64_t>(step.kind) << 32;
  if (!step.isDelivery()) return key | step.subject << 8 | step.object;
  const auto& message = *state.inFlight[step.subject];
  return key | static_cast<std::uint64_t>(message.kind) << 24 |
         static_cast<std::uint64_t>(message.request.kind) << 16 | message.sender << 8 |
         message.voter;
}

}  // namespace merlingauge::test::explorer
