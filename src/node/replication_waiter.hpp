// replication_waiter: holds back the acknowledgement of a deregistration until enough control nodes
// know of it.
#pragma once

#include <functional>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "consensus/register_replica.hpp"
#include "gossip/gossip_service.hpp"
#include "membership/instance_registry.hpp"
#include "node/control_node_liveness.hpp"
#include "node/lifecycle.hpp"
#include "node/settings.hpp"

namespace merlingauge::node {

/// A deregistration must outlive the loss of as many control nodes as may be lost at once, and of
/// the node that acknowledges it: any node's process may end right after. Event-loop thread only;
/// all references must outlive it.
class ReplicationWaiter {
 public:
  /// Called once: true if enough replicas hold the update.
  using Callback = std::function<void(bool replicated)>;

  ReplicationWaiter(const Settings& settings, const Lifecycle& lifecycle,
                    const membership::InstanceRegistry& registry,
                    const consensus::RegisterReplica& replica, gossip::GossipService& gossip,
                    const ControlNodeLiveness& controlNodes);

  /// Calls `done` once what is known here of the instance is replicated, or false after a time-out,
  /// or at once where this node can't know; the instance then asks another node. May call before
  /// it returns.
  void whenReplicated(const InstanceId& id, TimePoint now, Callback done);
  /// Completes the waits that are over. Called at each tick and whenever a peer has made progress.
  void checkPending(TimePoint now);

 private:
  struct PendingWait {
    InstanceId id;
    Callback done;
    TimePoint deadline;
  };
  /// How many other control nodes must hold an update of this control node.
  [[nodiscard]] std::size_t requiredReplicas() const;
  /// How many control nodes must hold an update of this node, which is none.
  [[nodiscard]] std::size_t requiredHolders() const;
  [[nodiscard]] bool isReplicated(const InstanceId& id, std::size_t replicas) const;

  const Settings& settings_;
  const Lifecycle& lifecycle_;
  const membership::InstanceRegistry& registry_;
  const consensus::RegisterReplica& replica_;
  gossip::GossipService& gossip_;
  const ControlNodeLiveness& controlNodes_;
  std::vector<PendingWait> pending_;
};

}  // namespace merlingauge::node
