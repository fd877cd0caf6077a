// gossip_coordinator: what the parts of the gossip service ask of the service as a whole.
#pragma once

namespace merlingauge::gossip {

/// Implemented by GossipService; keeps its parts from knowing each other.
class GossipCoordinator {
 public:
  GossipCoordinator() = default;
  virtual ~GossipCoordinator() = default;
  GossipCoordinator(const GossipCoordinator&) = delete;
  GossipCoordinator& operator=(const GossipCoordinator&) = delete;
  GossipCoordinator(GossipCoordinator&&) = delete;
  GossipCoordinator& operator=(GossipCoordinator&&) = delete;

  /// Starts whatever is due.
  virtual void tick() = 0;
  /// Selects the peers to pull from anew, after the current event.
  virtual void reselectSoon() = 0;
  /// Something here is new to peers: held pulls are answered.
  virtual void notifyUpdate() = 0;
};

}  // namespace merlingauge::gossip
