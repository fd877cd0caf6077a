// heartbeat_router: to which control node an instance should send its heartbeats.
#pragma once

#include <optional>
#include <string>

#include "base/ids.hpp"
#include "membership/instance_registry.hpp"
#include "node/control_node_liveness.hpp"
#include "node/lifecycle.hpp"
#include "node/settings.hpp"

namespace merlingauge::node {

/// Spreads the instances over the live control nodes by rendezvous hashing. Event-loop thread only;
/// all references must outlive it.
class HeartbeatRouter {
 public:
  HeartbeatRouter(const Settings& settings, const Lifecycle& lifecycle,
                  const membership::InstanceRegistry& registry,
                  const ControlNodeLiveness& controlNodes);
  /// host:port of the control API to which the instance should turn; nothing: it stays here.
  [[nodiscard]] std::optional<std::string> targetFor(const InstanceId& id) const;

 private:
  const Settings& settings_;
  const Lifecycle& lifecycle_;
  const membership::InstanceRegistry& registry_;
  const ControlNodeLiveness& controlNodes_;
};

}  // namespace merlingauge::node
