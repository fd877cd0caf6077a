#include "simulation/gossip/instance_traffic.hpp"

#include <string>

namespace merlingauge::test {

namespace {
constexpr double kHeartbeatIntervalMs = 1500;
constexpr double kRetryIntervalMs = 100;
constexpr double kStartSpreadMs = 1000;
constexpr int kFirstInstanceNumber = 100000;  // ids of one length, as real ones
}  // namespace

void InstanceTraffic::start(int instances) {
  for (int i = 0; i < instances; ++i) {
    clock_.after(clock_.uniform(0, kStartSpreadMs), [this, i] { sendHeartbeat(i, 0, 0); });
  }
}

void InstanceTraffic::sendHeartbeat(int instance, std::size_t controlNode, std::uint64_t sequence) {
  const auto controlNodes = static_cast<std::size_t>(number(scenario_, "cores", 5));
  const auto& nodes = fleet_.nodes();
  if (sequence == 0) controlNode = clock_.random() % controlNodes;
  for (std::size_t i = 0; !nodes[controlNode]->isUp() && i < controlNodes; ++i) {
    controlNode = clock_.random() % controlNodes;
  }
  auto& node = *nodes[controlNode];
  if (node.isUp()) {
    membership::Instance server;
    server.id = InstanceId("i-" + std::to_string(kFirstInstanceNumber + instance));
    server.service = ServiceName("svc");
    server.address = "10.0.0." + std::to_string(instance) + ":8080";
    server.zone = node.zone;
    server.sequence = ++sequence;
    node.registry->handleHeartbeat(server, clock_.now());
    node.gossip->notifyUpdate();
  }
  const double intervalMs = node.isUp() ? kHeartbeatIntervalMs : kRetryIntervalMs;
  clock_.after(clock_.uniform(intervalMs * 0.9, intervalMs),
               [this, instance, controlNode, sequence] {
                 sendHeartbeat(instance, controlNode, sequence + 1);
               });
}

}  // namespace merlingauge::test
