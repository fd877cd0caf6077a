// control_node_liveness: which control nodes are live as seen from here, and whether this node may
// act for others.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "gossip/gossip_service.hpp"
#include "membership/instance_registry.hpp"
#include "node/lifecycle.hpp"

namespace merlingauge::node {

/// The one place that decides which control nodes count as live. Event-loop thread only; all
/// references must outlive it.
class ControlNodeLiveness {
 public:
  /// A control node heard within this time is live: a long poll lasts 2 s, so this is two of them.
  static constexpr Duration kLiveWithin = std::chrono::milliseconds(4000);

  ControlNodeLiveness(const Lifecycle& lifecycle, const membership::InstanceRegistry& registry,
                      const gossip::GossipService& gossip);

  /// A control node acts for others (failure marks, the singleton role, heartbeat targets,
  /// acknowledged deregistrations) only while it holds its quorum lease: on the minority side of a
  /// partition it knows too little. Any other node acts wherever it has something to say at all.
  [[nodiscard]] bool mayActForOthers() const;
  [[nodiscard]] bool isLive(const NodeId& node) const;
  /// Some message of that node came within kLiveWithin; always true of this node itself.
  [[nodiscard]] bool heardRecently(const NodeId& node) const;
  /// The first live control node in the instance's rendezvous order: all control nodes that see the
  /// same ones live agree on it. Empty where none is live.
  [[nodiscard]] NodeId firstLiveFor(const InstanceId& instance) const;

 private:
  const Lifecycle& lifecycle_;
  const membership::InstanceRegistry& registry_;
  const gossip::GossipService& gossip_;
};

}  // namespace merlingauge::node
