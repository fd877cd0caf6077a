// update_replicator: updates of this node that have to outlive it are held by control nodes.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "gossip/control_node_directory.hpp"
#include "gossip/gossip_dependencies.hpp"
#include "gossip/gossip_options.hpp"

namespace merlingauge::gossip {

/// Gossip brings an update to others some time after it was made; whoever acknowledges one must not
/// be the only node that knows of it. This sends it to control nodes and counts those that answer
/// that they hold it (ReplicationRequest). For a node that is no control node itself: a control
/// node is pulled from by all others, and counts by PullerProgress. Event-loop thread.
class UpdateReplicator {
 public:
  /// Called once: true as soon as enough control nodes hold the update.
  using Callback = std::function<void(bool replicated)>;

  UpdateReplicator(const GossipDependencies& dependencies, const GossipOptions& options,
                   const ControlNodeDirectory& directory)
      : dependencies_(dependencies), options_(options), directory_(directory) {}

  /// Has what is known here of the instance held by `replicas` control nodes, one at least. `done`
  /// hears false once `timeout` is over, or at the end of this node.
  void replicate(const InstanceId& id, std::size_t replicas, Duration timeout, Callback done);
  /// What is under way fails.
  void stop();

 private:
  struct Replication;
  using ReplicationPtr = std::shared_ptr<Replication>;

  void sendToNext(const ReplicationPtr& replication);
  void onResponse(const ReplicationPtr& replication, const NodeId& node, bool holds);
  void retry(const ReplicationPtr& replication);
  void finish(const ReplicationPtr& replication, bool replicated);
  [[nodiscard]] std::vector<NodeId> controlNodesInOrder() const;

  const GossipDependencies& dependencies_;
  const GossipOptions& options_;
  const ControlNodeDirectory& directory_;
  std::vector<ReplicationPtr> underWay_;
};

}  // namespace merlingauge::gossip
