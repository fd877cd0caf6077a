#include "gossip/peer_selector.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <tuple>

#include "base/hash.hpp"
#include "gossip/rendezvous_order.hpp"

namespace merlingauge::gossip {

namespace {
// One brings the updates, the second is there for when the first fails.
constexpr std::size_t kControlNodesPerNode = 2;
// Pulls from control nodes without contact to a quorum: they bring no configuration, but updates of
// their own, from servers that report to them.
constexpr std::size_t kOutOfQuorumKept = 2;
// Candidates among the peers of this node's kind; the first that answers is pulled from.
constexpr std::size_t kNeighbourCandidates = 8;
// A puller repeats its request with each pull, and pulls at least every two seconds.
constexpr Duration kPullBackLifetime = std::chrono::milliseconds(3500);
// Repeated with each response; without any for so long, nothing is known either way.
constexpr Duration kOutOfQuorumLifetime = std::chrono::seconds(10);
}  // namespace

PeerSelection PeerSelector::select(const std::set<NodeId>& failing) {
  PeerSelection selection;
  if (options_.isControlNode) {
    // A new control node is known to nobody yet: whoever it pulls from has to pull back.
    for (const auto& node : directory_.controlNodes()) selection[node].requestPullBack = true;
  } else {
    const auto working = selectControlNodes(failing, selection);
    selectNeighbours(failing, selection);
    if (working == 0) {
      for (const auto& seed : options_.seeds) selection.try_emplace(seed);
    }
  }
  selectPullers(selection);
  selection.erase(options_.self);
  return selection;
}

std::size_t PeerSelector::selectControlNodes(const std::set<NodeId>& failing,
                                             PeerSelection& selection) {
  const auto known = directory_.controlNodes();
  // Where none has contact to a quorum, one is as good as the other.
  const bool anyInQuorum = !std::all_of(known.begin(), known.end(),
                                        [this](const NodeId& node) { return isOutOfQuorum(node); });
  std::size_t working = 0;
  std::size_t outOfQuorumKept = 0;
  for (const auto& node : rendezvousOrder(options_.self, known, directory_.inOwnZone(known))) {
    if (working >= kControlNodesPerNode) break;
    if (anyInQuorum && isOutOfQuorum(node)) {
      if (outOfQuorumKept == kOutOfQuorumKept) continue;
      ++outOfQuorumKept;
      selection[node] = {true, true};
      continue;
    }
    auto& mode = selection[node];
    if (working == 0) {
      mode.requestPullBack = true;
    } else {
      mode.lowFrequency = true;
    }
    if (!failing.contains(node)) ++working;
  }
  return working;
}

void PeerSelector::selectNeighbours(const std::set<NodeId>& failing, PeerSelection& selection) {
  for (const auto& node : neighbours()) {
    selection[node] = {true, true};
    if (!failing.contains(node)) break;
  }
}

void PeerSelector::selectPullers(PeerSelection& selection) const {
  const TimePoint now = dependencies_.environment.now();
  for (const auto& [node, request] : pullBackRequests_) {
    if (now - request.at >= kPullBackLifetime) continue;
    selection.try_emplace(node, PullMode{false, request.lowFrequency});
  }
}

// The first few nodes of this node's kind in its own order, those of its zone first. The whole
// fleet is walked for it, so only when a node has come, gone or changed.
const std::vector<NodeId>& PeerSelector::neighbours() {
  const auto& registry = dependencies_.registry;
  if (neighboursForChange_ == registry.nodeChangeCount()) return neighbours_;
  neighboursForChange_ = registry.nodeChangeCount();
  using Weighted = std::tuple<bool, std::uint64_t, const NodeId*>;
  std::vector<Weighted> candidates;
  const auto ownHash = stableHash(options_.self.str());
  for (const auto& [node, info] : registry.nodes()) {
    if (info.isControlNode || info.shuttingDown || info.unresponsive) continue;
    if (node == options_.self) continue;
    candidates.emplace_back(info.zone == options_.zone, stableHash(node.str(), ownHash), &node);
  }
  const auto last = candidates.begin() +
                    static_cast<std::ptrdiff_t>(std::min(kNeighbourCandidates, candidates.size()));
  std::partial_sort(candidates.begin(), last, candidates.end(), std::greater<>());
  neighbours_.clear();
  for (auto it = candidates.begin(); it != last; ++it) neighbours_.push_back(*std::get<2>(*it));
  return neighbours_;
}

bool PeerSelector::onPullBackRequest(const NodeId& puller, PullBack pullBack) {
  if (pullBack == PullBack::none) return false;
  const TimePoint now = dependencies_.environment.now();
  const auto [request, isNew] = pullBackRequests_.try_emplace(puller);
  const bool isFirst = isNew || now - request->second.at > kPullBackLifetime;
  request->second = {now, pullBack == PullBack::lowFrequency};
  return isFirst;
}

bool PeerSelector::isOutOfQuorum(const NodeId& controlNode) const {
  const auto found = outOfQuorumSince_.find(controlNode);
  if (found == outOfQuorumSince_.end()) return false;
  return dependencies_.environment.now() - found->second <= kOutOfQuorumLifetime;
}

bool PeerSelector::setOutOfQuorum(const NodeId& controlNode, bool outOfQuorum) {
  const bool before = isOutOfQuorum(controlNode);
  if (outOfQuorum) {
    outOfQuorumSince_[controlNode] = dependencies_.environment.now();
  } else {
    outOfQuorumSince_.erase(controlNode);
  }
  return before != outOfQuorum;
}

void PeerSelector::forgetOld(Duration requestAge) {
  const TimePoint now = dependencies_.environment.now();
  std::erase_if(outOfQuorumSince_,
                [&](const auto& entry) { return now - entry.second > kOutOfQuorumLifetime; });
  std::erase_if(pullBackRequests_,
                [&](const auto& entry) { return now - entry.second.at > requestAge; });
}

}  // namespace merlingauge::gossip
