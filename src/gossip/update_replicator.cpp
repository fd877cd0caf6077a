#include "gossip/update_replicator.hpp"

#include <algorithm>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>

#include "gossip/pull_messages.hpp"
#include "gossip/rendezvous_order.hpp"

namespace merlingauge::gossip {

namespace {
// A control node answers at once; after so long another one is asked beside it.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(300);
// Once all have been asked in vain: some may have found each other by then.
constexpr Duration kRetryInterval = std::chrono::milliseconds(100);
// Asked beyond those that are wanted, so that a single silent one delays nothing.
constexpr std::size_t kSpareRequests = 1;
}  // namespace

struct UpdateReplicator::Replication {
  nlohmann::json message;
  std::size_t wanted = 1;
  Callback done;  ///< empty once it was called
  std::deque<NodeId> untried;
  std::size_t inFlight = 0;
  std::set<NodeId> holders;
  Environment::TimerId deadlineTimer{};
};

void UpdateReplicator::replicate(const InstanceId& id, std::size_t replicas, Duration timeout,
                                 Callback done) {
  auto& environment = dependencies_.environment;
  const auto replication = std::make_shared<Replication>();
  const auto item = dependencies_.registry.instanceItem(id, environment.now());
  replication->message = toJson(ReplicationRequest{options_.self, nlohmann::json::parse(item)});
  replication->wanted = std::max<std::size_t>(replicas, 1);
  replication->done = std::move(done);
  underWay_.push_back(replication);
  replication->deadlineTimer =
      environment.runAfter(timeout, [this, replication] { finish(replication, false); });
  retry(replication);
}

void UpdateReplicator::stop() {
  const auto underWay = underWay_;
  for (const auto& replication : underWay) finish(replication, false);
}

void UpdateReplicator::retry(const ReplicationPtr& replication) {
  if (!replication->done) return;
  for (const auto& node : controlNodesInOrder()) {
    if (!replication->holders.contains(node)) replication->untried.push_back(node);
  }
  sendToNext(replication);
}

void UpdateReplicator::sendToNext(const ReplicationPtr& replication) {
  const std::size_t enough = replication->wanted + kSpareRequests;
  while (!replication->untried.empty() &&
         replication->inFlight + replication->holders.size() < enough) {
    const NodeId node = replication->untried.front();
    replication->untried.pop_front();
    ++replication->inFlight;
    dependencies_.environment.sendPull(
        node, replication->message, kResponseTimeout,
        [this, replication, node](const std::optional<nlohmann::json>& response) {
          onResponse(replication, node, response && holdsItems(*response));
        });
  }
  if (replication->inFlight > 0) return;
  dependencies_.environment.runAfter(kRetryInterval, [this, replication] { retry(replication); });
}

void UpdateReplicator::onResponse(const ReplicationPtr& replication, const NodeId& node,
                                  bool holds) {
  --replication->inFlight;
  if (!replication->done) return;
  if (holds) replication->holders.insert(node);
  if (replication->holders.size() >= replication->wanted) {
    finish(replication, true);
  } else {
    sendToNext(replication);
  }
}

void UpdateReplicator::finish(const ReplicationPtr& replication, bool replicated) {
  const auto done = std::exchange(replication->done, nullptr);
  if (!done) return;
  dependencies_.environment.cancel(replication->deadlineTimer);
  std::erase(underWay_, replication);
  done(replicated);
}

// Those of this zone first; those that are said to be down last.
std::vector<NodeId> UpdateReplicator::controlNodesInOrder() const {
  const auto known = directory_.controlNodes();
  auto order = rendezvousOrder(options_.self, known, directory_.inOwnZone(known));
  const auto& nodes = dependencies_.registry.nodes();
  std::stable_partition(order.begin(), order.end(), [&nodes](const NodeId& node) {
    const auto info = nodes.find(node);
    return info == nodes.end() || !info->second.isDown();
  });
  return order;
}

}  // namespace merlingauge::gossip
