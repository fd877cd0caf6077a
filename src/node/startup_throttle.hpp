// startup_throttle: keeps a control node that has just started from announcing what others still
// remember.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "gossip/gossip_service.hpp"
#include "membership/instance_registry.hpp"
#include "node/settings.hpp"

namespace merlingauge::node {

/// When all control nodes are restarted at once, each hears heartbeats of instances that it knows
/// nothing of yet; edges and sidecars outlive the restart and bring the registry back. Until then
/// such updates wait (InstanceRegistry::throttleUpdatesUntil). Event-loop thread only.
class StartupThrottle {
 public:
  StartupThrottle(const Settings& settings, membership::InstanceRegistry& registry,
                  gossip::GossipService& gossip);
  void onStart(TimePoint now);
  /// A peer has answered for the first time: unless it is a control node, its registry is here now,
  /// or it was started anew itself and nobody has one.
  void onFirstContact(const NodeId& peer, TimePoint now);

 private:
  const Settings& settings_;
  membership::InstanceRegistry& registry_;
  gossip::GossipService& gossip_;
};

}  // namespace merlingauge::node
