// gossip_observer: what the gossip service reports to the node it belongs to.
#pragma once

#include "base/ids.hpp"

namespace merlingauge::gossip {

/// Called on the event-loop thread, within the call that caused the event. It must outlive the
/// service. An observer overrides what it needs.
class GossipObserver {
 public:
  GossipObserver() = default;
  virtual ~GossipObserver() = default;
  GossipObserver(const GossipObserver&) = delete;
  GossipObserver& operator=(const GossipObserver&) = delete;
  GossipObserver(GossipObserver&&) = delete;
  GossipObserver& operator=(GossipObserver&&) = delete;

  /// The registry has taken in an update from a peer.
  virtual void onNodesChanged() {}
  /// A puller has told how far it has come: GossipService::replicaCount may have risen.
  virtual void onPeerProgress() {}
  /// A peer has answered a pull of this node for the first time.
  virtual void onFirstContact(const NodeId& /*peer*/) {}
  /// This control node has gained or lost its quorum lease.
  virtual void onLeaseChange(bool /*held*/) {}
};

}  // namespace merlingauge::gossip
