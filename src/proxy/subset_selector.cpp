#include "proxy/subset_selector.hpp"

#include <algorithm>
#include <functional>
#include <utility>

#include "base/hash.hpp"

namespace merlingauge::proxy {

namespace {
// Instances that a node draws from: eight are enough for the picker to find a short queue, three
// of other zones to have somewhere to go when the own zone fails.
constexpr SubsetTargets kTargets{8, 3};
// Hash order may leave a node with few instances: it has at least this part of the mean.
constexpr double kLeastPartOfMean = 0.5;
// Entries in the cache of ranks, of instances present and past, before it starts anew.
constexpr std::size_t kMaxCachedRanks = 4096;

// The order in which a node takes instances beyond those that rank it first.
struct Preference {
  bool sameZone = false;
  std::uint64_t hash = 0;
  std::size_t index = 0;
  auto operator<=>(const Preference&) const = default;
};
}  // namespace

bool SubsetSelector::setNodes(std::vector<ProxyNode> nodes) {
  const auto same = [](const HashedNode& a, const ProxyNode& b) { return a.node == b; };
  if (std::equal(nodes_.begin(), nodes_.end(), nodes.begin(), nodes.end(), same)) return false;
  nodes_.clear();
  for (auto& node : nodes) {
    const auto hash = stableHash(node.id.str());
    nodes_.push_back({std::move(node), hash});
  }
  ranks_.clear();
  return true;
}

// This node's place in the instance's own order of the nodes on its side: those of the instance's
// zone, or all others.
std::size_t SubsetSelector::rank(const membership::Instance& instance) {
  const auto [it, isNew] = ranks_.try_emplace(instance.id, 0);
  if (!isNew) return it->second;
  const bool sameZone = instance.zone == zone_;
  const auto own = stableHash(instance.id.str(), stableHash(self_.str()));
  for (const auto& other : nodes_) {
    if ((other.node.zone == instance.zone) != sameZone) continue;
    if (stableHash(instance.id.str(), other.hash) > own) ++it->second;
  }
  return it->second;
}

SubsetSelector::Shares SubsetSelector::shares(const std::vector<membership::Instance>& instances,
                                              int maxConnections) const {
  std::map<ZoneName, ZoneCounts> zones;
  for (const auto& instance : instances) ++zones[instance.zone].instances;
  for (const auto& other : nodes_) ++zones[other.node.zone].nodes;
  Shares out;
  for (const auto& [zone, near] : zones) {
    const ZoneCounts far{instances.size() - near.instances, nodes_.size() - near.nodes};
    const auto share = endpointShare(near, far, maxConnections, kTargets);
    out.byZone[zone] = share;
    const bool own = zone == zone_;
    const auto nodes = static_cast<double>(std::max<std::size_t>(1, own ? near.nodes : far.nodes));
    const auto drawn = (own ? share.sameZone : share.otherZones) * near.instances;
    out.meanSelected += static_cast<double>(drawn) / nodes;
  }
  out.zoneHasInstances = zones[zone_].instances > 0;
  return out;
}

std::vector<SelectedInstance> SubsetSelector::select(
    const std::vector<membership::Instance>& instances, int maxConnections) {
  if (ranks_.size() > kMaxCachedRanks) ranks_.clear();
  const auto given = shares(instances, maxConnections);
  std::vector<SelectedInstance> selected;
  std::vector<SelectedInstance> others;
  for (const auto& instance : instances) {
    const auto& share = given.byZone.at(instance.zone);
    const bool sameZone = instance.zone == zone_;
    // Nodes of other zones come only while those of its own have filled theirs.
    const std::size_t self = sameZone && share.sameZone > 0 ? 1 : 0;
    const SelectedInstance one{&instance, share.connections, share.sameZone - self};
    const auto places = sameZone ? share.sameZone : share.otherZones;
    (rank(instance) < places ? selected : others).push_back(one);
  }
  // A node whose zone has no instance lives by the others' and takes as many of them.
  const auto least =
      !given.zoneHasInstances
          ? kTargets.sameZone
          : static_cast<std::size_t>(std::max(1.0, given.meanSelected * kLeastPartOfMean));
  if (selected.size() < least) fillUp(selected, least, others);
  return selected;
}

// Adds instances in this node's own order, those of its zone first.
void SubsetSelector::fillUp(std::vector<SelectedInstance>& selected, std::size_t wanted,
                            const std::vector<SelectedInstance>& others) const {
  std::vector<Preference> order;
  for (std::size_t i = 0; i < others.size(); ++i) {
    const auto& instance = *others[i].instance;
    order.push_back({instance.zone == zone_, stableHash(self_.str() + ">" + instance.id.str()), i});
  }
  const auto missing = std::min(order.size(), wanted - selected.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(missing),
                    order.end(), std::greater<>());
  for (std::size_t i = 0; i < missing; ++i) selected.push_back(others[order[i].index]);
}

}  // namespace merlingauge::proxy
