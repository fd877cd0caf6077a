// subset_selector.hpp: which instances of a service this node draws from, by rendezvous hashing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/ids.hpp"
#include "membership/instance_registry.hpp"
#include "proxy/endpoint_share.hpp"

namespace merlingauge::proxy {

/// A node that draws from instances.
struct ProxyNode {
  NodeId id;
  ZoneName zone;
  bool operator==(const ProxyNode&) const = default;
};

/// An instance this node draws from.
struct SelectedInstance {
  const membership::Instance* instance = nullptr;  ///< the caller's own
  int connections = 0;      ///< this node may hold so many to it; 0: no bound
  std::size_t sharers = 0;  ///< other nodes that draw from it as this one does
};

/// Deterministic subsetting: every instance ranks the nodes by a hash of both names (rendezvous
/// hashing) and is drawn from by those that come first. All instances have equally many, a change
/// of the fleet moves few, and nodes need not talk to each other for it.
/// A state machine without a clock; event-loop thread only.
class SubsetSelector {
 public:
  SubsetSelector(NodeId self, ZoneName zone) : self_(std::move(self)), zone_(std::move(zone)) {}

  /// All nodes that draw, this one included. True if they have changed.
  bool setNodes(std::vector<ProxyNode> nodes);
  /// The instances that this node draws from; `maxConnections`: of all nodes to one instance, 0 for
  /// no bound. The result points into `instances`.
  std::vector<SelectedInstance> select(const std::vector<membership::Instance>& instances,
                                       int maxConnections);

 private:
  struct HashedNode {
    ProxyNode node;
    std::uint64_t hash = 0;  // of its id
  };
  struct Shares {
    std::map<ZoneName, EndpointShare> byZone;
    double meanSelected = 0;  // instances that a node of this zone draws from, on average
    bool zoneHasInstances = false;
  };
  [[nodiscard]] Shares shares(const std::vector<membership::Instance>& instances,
                              int maxConnections) const;
  std::size_t rank(const membership::Instance& instance);
  void fillUp(std::vector<SelectedInstance>& selected, std::size_t wanted,
              const std::vector<SelectedInstance>& others) const;

  NodeId self_;
  ZoneName zone_;
  std::vector<HashedNode> nodes_;
  std::unordered_map<InstanceId, std::size_t> ranks_;  // cache, good while the nodes stay the same
};

}  // namespace merlingauge::proxy
