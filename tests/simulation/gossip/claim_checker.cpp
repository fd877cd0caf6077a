#include "simulation/gossip/claim_checker.hpp"

#include <algorithm>

namespace merlingauge::test {

namespace {
// After a start or a partition everything is expected to be as usual again.
constexpr double kCalmAfterMs = 6000;
// A node that was linked for so long is expected to learn of changes in time.
constexpr double kLinkedForMs = 3000;
}  // namespace

bool ClaimChecker::isCalm() const {
  const double calmFrom = number(scenario_, "calm_from", 6000);
  return clock_.ms() > std::max(calmFrom, disturbedUntilMs_ + kCalmAfterMs);
}

void ClaimChecker::check() {
  const auto quorum = register_.nodesInQuorum();
  for (const auto& node : fleet_.nodes()) {
    if (!node->isUp()) continue;
    auto& state = states_[node->id];
    if (state.run != node->run) state.wasUpToDate = false;
    state.run = node->run;
    if (node->isControlNode) checkLease(*node, state, quorum.contains(node->id));
    const bool linked = std::all_of(quorum.begin(), quorum.end(), [&](const NodeId& other) {
      return network_.isLinked(node->id, other);
    });
    if (!linked || quorum.empty()) state.linkedSinceMs = clock_.ms();
    checkStaleness(*node, linked);
    checkJoin(*node, state);
    checkLateness(*node, state);
  }
}

void ClaimChecker::checkLease(const SimulatedNode& node, NodeState& state, bool inQuorum) {
  const double now = clock_.ms();
  const bool wasOut = state.outOfQuorumSinceMs >= 0;
  if (inQuorum && wasOut) state.inQuorumSinceMs = now;
  if (!inQuorum && !wasOut) state.outOfQuorumSinceMs = now;
  if (inQuorum) state.outOfQuorumSinceMs = -1;
  const bool held = node.gossip->hasQuorumLease();
  if (!inQuorum && held) {
    const double heldForMs = now - state.outOfQuorumSinceMs;
    slowestLossMs_ = std::max(slowestLossMs_, heldForMs);
    if (heldForMs > number(scenario_, "lose_within", 3100)) ++falseLeases_;
  }
  if (inQuorum && !held) {
    const double since = std::max(state.inQuorumSinceMs, node.startedAtMs);
    slowestRegainMs_ = std::max(slowestRegainMs_, now - since);
  }
  if (!isCalm()) return;
  if (!held) ++calmLosses_;
  calmContactAgeMs_ = std::max(calmContactAgeMs_, toMillis(node.gossip->quorumContactAge()));
}

void ClaimChecker::checkStaleness(const SimulatedNode& node, bool linked) {
  if (isCalm() && linked) {
    if (!node.gossip->isUpToDate()) ++calmLosses_;
    calmStalenessMs_ = std::max(calmStalenessMs_, toMillis(node.gossip->stalenessAge()));
  }
  // All that was chosen before the moment it names, it knows.
  const double knownUpToMs = clock_.ms() - toMillis(node.gossip->stalenessAge());
  for (const auto& [sequence, chosenAtMs] : register_.chosenAtMs()) {
    if (chosenAtMs < knownUpToMs && node.committed.sequence < sequence) ++falseClaims_;
  }
}

void ClaimChecker::checkJoin(const SimulatedNode& node, NodeState& state) {
  if (!node.joinsLater || state.wasUpToDate || node.committed.sequence == 0) return;
  slowestJoinMs_ = std::max(slowestJoinMs_, clock_.ms() - node.startedAtMs);
  state.wasUpToDate = node.gossip->isUpToDate();
}

void ClaimChecker::checkLateness(const SimulatedNode& node, const NodeState& state) {
  const double now = clock_.ms();
  const double linkedForMs = now - std::max(state.linkedSinceMs, node.startedAtMs);
  for (const auto& [sequence, acknowledgedAtMs] : register_.acknowledgedAtMs()) {
    if (node.committed.sequence >= sequence || linkedForMs < kLinkedForMs) continue;
    const double ageMs = now - acknowledgedAtMs;
    slowestChangeMs_ = std::max(slowestChangeMs_, ageMs);
    if (ageMs > number(scenario_, "news_within", 2500)) ++late_;
  }
}

void ClaimChecker::report(std::map<std::string, double>& measured) const {
  measured["changes"] = static_cast<double>(register_.chosenAtMs().size());
  measured["false_claims"] = falseClaims_;
  measured["false_authority"] = falseLeases_;
  measured["late"] = late_;
  measured["calm_losses"] = calmLosses_;
  measured["latest_ms"] = slowestChangeMs_;
  measured["lose_ms"] = slowestLossMs_;
  measured["regain_ms"] = slowestRegainMs_;
  measured["join_ms"] = slowestJoinMs_;
  measured["calm_authority_ms"] = calmContactAgeMs_;
  measured["calm_known_ms"] = calmStalenessMs_;
}

}  // namespace merlingauge::test
