// peer_contacts: when each other node was last heard, and probes of those that were not.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "gossip/gossip_dependencies.hpp"
#include "gossip/gossip_options.hpp"

namespace merlingauge::gossip {

/// Contacts of this node alone. That a node is not heard here proves nothing of the node: after a
/// probe the failure detector tells others of a suspicion, which the node itself can refute (SWIM).
/// Event-loop thread.
class PeerContacts {
 public:
  PeerContacts(const GossipDependencies& dependencies, const GossipOptions& options)
      : dependencies_(dependencies), options_(options) {}

  /// `node` has sent a request.
  void onRequest(const NodeId& node);
  /// `node` has answered a pull of this node.
  void onResponse(const NodeId& node);
  /// Asks a node whether it is there, and calls `onResult` with the answer. One that is there but
  /// not heard pulls from other nodes by now: it is forgotten here and theirs to watch.
  void probe(const NodeId& node, const std::function<void(bool reachable)>& onResult);

  [[nodiscard]] bool heardWithin(const NodeId& node, Duration span) const;
  /// The epoch of the clock for a node never heard.
  [[nodiscard]] TimePoint lastHeard(const NodeId& node) const;
  /// Nodes that were heard once, but not for `span`.
  [[nodiscard]] std::vector<NodeId> unheardFor(Duration span) const;
  /// Since any control node last answered a pull; Duration::max() where none ever did.
  [[nodiscard]] Duration controlContactAge() const;
  /// Drops contacts older than `age` with nodes that the registry no longer has.
  void forgetUnknown(Duration age);

 private:
  const GossipDependencies& dependencies_;
  const GossipOptions& options_;
  std::map<NodeId, TimePoint> lastHeard_;
  std::map<NodeId, TimePoint> lastResponse_;
};

}  // namespace merlingauge::gossip
