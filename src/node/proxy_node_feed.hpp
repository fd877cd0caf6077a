// proxy_node_feed: keeps the egress informed of the nodes that carry traffic.
#pragma once

#include <cstdint>

#include "membership/instance_registry.hpp"
#include "proxy/egress.hpp"

namespace merlingauge::node {

/// Event-loop thread only; what it refers to must outlive it.
class ProxyNodeFeed {
 public:
  /// `egress`: null on a node that takes no requests of callers.
  ProxyNodeFeed(const membership::InstanceRegistry& registry, proxy::Egress* egress);
  /// Hands on the nodes of the registry if they have changed since the last call.
  void update();

 private:
  const membership::InstanceRegistry& registry_;
  proxy::Egress* egress_;
  std::uint64_t changesSeen_ = 0;  // InstanceRegistry::nodeChangeCount at the last hand-over
};

}  // namespace merlingauge::node
