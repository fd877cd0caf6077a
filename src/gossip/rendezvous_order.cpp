#include "gossip/rendezvous_order.hpp"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include "base/hash.hpp"

namespace merlingauge::gossip {

namespace {
struct WeightedNode {
  bool near;
  std::uint64_t weight;
  const NodeId* id;
};
}  // namespace

std::vector<NodeId> rendezvousOrder(const NodeId& self, const std::vector<NodeId>& candidates,
                                    const std::set<NodeId>& near) {
  std::vector<WeightedNode> weighted;
  weighted.reserve(candidates.size());
  for (const auto& node : candidates) {
    if (node == self) continue;
    weighted.push_back({near.contains(node), stableHash(self.str() + ">" + node.str()), &node});
  }
  std::sort(weighted.begin(), weighted.end(), [](const auto& left, const auto& right) {
    return std::tie(left.near, left.weight) > std::tie(right.near, right.weight);
  });
  std::vector<NodeId> order;
  order.reserve(weighted.size());
  for (const auto& entry : weighted) order.push_back(*entry.id);
  return order;
}

}  // namespace merlingauge::gossip
