#include "simulation/explorer/invariants.hpp"

#include <algorithm>

#include "consensus/quorum.hpp"
#include "simulation/explorer/value_tags.hpp"

namespace merlingauge::test::explorer {

using consensus::hasMajority;
using consensus::RegisterValue;

void Invariants::recordVote(State& state, std::size_t node,
                            const consensus::Acceptor& acceptor) const {
  const RegisterValue value = acceptor.value();
  if (acceptor.acceptedBallot().number == 0 || value.sequence == 0) return;
  std::set<NodeId> voted;
  editor_.edit(state.history, [&](History& history) {
    auto& votes = history.votes[{acceptor.acceptedBallot(), value.uniqueId}];
    // A recovered acceptor votes for what it has read only if it did so before, or has promised
    // nothing since.
    if (acceptor.state().promisedBallot == acceptor.acceptedBallot()) votes.ever.insert(node);
    votes.lostSince.erase(node);
    for (const auto voter : votes.ever) {
      if (!votes.lostSince.contains(voter)) voted.insert(scope_.ids[voter]);
    }
  });
  if (isChosen(value, voted)) recordChosen(state, value);
}

/// Which sets count depends on how far the change of voters is, whatever the value says.
bool Invariants::isChosen(const RegisterValue& value, const std::set<NodeId>& voted) const {
  const bool isJoint =
      value.epoch == 1 || tagsOf(value).ends_with(std::string(kNewVotersTag) + " ");
  const bool needsFirst = value.epoch < 2 || isJoint;
  const bool needsNext = value.epoch > 0 || isJoint;
  if (needsFirst && !hasMajority(scope_.firstVoters, voted)) return false;
  return !needsNext || hasMajority(scope_.nextVoters, voted);
}

void Invariants::recordDiskLoss(State& state, std::size_t node) const {
  editor_.edit(state.history, [node](History& history) {
    for (auto& [key, votes] : history.votes) votes.lostSince.insert(node);
  });
}

void Invariants::recordReported(State& state, const RegisterValue& value) const {
  recordChosen(state, value);
  editor_.edit(state.history, [&value](History& history) {
    history.reportedSequence = std::max(history.reportedSequence, value.sequence);
  });
}

void Invariants::recordChosen(State& state, const RegisterValue& value) const {
  if (value.sequence == 0) return;
  const auto& chosen = state.history->chosen;
  const auto same = chosen.find(value.sequence);
  if (same != chosen.end() && same->second.uniqueId == value.uniqueId) return;
  for (const auto& [sequence, other] : chosen) {
    if (sequence == value.sequence) {
      state.violation = "two values were chosen under one sequence";
    }
    const bool isOlder = sequence < value.sequence;
    const auto& newer = isOlder ? value : other;
    const auto& older = isOlder ? other : value;
    if (!tagsOf(newer).starts_with(tagsOf(older))) {
      state.violation = "a chosen value doesn't extend the one before";
    }
  }
  editor_.edit(state.history,
               [&value](History& history) { history.chosen.emplace(value.sequence, value); });
  for (const auto& tag : state.history->rejected) {
    if (hasTag(value, tag)) state.violation = "a rejected change is in force";
  }
}

void Invariants::recordAcknowledged(State& state, std::size_t proposer,
                                    const RegisterValue& value) const {
  const auto& task = scope_.tasks[proposer];
  if (!hasTag(value, task.tag)) state.violation = "acknowledged, but not in the value";
  for (const auto& other : scope_.tasks) {
    const bool isRival =
        other.kind == Task::Kind::put && other.base == task.base && other.tag != task.tag;
    if (isRival && state.history->acknowledged.contains(other.tag)) {
      state.violation = "two changes on one version were both acknowledged";
    }
  }
  editor_.edit(state.history, [&task](History& history) { history.acknowledged.insert(task.tag); });
}

void Invariants::recordRejected(State& state, std::size_t proposer) const {
  const auto& tag = scope_.tasks[proposer].tag;
  editor_.edit(state.history, [&tag](History& history) { history.rejected.insert(tag); });
  for (const auto& [sequence, value] : state.history->chosen) {
    if (hasTag(value, tag)) state.violation = "a rejected change is in force";
  }
}

}  // namespace merlingauge::test::explorer
