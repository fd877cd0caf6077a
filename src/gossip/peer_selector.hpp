// peer_selector: decides which peers this node pulls from, and how.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "gossip/control_node_directory.hpp"
#include "gossip/gossip_dependencies.hpp"
#include "gossip/gossip_options.hpp"
#include "gossip/pull_messages.hpp"

namespace merlingauge::gossip {

/// How a selected peer is pulled from.
struct PullMode {
  /// The peer is asked to pull from here too.
  bool requestPullBack = false;
  /// Asked now and then for what has not come by others, and never held.
  bool lowFrequency = false;
};

/// The peers to pull from; one that is missing is not pulled from.
using PeerSelection = std::map<NodeId, PullMode>;

/// A control node pulls from all others. Any other node pulls from two control nodes and one peer
/// of its own kind, so that the load on a control node stays bounded, and nobody depends on one.
/// Event-loop thread.
class PeerSelector {
 public:
  PeerSelector(const GossipDependencies& dependencies, const GossipOptions& options,
               const ControlNodeDirectory& directory)
      : dependencies_(dependencies), options_(options), directory_(directory) {}

  /// `failing`: peers whose last pull failed; others are chosen beside them.
  [[nodiscard]] PeerSelection select(const std::set<NodeId>& failing);
  /// A pull asked to be pulled back. True where it is the first such request of this peer for a
  /// while: the selection has to be made anew.
  bool onPullBackRequest(const NodeId& puller, PullBack pullBack);
  /// A control node told that it has, or has lost, contact to a quorum of the voters. True where
  /// that is new.
  bool setOutOfQuorum(const NodeId& controlNode, bool outOfQuorum);
  /// Drops what peers said so long ago that it no longer holds. `requestAge`: of pull-back
  /// requests.
  void forgetOld(Duration requestAge);

 private:
  struct PullBackRequest {
    TimePoint at;
    bool lowFrequency = false;
  };

  /// Adds control nodes for a node that is none; returns how many of them work.
  std::size_t selectControlNodes(const std::set<NodeId>& failing, PeerSelection& selection);
  void selectNeighbours(const std::set<NodeId>& failing, PeerSelection& selection);
  /// Whoever pulls from here is pulled back, so that its updates get out.
  void selectPullers(PeerSelection& selection) const;
  const std::vector<NodeId>& neighbours();
  [[nodiscard]] bool isOutOfQuorum(const NodeId& controlNode) const;

  const GossipDependencies& dependencies_;
  const GossipOptions& options_;
  const ControlNodeDirectory& directory_;
  std::map<NodeId, PullBackRequest> pullBackRequests_;
  std::map<NodeId, TimePoint> outOfQuorumSince_;  ///< when each control node last said so
  std::vector<NodeId> neighbours_;
  std::uint64_t neighboursForChange_ = 0;  ///< registry change count that `neighbours_` is of
};

}  // namespace merlingauge::gossip
