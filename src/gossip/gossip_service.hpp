// gossip_service: spreads the registry and the committed configuration among the nodes by pulls.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "gossip/bootstrap_discovery.hpp"
#include "gossip/control_node_directory.hpp"
#include "gossip/gossip_client.hpp"
#include "gossip/gossip_coordinator.hpp"
#include "gossip/gossip_dependencies.hpp"
#include "gossip/gossip_observer.hpp"
#include "gossip/gossip_options.hpp"
#include "gossip/gossip_server.hpp"
#include "gossip/peer_contacts.hpp"
#include "gossip/peer_selector.hpp"
#include "gossip/quorum_lease.hpp"
#include "gossip/update_replicator.hpp"

namespace merlingauge::gossip {

/// One node's part in the gossip: its pulls, the pulls of others, and the quorum lease that rests
/// on both. Owns the parts and connects them; each part has its own header. Event-loop thread.
/// After stop() it starts nothing any more; it must outlive the timers and responses it waits for.
class GossipService final : private GossipCoordinator {
 public:
  GossipService(const GossipDependencies& dependencies, GossipOptions options,
                GossipObserver& observer);

  /// Starts whatever is due; called every 100 ms or so.
  void tick() override;
  /// Something here is new: held pulls are answered, a little later and together.
  void notifyUpdate() override { server_.notifyUpdate(); }
  /// One message of another node. Throws DecodeError where it is none of this protocol; `reply` is
  /// called exactly once otherwise, now or when there is an update.
  void handlePull(nlohmann::json message, GossipReplyCallback reply);
  /// Answers the held pulls and drops all responses that come later.
  void stop();
  void setSeeds(std::vector<NodeId> seeds) { options_.seeds = std::move(seeds); }

  /// Has an update of this node held by control nodes (UpdateReplicator::replicate).
  void replicate(const InstanceId& id, std::size_t replicas, Duration timeout,
                 UpdateReplicator::Callback done) {
    replicator_.replicate(id, replicas, timeout, std::move(done));
  }

  /// Asks a node that has not been heard for a while whether it is there (PeerContacts::probe).
  void probe(const NodeId& node, const std::function<void(bool reachable)>& onResult) {
    contacts_.probe(node, onResult);
  }
  /// When messages of other nodes came in: see PeerContacts.
  [[nodiscard]] bool heardWithin(const NodeId& node, Duration span) const {
    return contacts_.heardWithin(node, span);
  }
  [[nodiscard]] TimePoint lastHeard(const NodeId& node) const { return contacts_.lastHeard(node); }
  [[nodiscard]] std::vector<NodeId> unheardFor(Duration span) const {
    return contacts_.unheardFor(span);
  }
  /// Since any control node last answered, whatever it knows.
  [[nodiscard]] Duration controlContactAge() const { return contacts_.controlContactAge(); }

  /// Everything chosen longer ago than this is known here.
  [[nodiscard]] Duration stalenessAge() const { return lease_.stalenessAge(); }
  [[nodiscard]] bool isUpToDate() const { return stalenessAge() <= QuorumLease::kUpToDateBound; }
  /// Since this node's last contact with a quorum of the voters.
  [[nodiscard]] Duration quorumContactAge() const { return lease_.quorumContactAge(); }
  /// This control node may act for others (QuorumLease).
  [[nodiscard]] bool hasQuorumLease() const { return lease_.isHeld(); }
  [[nodiscard]] TimePoint leaseHeldSince() const { return lease_.heldSince(); }

  [[nodiscard]] bool hasPulled() const { return client_.hasPulled(); }
  /// How many peers are pulled from, and how many pulls of others are held.
  [[nodiscard]] std::size_t pullTargetCount() const { return client_.peerCount(); }
  [[nodiscard]] std::size_t pendingPollCount() const { return server_.pendingPollCount(); }
  /// How many other control nodes are known to hold an update (PullerProgress::replicaCount).
  [[nodiscard]] std::size_t replicaCount(const membership::Dot& dot) const {
    return server_.progress().replicaCount(dot);
  }

 private:
  void reselectSoon() override;
  void updateLease();
  void forgetOld();

  GossipDependencies dependencies_;
  GossipOptions options_;
  GossipObserver& observer_;
  ControlNodeDirectory directory_;
  PeerSelector selector_;
  PeerContacts contacts_;
  QuorumLease lease_;
  BootstrapDiscovery discovery_;
  GossipClient client_;
  GossipServer server_;
  UpdateReplicator replicator_;
  bool stopped_ = false;
};

}  // namespace merlingauge::gossip
