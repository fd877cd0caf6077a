// simulated_node.cpp: the gossip of one node without sockets or real time.
#include "compatibility/simulated_node.hpp"

#include <algorithm>
#include <utility>

namespace merlingauge::test {

SimulatedNode::SimulatedNode(const NodeId& id, bool isControlNode, Incarnation incarnation,
                             std::vector<NodeId> seeds)
    : registry(
          membership::NodeInfo{id, ZoneName("z"), isControlNode, false, false, 0, Incarnation{}},
          incarnation) {
  gossip::GossipOptions options;
  options.self = id;
  options.zone = ZoneName("z");
  options.seeds = std::move(seeds);
  options.isControlNode = isControlNode;
  options.fullSyncInterval = std::chrono::milliseconds(300);
  service = std::make_unique<gossip::GossipService>(
      gossip::GossipDependencies{environment_, registry, replica_, stalenessBound},
      std::move(options), observer_);
}

nlohmann::json SimulatedNode::serve(const nlohmann::json& pull) {
  nlohmann::json out;
  service->handlePull(pull, [&out](const std::string& text) { out = nlohmann::json::parse(text); });
  return out;
}

void SimulatedNode::advance(Duration span) {
  now_ += span;
  for (auto it = timers_.begin(); it != timers_.end(); it = timers_.begin()) {
    const auto due =
        std::find_if(it, timers_.end(), [&](const auto& timer) { return timer.second.at <= now_; });
    if (due == timers_.end()) break;
    const auto work = timers_.extract(due).mapped().work;
    work();
  }
  service->tick();
}

}  // namespace merlingauge::test
