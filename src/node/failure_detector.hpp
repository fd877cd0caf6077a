// failure_detector: finds instances and nodes that have become unresponsive.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "gossip/gossip_service.hpp"
#include "membership/instance_registry.hpp"
#include "node/control_node_liveness.hpp"
#include "node/lifecycle.hpp"
#include "node/proxy_node_feed.hpp"
#include "node/settings.hpp"

namespace merlingauge::node {

/// Heartbeat expiry of the instances that report to this node and, on control nodes, failure
/// detection of other nodes. The latter follows SWIM: a node not heard for a while is suspected,
/// probed once directly, and marked unresponsive for everybody if the probe fails; a marked node
/// that is alive refutes the mark by a higher version of its own info, and is then left alone for a
/// while. Event-loop thread only; all references must outlive it.
class FailureDetector {
 public:
  FailureDetector(const Settings& settings, const Lifecycle& lifecycle,
                  membership::InstanceRegistry& registry, gossip::GossipService& gossip,
                  const ControlNodeLiveness& controlNodes, ProxyNodeFeed& proxyNodes);

  /// Marks the instances that report to this node and have missed their heartbeats.
  void expireHeartbeats(TimePoint now);
  /// For control nodes: suspects and probes nodes not heard any more, and marks the instances whose
  /// reporter is gone.
  void detectNodeFailures(TimePoint now);

 private:
  /// A node not heard here for kNodeUnheardAfter.
  struct UnheardNode {
    std::uint64_t infoVersion = 0;  ///< the newest version of its own info known here
    TimePoint ignoreUntil;          ///< it refuted a mark: no new suspicion before this time
  };
  [[nodiscard]] std::set<NodeId> findSuspects(TimePoint now);
  void probe(const NodeId& node);
  void onProbeResult(const NodeId& node, bool reachable);
  void markOrphanedInstances(TimePoint now);
  [[nodiscard]] Duration heartbeatTimeout() const;

  const Settings& settings_;
  const Lifecycle& lifecycle_;
  membership::InstanceRegistry& registry_;
  gossip::GossipService& gossip_;
  const ControlNodeLiveness& controlNodes_;
  ProxyNodeFeed& proxyNodes_;
  std::map<NodeId, UnheardNode> unheardNodes_;
  std::set<NodeId> suspects_;  // suspected at the last look; each is probed once
};

}  // namespace merlingauge::node
