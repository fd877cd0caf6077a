#include "simulation/gossip/deregistration_checker.hpp"

namespace merlingauge::test {

using membership::Instance;

namespace {
constexpr double kPollMs = 2;
constexpr double kReplicationTimeoutMs = 800;
// Above every heartbeat of the instance that came before.
constexpr std::uint64_t kLastHeartbeat = 1000;
}  // namespace

void DeregistrationChecker::drain(SimulatedNode& node, const InstanceId& instance,
                                  std::size_t replicas, double killMs) {
  Instance draining;
  draining.id = instance;
  draining.service = ServiceName("svc");
  draining.sequence = kLastHeartbeat;
  draining.status = Instance::Status::draining;
  node.registry->handleHeartbeat(draining, clock_.now());
  node.gossip->notifyUpdate();
  if (node.isControlNode) {
    awaitReplicas(node, node.run, instance, replicas, killMs);
  } else {
    replicate(node, node.run, instance, replicas, killMs);
  }
}

void DeregistrationChecker::replicate(SimulatedNode& node, int run, const InstanceId& instance,
                                      std::size_t replicas, double killMs) {
  if (node.run != run) return;
  node.gossip->replicate(instance, replicas, fromMillis(kReplicationTimeoutMs),
                         [this, &node, run, instance, replicas, killMs](bool replicated) {
                           if (replicated) {
                             acknowledge(node, instance, killMs);
                           } else {
                             replicate(node, run, instance, replicas, killMs);
                           }
                         });
}

void DeregistrationChecker::awaitReplicas(SimulatedNode& node, int run, const InstanceId& instance,
                                          std::size_t replicas, double killMs) {
  if (node.run != run) return;
  const auto dot = node.registry->dotOf(instance);
  require(dot.has_value(), "the update is gone from where it was heard");
  if (node.gossip->replicaCount(*dot) < replicas) {
    clock_.after(kPollMs, [this, &node, run, instance, replicas, killMs] {
      awaitReplicas(node, run, instance, replicas, killMs);
    });
    return;
  }
  acknowledge(node, instance, killMs);
}

void DeregistrationChecker::acknowledge(SimulatedNode& node, const InstanceId& instance,
                                        double killMs) {
  acknowledgedAtMs_[instance] = clock_.ms();
  if (killMs <= 0) return;
  fleet_.kill(node);
  fleet_.disturb(node);
  clock_.after(killMs, [this, &node] { fleet_.start(node); });
}

void DeregistrationChecker::check() const {
  for (const auto& [instance, acknowledgedAtMs] : acknowledgedAtMs_) {
    if (clock_.ms() - acknowledgedAtMs < number(scenario_, "bound", 2000)) continue;
    for (const auto& node : fleet_.nodes()) {
      if (!node->isUp() || !node->gossip->hasPulled() || !fleet_.isSettled(*node)) continue;
      const auto known = node->registry->findInstance(instance);
      require(!known || known->status != Instance::Status::available,
              node->id.str() + " has not noticed that " + instance.str() + " leaves");
    }
  }
}

void DeregistrationChecker::report(std::map<std::string, double>& measured) const {
  measured["left"] = static_cast<double>(acknowledgedAtMs_.size());
}

}  // namespace merlingauge::test
