// puller_progress: how far each node that pulls from here has come, as it says itself.
#pragma once

#include <cstddef>
#include <map>
#include <set>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "gossip/gossip_dependencies.hpp"
#include "gossip/peer_contacts.hpp"
#include "gossip/pull_messages.hpp"

namespace merlingauge::gossip {

/// One version vector a puller, kept up by the changes that its pulls carry. Decides what a puller
/// lacks, and how many control nodes hold an update. Event-loop thread.
class PullerProgress {
 public:
  PullerProgress(const GossipDependencies& dependencies, const PeerContacts& contacts)
      : dependencies_(dependencies), contacts_(contacts) {}

  /// Applies the vector changes of a pull. False where the result is not what the puller has, by
  /// its hash: it is forgotten then and has to send its whole vector.
  [[nodiscard]] bool apply(const PullRequest& request);
  /// The vector of a puller is confirmed, by the incarnation that the registry now has of it.
  void confirm(const NodeId& puller);
  /// The vector of a puller; an empty one where none is known.
  const membership::VersionVector& vectorOf(const NodeId& puller);
  /// Does the registry have any update that the puller lacks? No for an unknown puller.
  [[nodiscard]] bool lacksUpdates(const NodeId& puller) const;
  /// How many other control nodes that stay are known to hold the update `dot`. One that shuts
  /// down, is unresponsive or has started anew since it said so may hold it no more.
  [[nodiscard]] std::size_t replicaCount(const membership::Dot& dot) const;
  /// What batches of a response brought that its vector does not cover yet, since it claims nothing
  /// before the last of them. Empty where no batch is outstanding.
  membership::VersionVectorEntries& sentTo(const NodeId& puller) { return sentTo_[puller]; }
  /// The last batch was sent.
  void endBatches(const NodeId& puller) { sentTo_.erase(puller); }
  [[nodiscard]] bool knows(const NodeId& puller) const { return vectors_.contains(puller); }
  /// Drops pullers not heard for `age`, but for those in `keep`.
  void forgetUnheard(Duration age, const std::set<NodeId>& keep);

 private:
  const GossipDependencies& dependencies_;
  const PeerContacts& contacts_;
  std::map<NodeId, membership::VersionVector> vectors_;
  std::map<NodeId, membership::VersionVectorEntries> sentTo_;
  /// The incarnation that confirmed the vector: a restarted node has lost what it held, so its old
  /// vector proves nothing for the new incarnation.
  std::map<NodeId, Incarnation> confirmedBy_;
};

}  // namespace merlingauge::gossip
