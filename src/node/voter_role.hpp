// voter_role: the singleton role that keeps the voter set in line with the live control nodes.
#pragma once

#include "control/register_service.hpp"
#include "gossip/gossip_service.hpp"
#include "membership/instance_registry.hpp"
#include "node/control_node_liveness.hpp"
#include "node/lifecycle.hpp"
#include "node/settings.hpp"
#include "node/voter_set_observer.hpp"

namespace merlingauge::node {

/// Exists on control nodes only. Decides whether the role falls to this node
/// (consensus::ownsVoterSetRole on what it sees) and plays it. Two nodes that both believe to own
/// it do no harm: a voter change is a proposal that names the epoch it builds on. Event-loop thread
/// only; all references must outlive it.
class VoterRole {
 public:
  VoterRole(const Settings& settings, const Lifecycle& lifecycle,
            membership::InstanceRegistry& registry, control::RegisterService& registerService,
            gossip::GossipService& gossip, const ControlNodeLiveness& controlNodes,
            VoterSetObserver& voterSet);
  /// Announces the recovery of this node's acceptor, and changes the voters if that is due.
  void tick(TimePoint now);

 private:
  void announceRecovery();
  [[nodiscard]] bool isEligible() const;

  const Settings& settings_;
  const Lifecycle& lifecycle_;
  membership::InstanceRegistry& registry_;
  control::RegisterService& registerService_;
  gossip::GossipService& gossip_;
  const ControlNodeLiveness& controlNodes_;
  VoterSetObserver& voterSet_;
};

}  // namespace merlingauge::node
