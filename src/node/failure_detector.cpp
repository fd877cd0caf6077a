#include "node/failure_detector.hpp"

#include <Poco/Logger.h>

#include <utility>

namespace merlingauge::node {

namespace {
// Heartbeat intervals without a heartbeat after which an instance counts as unresponsive: one lost
// heartbeat is borne, and a delay of the next by 0.6 intervals.
constexpr double kMissedHeartbeats = 2.6;
// How long instances and nodes that are gone are remembered, so that late gossip can't revive them.
constexpr Duration kRememberGone = std::chrono::seconds(60);
// Two long polls of 2 s each and a margin: a node that is there is heard within that.
constexpr Duration kNodeUnheardAfter = std::chrono::milliseconds(4500);
// A node that refuted its mark is heard by somebody, though not from here: it gets as long again as
// it takes to find it unresponsive, twice, before it is suspected anew.
constexpr Duration kTrustAfterRefutation = 2 * kNodeUnheardAfter;

Poco::Logger& logger() { return Poco::Logger::get("node"); }
}  // namespace

FailureDetector::FailureDetector(const Settings& settings, const Lifecycle& lifecycle,
                                 membership::InstanceRegistry& registry,
                                 gossip::GossipService& gossip,
                                 const ControlNodeLiveness& controlNodes, ProxyNodeFeed& proxyNodes)
    : settings_(settings),
      lifecycle_(lifecycle),
      registry_(registry),
      gossip_(gossip),
      controlNodes_(controlNodes),
      proxyNodes_(proxyNodes) {}

Duration FailureDetector::heartbeatTimeout() const {
  return fromSeconds(toSeconds(settings_.heartbeatInterval) * kMissedHeartbeats);
}

void FailureDetector::expireHeartbeats(TimePoint now) {
  if (!registry_.expireInstances(now, heartbeatTimeout(), kRememberGone)) return;
  logger().information("an instance that reports to this node is unresponsive");
  gossip_.notifyUpdate();
}

void FailureDetector::detectNodeFailures(TimePoint now) {
  if (lifecycle_.isShuttingDown() || !controlNodes_.mayActForOthers()) return;
  auto suspects = findSuspects(now);
  suspects.swap(suspects_);
  const auto& suspectedBefore = suspects;
  for (const auto& node : suspects_) {
    if (!suspectedBefore.contains(node)) probe(node);
  }
  markOrphanedInstances(now);
}

std::set<NodeId> FailureDetector::findSuspects(TimePoint now) {
  std::set<NodeId> suspects;
  std::map<NodeId, UnheardNode> unheard;
  // Silence proves nothing while this node itself was cut off: it counts only once the quorum lease
  // has been held for longer.
  const bool silenceCounts = now - gossip_.leaseHeldSince() > kNodeUnheardAfter;
  const auto candidates =
      silenceCounts ? gossip_.unheardFor(kNodeUnheardAfter) : std::vector<NodeId>();
  for (const auto& node : candidates) {
    const auto known = registry_.nodes().find(node);
    if (known == registry_.nodes().end() || known->second.shuttingDown) continue;
    const auto& info = known->second;
    auto& entry = unheard[node];
    const auto before = unheardNodes_.find(node);
    if (before != unheardNodes_.end()) {
      entry = before->second;
      // Refuted: only the node itself raises this version.
      if (info.infoVersion > entry.infoVersion) entry.ignoreUntil = now + kTrustAfterRefutation;
    }
    entry.infoVersion = info.infoVersion;
    if (!info.unresponsive && now >= entry.ignoreUntil) suspects.insert(node);
  }
  unheardNodes_.swap(unheard);
  return suspects;
}

void FailureDetector::probe(const NodeId& node) {
  gossip_.probe(node, [this, node](bool reachable) { onProbeResult(node, reachable); });
}

void FailureDetector::onProbeResult(const NodeId& node, bool reachable) {
  if (reachable || lifecycle_.isShuttingDown() || !controlNodes_.mayActForOthers()) return;
  if (!registry_.markNodeUnresponsive(node)) return;
  logger().information("node " + node.str() + " is unresponsive");
  proxyNodes_.update();
  gossip_.notifyUpdate();
}

// The reporter of an instance is gone: nobody would notice that its heartbeats have stopped. The
// first live control node in the instance's order marks it.
void FailureDetector::markOrphanedInstances(TimePoint now) {
  const auto& self = settings_.nodeId;
  const bool changed =
      registry_.markOrphans(now, heartbeatTimeout(), [this, &self](const InstanceId& instance) {
        return controlNodes_.firstLiveFor(instance) == self;
      });
  if (!changed) return;
  proxyNodes_.update();
  gossip_.notifyUpdate();
}

}  // namespace merlingauge::node
