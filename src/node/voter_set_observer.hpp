// voter_set_observer: the control nodes as this one sees them, for decisions on the voter set.
#pragma once

#include <map>
#include <set>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "consensus/voter_set.hpp"
#include "control/register_service.hpp"
#include "gossip/gossip_service.hpp"
#include "membership/instance_registry.hpp"
#include "node/lifecycle.hpp"
#include "node/settings.hpp"

namespace merlingauge::node {

/// Event-loop thread only; all references must outlive it.
class VoterSetObserver {
 public:
  VoterSetObserver(const Settings& settings, const Lifecycle& lifecycle,
                   const membership::InstanceRegistry& registry,
                   const control::RegisterService& registerService,
                   const gossip::GossipService& gossip);
  /// The committed voters and how every control node looks from here.
  [[nodiscard]] consensus::VoterSetView view(TimePoint now);

 private:
  [[nodiscard]] std::set<NodeId> knownControlNodes() const;
  [[nodiscard]] consensus::ControlNodeView viewOfSelf(TimePoint now) const;
  [[nodiscard]] consensus::ControlNodeView viewOfPeer(const NodeId& node, TimePoint now);

  const Settings& settings_;
  const Lifecycle& lifecycle_;
  const membership::InstanceRegistry& registry_;
  const control::RegisterService& registerService_;
  const gossip::GossipService& gossip_;
  std::map<NodeId, TimePoint> firstSeenAt_;  // of the other control nodes
};

}  // namespace merlingauge::node
