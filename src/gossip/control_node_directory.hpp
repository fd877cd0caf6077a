// control_node_directory: the control nodes that this node knows of, from all sources.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "base/ids.hpp"
#include "gossip/gossip_dependencies.hpp"
#include "gossip/gossip_options.hpp"
#include "gossip/pull_messages.hpp"

namespace merlingauge::gossip {

/// Joins the voters of the committed register value, the registry, what bootstrap discovery told,
/// and the configured seeds. No I/O; event-loop thread.
class ControlNodeDirectory {
 public:
  ControlNodeDirectory(const GossipDependencies& dependencies, const GossipOptions& options)
      : dependencies_(dependencies), options_(options) {}

  /// Control nodes to pull from, in the order of their names. The seeds are among them only while
  /// fewer than two others are known.
  [[nodiscard]] std::vector<NodeId> controlNodes() const;
  /// Those of `nodes` that are in this node's zone, as far as is known.
  [[nodiscard]] std::set<NodeId> inOwnZone(const std::vector<NodeId>& nodes) const;
  /// The response to another node's bootstrap discovery.
  [[nodiscard]] std::vector<DiscoveredControlNode> discoveryAnswer() const;
  /// What bootstrap discovery told; counts for nodes that the registry does not name.
  void addDiscovered(const std::vector<DiscoveredControlNode>& nodes);
  /// The registry has been filled by a peer and names them itself.
  void forgetDiscovered() { discovered_.clear(); }

 private:
  const GossipDependencies& dependencies_;
  const GossipOptions& options_;
  std::map<NodeId, ZoneName> discovered_;
};

}  // namespace merlingauge::gossip
