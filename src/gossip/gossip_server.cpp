#include "gossip/gossip_server.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "consensus/register_value.hpp"

namespace merlingauge::gossip {

namespace {
// Updates of one moment go out together: a change often brings others with it.
constexpr Duration kGatherInterval = std::chrono::milliseconds(10);
// With more held pulls than this a node gathers updates for longer, in proportion: each update is
// sent to every puller.
constexpr double kPollsAtFullRate = 12;
// The items of one response to a node that is no control node, a hundred or two of instances: an
// eighth of a second on a link of 2 Mbit/s. Larger responses would be given up before they are
// whole, and a new configuration would wait behind them.
constexpr std::size_t kMaxBatchBytes = std::size_t{32} * 1024;
// To a pull that is not to be held: of the several that such a node has under way at once.
constexpr std::size_t kMaxUnheldBatchBytes = std::size_t{16} * 1024;
}  // namespace

void GossipServer::handle(const GossipRequest& request, GossipReplyCallback reply) {
  if (std::holds_alternative<ProbeRequest>(request)) {
    reply(emptyResponse());
    return;
  }
  if (std::holds_alternative<DiscoveryRequest>(request)) {
    reply(toDiscoveryResponse(parts_.directory.discoveryAnswer()));
    return;
  }
  if (const auto* replication = std::get_if<ReplicationRequest>(&request)) {
    reply(replicationResponse(holdItems(*replication)));
    return;
  }
  handlePull(std::get<PullRequest>(request), std::move(reply));
}

// True where this node counts as a replica from now on: a control node that stays and may act for
// others.
bool GossipServer::holdItems(const ReplicationRequest& request) {
  auto& registry = parts_.dependencies.registry;
  if (registry.adopt(request.items, parts_.dependencies.environment.now())) notifyUpdate();
  return parts_.options.isControlNode && parts_.lease.isHeld() && !stopped_ &&
         !registry.selfInfo().shuttingDown;
}

void GossipServer::handlePull(const PullRequest& request, GossipReplyCallback reply) {
  const auto& puller = request.sender;
  parts_.contacts.onRequest(puller);
  // Control nodes are few and must find each other fast: they need no turn.
  if (request.wholeVector && !request.fromControlNode) {
    if (const auto wait = admission_.waitFor(puller, request.vectorChanges)) {
      reply(retryAfterResponse(*wait));
      return;
    }
  }
  PendingPoll poll = pollOf(request, std::move(reply));
  const bool newPullBack = parts_.selector.onPullBackRequest(puller, request.pullBack);
  if (!progress_.apply(request)) {
    poll.reply(wholeVectorWantedResponse());
    return;
  }
  mergeItems(request);
  if (newPullBack) parts_.coordinator.reselectSoon();
  if (request.repairRanges) {
    PullResponseWriter response;
    response.addItems(parts_.dependencies.registry.itemsInRanges(
        *request.repairRanges, parts_.dependencies.environment.now()));
    poll.reply(response.finish());
    return;
  }
  progress_.confirm(puller);
  parts_.observer.onPeerProgress();
  holdOrAnswer(request, std::move(poll));
}

GossipServer::PendingPoll GossipServer::pollOf(const PullRequest& request,
                                               GossipReplyCallback reply) const {
  PendingPoll poll;
  poll.reply = std::move(reply);
  poll.valueSequence = request.valueSequence;
  poll.configTextId = request.configTextId.value_or(0);
  poll.registryDigest = request.registryDigest;
  poll.fromControlNode = request.fromControlNode;
  poll.isHeld = request.holdTime > Duration(0);
  poll.arrivedAt = parts_.dependencies.environment.readClock();
  return poll;
}

void GossipServer::mergeItems(const PullRequest& request) {
  if (!request.items) return;
  const TimePoint now = parts_.dependencies.environment.now();
  if (!parts_.dependencies.registry.merge(*request.items, {}, now)) return;
  parts_.observer.onNodesChanged();
  notifyUpdate();
}

void GossipServer::holdOrAnswer(const PullRequest& request, PendingPoll poll) {
  const auto& puller = request.sender;
  const auto lastUpdate = lastUpdateSentAt_.find(puller);
  if (lastUpdate != lastUpdateSentAt_.end() && !lacksConfiguration(poll)) {
    poll.notBefore = lastUpdate->second + updateInterval();
  }
  const bool hasUpdate = hasUpdateFor(puller, poll);
  const bool updateIsDue = hasUpdate && poll.notBefore <= parts_.dependencies.environment.now();
  if (request.holdTime == Duration(0) || stopped_ || updateIsDue) {
    answer(puller, poll, HoldResult::updated);
    return;
  }
  if (hasUpdate) notifyUpdate();
  hold(puller, request.holdTime, std::move(poll));
}

void GossipServer::hold(const NodeId& puller, Duration holdTime, PendingPoll poll) {
  auto& environment = parts_.dependencies.environment;
  poll.holdTimer = environment.runAfter(holdTime, [this, puller] { onHoldTimeOver(puller); });
  // The puller has given an older pull up, or it would not send another.
  auto older = pendingPolls_.extract(puller);
  if (!older.empty()) {
    environment.cancel(older.mapped().holdTimer);
    older.mapped().reply(emptyResponse());
  }
  pendingPolls_.emplace(puller, std::move(poll));
}

void GossipServer::onHoldTimeOver(const NodeId& puller) {
  const auto poll = pendingPolls_.extract(puller);
  if (!poll.empty()) answer(puller, poll.mapped(), HoldResult::holdTimeOver);
}

bool GossipServer::lacksConfiguration(const PendingPoll& poll) const {
  const auto& config = parts_.dependencies.replica.committedValue().config;
  return config && config->id() != poll.configTextId;
}

bool GossipServer::hasUpdateFor(const NodeId& puller, const PendingPoll& poll) const {
  if (parts_.dependencies.replica.committedValue().sequence > poll.valueSequence) return true;
  return progress_.lacksUpdates(puller);
}

Duration GossipServer::updateInterval() const {
  const double load = static_cast<double>(pendingPolls_.size()) / kPollsAtFullRate;
  const auto base = static_cast<double>(parts_.options.updateInterval.count());
  return Duration(static_cast<std::int64_t>(base * std::max(1.0, load)));
}

void GossipServer::answer(const NodeId& puller, const PendingPoll& poll, HoldResult result) {
  const auto& registry = parts_.dependencies.registry;
  auto& replica = parts_.dependencies.replica;
  const TimePoint now = parts_.dependencies.environment.now();
  const auto& theirs = progress_.vectorOf(puller);
  PullResponseWriter response;
  const auto batch = nextBatch(puller, poll);
  const auto& items = batch.items;
  const bool hasNewValue = replica.committedValue().sequence > poll.valueSequence;
  // The batches of one update follow each other without a pause.
  if (!batch.isComplete && !items.empty()) {
    lastUpdateSentAt_.erase(puller);
  } else if (!batch.isComplete || !items.empty() || hasNewValue) {
    lastUpdateSentAt_[puller] = now;
  }
  if (!items.empty()) response.addItems(items);
  // An entry says that all updates up to it are there, or what replaced them: true with the last
  // batch only.
  if (batch.isComplete) {
    const auto vectorChanges = registry.entriesAbove(theirs);
    if (!vectorChanges.empty()) response.addVectorChanges(vectorChanges);
  }
  // Nothing new on either side for the whole hold time, and yet the registries differ: a fault lost
  // an item, and the ranges tell where (anti-entropy).
  const bool differs = items.empty() && poll.registryDigest != registry.digest();
  if (result == HoldResult::holdTimeOver && differs) {
    response.addRangeDigests(registry.rangeDigests());
  }
  if (hasNewValue) response.addValue(replica.committedValueJson(poll.configTextId));
  response.addStaleness(parts_.lease.reportFor(poll.arrivedAt, poll.fromControlNode));
  poll.reply(response.finish());
}

// Control nodes get everything at once: what they hold is counted on at once, and their links are
// wide.
membership::ItemBatch GossipServer::nextBatch(const NodeId& puller, const PendingPoll& poll) {
  const auto& registry = parts_.dependencies.registry;
  const TimePoint now = parts_.dependencies.environment.now();
  const auto& theirs = progress_.vectorOf(puller);
  if (poll.fromControlNode) return {registry.itemsNewerThan(theirs, now), true};
  const auto maxBytes = poll.isHeld ? kMaxBatchBytes : kMaxUnheldBatchBytes;
  auto batch = registry.nextBatch(theirs, progress_.sentTo(puller), maxBytes, now);
  if (batch.isComplete) progress_.endBatches(puller);
  return batch;
}

void GossipServer::notifyUpdate() {
  if (answerScheduled_) return;
  answerScheduled_ = true;
  parts_.dependencies.environment.runAfter(kGatherInterval, [this] { answerDue(); });
}

// Answers the held pulls that there is an update for; those sent one a moment ago a little later.
void GossipServer::answerDue() {
  answerScheduled_ = false;
  auto& environment = parts_.dependencies.environment;
  const TimePoint now = environment.now();
  std::vector<NodeId> due;
  TimePoint nextDueAt = TimePoint::max();
  for (const auto& [puller, poll] : pendingPolls_) {
    if (!hasUpdateFor(puller, poll)) continue;
    // A new configuration waits for nothing.
    if (lacksConfiguration(poll) || poll.notBefore <= now) {
      due.push_back(puller);
    } else {
      nextDueAt = std::min(nextDueAt, poll.notBefore);
    }
  }
  for (const auto& puller : due) {
    const auto poll = pendingPolls_.extract(puller);
    environment.cancel(poll.mapped().holdTimer);
    answer(puller, poll.mapped(), HoldResult::updated);
  }
  if (nextDueAt == TimePoint::max() || answerScheduled_) return;
  answerScheduled_ = true;
  environment.runAfter(nextDueAt - now, [this] { answerDue(); });
}

void GossipServer::answerAll() {
  const auto polls = std::exchange(pendingPolls_, {});
  for (const auto& [puller, poll] : polls) {
    parts_.dependencies.environment.cancel(poll.holdTimer);
    answer(puller, poll, HoldResult::updated);
  }
}

void GossipServer::stop() {
  stopped_ = true;
  answerAll();
}

void GossipServer::forgetUnheard(Duration age) {
  std::set<NodeId> waiting;
  for (const auto& [puller, poll] : pendingPolls_) waiting.insert(puller);
  progress_.forgetUnheard(age, waiting);
  std::erase_if(lastUpdateSentAt_,
                [this](const auto& entry) { return !progress_.knows(entry.first); });
}

}  // namespace merlingauge::gossip
