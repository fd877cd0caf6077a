// gossip_client: this node's own pulls, from sending them to merging the responses.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "gossip/control_node_directory.hpp"
#include "gossip/gossip_coordinator.hpp"
#include "gossip/gossip_dependencies.hpp"
#include "gossip/gossip_observer.hpp"
#include "gossip/gossip_options.hpp"
#include "gossip/peer_contacts.hpp"
#include "gossip/peer_selector.hpp"
#include "gossip/pull_messages.hpp"
#include "gossip/quorum_lease.hpp"

namespace merlingauge::gossip {

/// Keeps one link to each selected peer, with at most one pull in flight. A pull tells the peer how
/// far this node has come and is answered at once or when there is an update (long poll).
/// Event-loop thread.
class GossipClient {
 public:
  struct Parts {
    const GossipDependencies& dependencies;
    const GossipOptions& options;
    GossipObserver& observer;
    GossipCoordinator& coordinator;
    ControlNodeDirectory& directory;
    PeerSelector& selector;
    PeerContacts& contacts;
    QuorumLease& lease;
  };
  explicit GossipClient(const Parts& parts) : parts_(parts) {}

  /// Selects peers anew where the known nodes have changed, or now and then. True where it did.
  bool reselectIfDue();
  /// The next reselectIfDue() does it.
  void requestReselection() { selectedForChange_ = 0; }
  /// Sends the pulls that are due.
  void sendDuePulls();
  /// Responses that come later are dropped.
  void stop() { stopped_ = true; }

  /// A pull of this node has been answered by whomever, with all that it had.
  [[nodiscard]] bool hasPulled() const { return hasPulled_; }
  [[nodiscard]] std::size_t peerCount() const { return links_.size(); }

 private:
  /// A peer that is pulled from. A link that is no longer wanted ends with the pull in flight.
  struct Link {
    explicit Link(const std::shared_ptr<membership::SourceTable>& sources)
        : acknowledged(sources) {}
    bool wanted = true;
    bool inFlight = false;  ///< a pull has been sent and not been answered
    PullMode mode;
    bool answeredOnce = false;
    bool sendWholeVector = true;  ///< the peer does not know how far this node has come
    int failures = 0;             ///< in a row
    TimePoint sentAt;             ///< of the last pull, by readClock()
    TimePoint nextPullAt;
    /// What the peer knows of this node's version vector, once it has answered the last pull.
    membership::VersionVector acknowledged;
    /// Ranges of the registry, one bit each, in which the peer's digest differs (anti-entropy).
    std::uint32_t repairRanges = 0;
  };

  void select();
  void pull(const NodeId& peer);
  PullRequest buildRequest(Link& link, Duration holdTime);
  [[nodiscard]] Duration holdTimeFor(const NodeId& peer, const Link& link) const;
  [[nodiscard]] bool isNear(const NodeId& peer) const;
  void onResponse(const NodeId& peer, bool near, std::optional<nlohmann::json> message);
  void onNoResponse(Link& link);
  void onRetryAfter(Link& link, Duration wait);
  void pullEverythingAfter(Duration wait, Link& link);
  void onAnswered(const NodeId& peer, Link& link);
  bool takeIn(const NodeId& peer, const PullResponse& response);
  void merge(const NodeId& peer, const PullResponse& response);
  void updateQuorumState(const NodeId& peer, bool outOfQuorum);
  void scheduleNextPull(const NodeId& peer, bool near);
  void tickAfter(Duration delay);

  Parts parts_;
  std::map<NodeId, Link> links_;
  std::uint64_t selectedForChange_ = 0;  ///< registry change count of the last selection
  TimePoint selectedAt_;
  /// When the pull in flight to a peer that never answered was sent; TimePoint() where there is
  /// none.
  TimePoint firstContactSentAt_;
  bool hasPulled_ = false;
  bool stopped_ = false;
};

}  // namespace merlingauge::gossip
