#include "node/replication_waiter.hpp"

#include <algorithm>
#include <utility>

#include "consensus/register_value.hpp"

namespace merlingauge::node {

namespace {
// An instance gives a call to the control API one second; the rest is for the way there and back.
constexpr Duration kReplicationTimeout = std::chrono::milliseconds(800);
}  // namespace

ReplicationWaiter::ReplicationWaiter(const Settings& settings, const Lifecycle& lifecycle,
                                     const membership::InstanceRegistry& registry,
                                     const consensus::RegisterReplica& replica,
                                     gossip::GossipService& gossip,
                                     const ControlNodeLiveness& controlNodes)
    : settings_(settings),
      lifecycle_(lifecycle),
      registry_(registry),
      replica_(replica),
      gossip_(gossip),
      controlNodes_(controlNodes) {}

void ReplicationWaiter::whenReplicated(const InstanceId& id, TimePoint now, Callback done) {
  // Only control nodes are pulled from by enough others for their pulls to tell.
  if (!registry_.selfInfo().isControlNode) {
    gossip_.replicate(id, requiredHolders(), kReplicationTimeout, std::move(done));
    return;
  }
  if (!controlNodes_.mayActForOthers()) {
    done(false);
    return;
  }
  pending_.push_back({id, std::move(done), now + kReplicationTimeout});
  checkPending(now);
}

std::size_t ReplicationWaiter::requiredReplicas() const {
  const auto& voters = replica_.committedValue().voters;
  const std::size_t otherVoters = voters.empty() ? 0 : voters.size() - 1;
  // A node that shuts down doesn't count itself as a replica.
  const std::size_t self = lifecycle_.isShuttingDown() ? 1 : 0;
  return std::min(settings_.faultTolerance + self, otherVoters);
}

// This node may be lost beside as many control nodes as are tolerated: one more has to hold it.
std::size_t ReplicationWaiter::requiredHolders() const {
  const auto voters = replica_.committedValue().voters.size();
  return std::min(settings_.faultTolerance + 1, std::max<std::size_t>(voters, 1));
}

bool ReplicationWaiter::isReplicated(const InstanceId& id, std::size_t replicas) const {
  if (!controlNodes_.mayActForOthers()) return false;
  const auto dot = registry_.dotOf(id);
  return !dot || gossip_.replicaCount(*dot) >= replicas;
}

void ReplicationWaiter::checkPending(TimePoint now) {
  if (pending_.empty()) return;
  struct Completion {
    Callback done;
    bool replicated;
  };
  const std::size_t replicas = requiredReplicas();
  std::vector<Completion> completions;
  std::erase_if(pending_, [&](PendingWait& wait) {
    const bool replicated = isReplicated(wait.id, replicas);
    if (!replicated && now < wait.deadline) return false;
    completions.push_back({std::move(wait.done), replicated});
    return true;
  });
  // After the loop: a callback may add a new wait.
  for (const auto& completion : completions) completion.done(completion.replicated);
}

}  // namespace merlingauge::node
