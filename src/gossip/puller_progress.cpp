#include "gossip/puller_progress.hpp"

namespace merlingauge::gossip {

namespace {
// A control node pulls at least this often: the longest hold time and a little.
constexpr Duration kReplicaHeardWithin = std::chrono::milliseconds(2500);
}  // namespace

bool PullerProgress::apply(const PullRequest& request) {
  auto& vector =
      vectors_.try_emplace(request.sender, dependencies_.registry.sourceTable()).first->second;
  if (request.wholeVector) {
    vector.clear();
    sentTo_.erase(request.sender);  // a response may have been lost
  }
  for (const auto& [source, counter] : request.vectorChanges) vector.set(source, counter);
  for (const auto& source : request.removedSources) vector.erase(source);
  if (vector.hash() == request.vectorHash) return true;
  vectors_.erase(request.sender);
  sentTo_.erase(request.sender);
  return false;
}

void PullerProgress::confirm(const NodeId& puller) {
  const auto info = dependencies_.registry.nodes().find(puller);
  if (info == dependencies_.registry.nodes().end()) return;
  confirmedBy_[puller] = info->second.incarnation;
}

const membership::VersionVector& PullerProgress::vectorOf(const NodeId& puller) {
  return vectors_.try_emplace(puller, dependencies_.registry.sourceTable()).first->second;
}

bool PullerProgress::lacksUpdates(const NodeId& puller) const {
  const auto found = vectors_.find(puller);
  return found != vectors_.end() && dependencies_.registry.hasNewerThan(found->second);
}

std::size_t PullerProgress::replicaCount(const membership::Dot& dot) const {
  std::size_t count = 0;
  const auto& nodes = dependencies_.registry.nodes();
  for (const auto& [node, vector] : vectors_) {
    const auto info = nodes.find(node);
    if (info == nodes.end() || !info->second.isControlNode) continue;
    if (info->second.shuttingDown || info->second.unresponsive) continue;
    if (!contacts_.heardWithin(node, kReplicaHeardWithin)) continue;
    const auto confirmed = confirmedBy_.find(node);
    if (confirmed == confirmedBy_.end()) continue;
    if (confirmed->second != info->second.incarnation) continue;
    if (vector.counterOf(dot.source) >= dot.counter) ++count;
  }
  return count;
}

void PullerProgress::forgetUnheard(Duration age, const std::set<NodeId>& keep) {
  std::erase_if(vectors_, [&](const auto& entry) {
    return !keep.contains(entry.first) && !contacts_.heardWithin(entry.first, age);
  });
  std::erase_if(confirmedBy_, [&](const auto& entry) { return !vectors_.contains(entry.first); });
  std::erase_if(sentTo_, [&](const auto& entry) { return !vectors_.contains(entry.first); });
}

}  // namespace merlingauge::gossip
