// gossip_server: answers the requests of other nodes, and holds their pulls until there is an
// update.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "gossip/control_node_directory.hpp"
#include "gossip/full_sync_admission.hpp"
#include "gossip/gossip_coordinator.hpp"
#include "gossip/gossip_dependencies.hpp"
#include "gossip/gossip_observer.hpp"
#include "gossip/gossip_options.hpp"
#include "gossip/peer_contacts.hpp"
#include "gossip/peer_selector.hpp"
#include "gossip/pull_messages.hpp"
#include "gossip/puller_progress.hpp"
#include "gossip/quorum_lease.hpp"

namespace merlingauge::gossip {

/// Called exactly once with the response, now or later.
using GossipReplyCallback = std::function<void(const std::string& response)>;

/// The answering side of the pull protocol. A held pull (long poll) is answered when there is an
/// update, when its hold time is over, or when this node loses its quorum lease or stops.
/// Event-loop thread.
class GossipServer {
 public:
  struct Parts {
    const GossipDependencies& dependencies;
    const GossipOptions& options;
    GossipObserver& observer;
    GossipCoordinator& coordinator;
    const ControlNodeDirectory& directory;
    PeerSelector& selector;
    PeerContacts& contacts;
    const QuorumLease& lease;
  };
  explicit GossipServer(const Parts& parts)
      : parts_(parts),
        admission_(parts.dependencies, parts.options),
        progress_(parts.dependencies, parts.contacts) {}

  /// Answers one request of another node.
  void handle(const GossipRequest& request, GossipReplyCallback reply);
  /// There is an update: held pulls are answered, a little later and together.
  void notifyUpdate();
  /// Answers all held pulls with what there is.
  void answerAll();
  /// Holds no more pulls, and answers those that are held.
  void stop();
  /// Drops what is kept of pullers not heard for `age`.
  void forgetUnheard(Duration age);

  [[nodiscard]] std::size_t pendingPollCount() const { return pendingPolls_.size(); }
  [[nodiscard]] const PullerProgress& progress() const { return progress_; }

 private:
  /// A pull that waits for an update.
  struct PendingPoll {
    GossipReplyCallback reply;
    std::uint64_t valueSequence = 0;  ///< of the register value that the puller has
    std::uint64_t configTextId = 0;   ///< of the configuration text that it has; 0: none
    std::uint64_t registryDigest = 0;
    bool fromControlNode = false;
    bool isHeld = false;  ///< may be answered later
    Environment::TimerId holdTimer = 0;
    TimePoint notBefore;  ///< ordinary updates are gathered until then
    /// By readClock(): not before the pull was sent, whatever this process was kept from.
    TimePoint arrivedAt;
  };
  enum class HoldResult : std::uint8_t { updated, holdTimeOver };

  void handlePull(const PullRequest& request, GossipReplyCallback reply);
  bool holdItems(const ReplicationRequest& request);
  void mergeItems(const PullRequest& request);
  void holdOrAnswer(const PullRequest& request, PendingPoll poll);
  void hold(const NodeId& puller, Duration holdTime, PendingPoll poll);
  void onHoldTimeOver(const NodeId& puller);
  void answerDue();
  void answer(const NodeId& puller, const PendingPoll& poll, HoldResult result);
  /// The items of the next response to a puller.
  membership::ItemBatch nextBatch(const NodeId& puller, const PendingPoll& poll);
  [[nodiscard]] PendingPoll pollOf(const PullRequest& request, GossipReplyCallback reply) const;
  [[nodiscard]] bool lacksConfiguration(const PendingPoll& poll) const;
  [[nodiscard]] bool hasUpdateFor(const NodeId& puller, const PendingPoll& poll) const;
  [[nodiscard]] Duration updateInterval() const;

  Parts parts_;
  FullSyncAdmission admission_;
  PullerProgress progress_;
  std::map<NodeId, PendingPoll> pendingPolls_;    ///< at most one a puller
  std::map<NodeId, TimePoint> lastUpdateSentAt_;  ///< to each puller
  bool answerScheduled_ = false;
  bool stopped_ = false;
};

}  // namespace merlingauge::gossip
