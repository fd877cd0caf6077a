#include "node/control_node_liveness.hpp"

#include <vector>

#include "gossip/rendezvous_order.hpp"

namespace merlingauge::node {

ControlNodeLiveness::ControlNodeLiveness(const Lifecycle& lifecycle,
                                         const membership::InstanceRegistry& registry,
                                         const gossip::GossipService& gossip)
    : lifecycle_(lifecycle), registry_(registry), gossip_(gossip) {}

bool ControlNodeLiveness::mayActForOthers() const {
  return !registry_.selfInfo().isControlNode || gossip_.hasQuorumLease();
}

bool ControlNodeLiveness::isLive(const NodeId& node) const {
  if (node == registry_.selfInfo().id) return !lifecycle_.isShuttingDown();
  const auto found = registry_.nodes().find(node);
  if (found == registry_.nodes().end()) return false;
  const auto& info = found->second;
  return info.isControlNode && !info.shuttingDown && !info.unresponsive &&
         gossip_.heardWithin(node, kLiveWithin);
}

bool ControlNodeLiveness::heardRecently(const NodeId& node) const {
  return node == registry_.selfInfo().id || gossip_.heardWithin(node, kLiveWithin);
}

NodeId ControlNodeLiveness::firstLiveFor(const InstanceId& instance) const {
  std::vector<NodeId> live;
  for (const auto& node : registry_.controlNodes()) {
    if (isLive(node)) live.push_back(node);
  }
  const auto order = gossip::rendezvousOrder(NodeId(instance.str()), live, {});
  return order.empty() ? NodeId() : order.front();
}

}  // namespace merlingauge::node
