#include "gossip/control_node_directory.hpp"

#include "consensus/register_value.hpp"

namespace merlingauge::gossip {

namespace {
// A sidecar needs two control nodes to pull from; with fewer it turns to the seeds.
constexpr std::size_t kEnoughControlNodes = 2;
}  // namespace

std::vector<NodeId> ControlNodeDirectory::controlNodes() const {
  const auto& registry = dependencies_.registry;
  const auto& committed = dependencies_.replica.committedValue();
  std::set<NodeId> known;
  known.insert(committed.voters.begin(), committed.voters.end());
  known.insert(committed.previousVoters.begin(), committed.previousVoters.end());
  for (const auto& node : registry.controlNodes()) {
    if (!registry.nodes().at(node).shuttingDown) known.insert(node);
  }
  for (const auto& [node, zone] : discovered_) {
    if (!registry.nodes().contains(node)) known.insert(node);
  }
  if (known.size() < kEnoughControlNodes) {
    known.insert(options_.seeds.begin(), options_.seeds.end());
  }
  return {known.begin(), known.end()};
}

std::set<NodeId> ControlNodeDirectory::inOwnZone(const std::vector<NodeId>& nodes) const {
  std::set<NodeId> near;
  const auto& known = dependencies_.registry.nodes();
  for (const auto& node : nodes) {
    const auto info = known.find(node);
    const auto hint = discovered_.find(node);
    const bool isNear = info != known.end()
                            ? info->second.zone == options_.zone
                            : hint != discovered_.end() && hint->second == options_.zone;
    if (isNear) near.insert(node);
  }
  return near;
}

std::vector<DiscoveredControlNode> ControlNodeDirectory::discoveryAnswer() const {
  std::vector<DiscoveredControlNode> answer;
  const auto& registry = dependencies_.registry;
  for (const auto& node : registry.controlNodes()) {
    const auto& info = registry.nodes().at(node);
    if (!info.shuttingDown && !info.unresponsive) answer.push_back({node, info.zone});
  }
  // A control node that restarted inside a partition has an empty registry, but the register on
  // its disk names the voters.
  for (const auto& voter : dependencies_.replica.committedValue().voters) {
    if (!registry.nodes().contains(voter)) answer.push_back({voter, ZoneName()});
  }
  return answer;
}

void ControlNodeDirectory::addDiscovered(const std::vector<DiscoveredControlNode>& nodes) {
  for (const auto& node : nodes) discovered_[node.id] = node.zone;
}

}  // namespace merlingauge::gossip
