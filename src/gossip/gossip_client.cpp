#include "gossip/gossip_client.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "base/decode_error.hpp"
#include "consensus/register_value.hpp"

namespace merlingauge::gossip {

using membership::SourceId;
using nlohmann::json;

namespace {
// How long a peer may hold a pull. Longer between zones, where bytes are charged; below
// QuorumLease::kLeaseDuration, since responses renew the lease.
constexpr Duration kHoldTimeNear = std::chrono::milliseconds(1000);
constexpr Duration kHoldTimeFar = std::chrono::milliseconds(2000);
// Between two pulls from a low-frequency peer, which are never held.
constexpr Duration kLowFrequencyIntervalNear = std::chrono::milliseconds(700);
constexpr Duration kLowFrequencyIntervalFar = std::chrono::milliseconds(1400);
// Beyond the hold time, for the network and the peer's processor.
constexpr Duration kResponseSlack = std::chrono::milliseconds(600);
// The first response of a peer may bring the whole state, which takes a small machine long.
constexpr Duration kFirstResponseTimeout = std::chrono::seconds(2);
// Constant: a peer that fails costs one small message in this time, and is soon back in use.
constexpr Duration kRetryInterval = std::chrono::milliseconds(700);
// New peers are pulled from one after the other, this long apart at most: each then only sends what
// those before it lacked.
constexpr Duration kFirstContactSpacing = std::chrono::milliseconds(400);
// Selections also rest on failures and on what peers said, which age without an event.
constexpr Duration kReselectInterval = std::chrono::milliseconds(500);
// A peer that asks for more patience does not get it.
constexpr Duration kLongestRetryAfter = std::chrono::seconds(4);
}  // namespace

bool GossipClient::reselectIfDue() {
  const TimePoint now = parts_.dependencies.environment.now();
  const auto nodeChanges = parts_.dependencies.registry.nodeChangeCount();
  if (selectedForChange_ == nodeChanges && now - selectedAt_ <= kReselectInterval) return false;
  selectedForChange_ = nodeChanges;
  selectedAt_ = now;
  select();
  return true;
}

void GossipClient::select() {
  std::set<NodeId> failing;
  for (const auto& [node, link] : links_) {
    if (link.failures > 0) failing.insert(node);
  }
  const auto selection = parts_.selector.select(failing);
  for (const auto& [node, mode] : selection) {
    links_.try_emplace(node, parts_.dependencies.registry.sourceTable());
  }
  const TimePoint now = parts_.dependencies.environment.now();
  for (auto& [node, link] : links_) {
    const auto selected = selection.find(node);
    link.wanted = selected != selection.end();
    const bool wasLowFrequency = link.mode.lowFrequency;
    link.mode = link.wanted ? selected->second : PullMode{};
    if (wasLowFrequency && !link.mode.lowFrequency && link.failures == 0) link.nextPullAt = now;
  }
  std::erase_if(links_,
                [](const auto& entry) { return !entry.second.wanted && !entry.second.inFlight; });
}

void GossipClient::sendDuePulls() {
  const TimePoint now = parts_.dependencies.environment.now();
  std::vector<NodeId> due;
  for (const auto& [node, link] : links_) {
    if (link.wanted && !link.inFlight && link.nextPullAt <= now) due.push_back(node);
  }
  for (const auto& node : due) {
    if (!links_.at(node).answeredOnce) {
      const bool anotherInFlight = firstContactSentAt_ != TimePoint();
      if (anotherInFlight && now - firstContactSentAt_ < kFirstContactSpacing) continue;
      firstContactSentAt_ = now;
    }
    pull(node);
  }
}

bool GossipClient::isNear(const NodeId& peer) const {
  const auto& nodes = parts_.dependencies.registry.nodes();
  const auto info = nodes.find(peer);
  return info != nodes.end() && info->second.zone == parts_.options.zone;
}

// A peer that has failed is only asked for a sign of life: a held pull into a partition would still
// be waited for when the partition is over.
Duration GossipClient::holdTimeFor(const NodeId& peer, const Link& link) const {
  if (!link.answeredOnce || link.mode.lowFrequency || link.failures > 0) return Duration(0);
  return isNear(peer) ? kHoldTimeNear : kHoldTimeFar;
}

void GossipClient::pull(const NodeId& peer) {
  auto& link = links_.at(peer);
  auto& environment = parts_.dependencies.environment;
  link.inFlight = true;
  link.sentAt = environment.readClock();
  const bool near = isNear(peer);
  const Duration holdTime = holdTimeFor(peer, link);
  const Duration timeout = link.answeredOnce ? holdTime + kResponseSlack : kFirstResponseTimeout;
  environment.sendPull(peer, toJson(buildRequest(link, holdTime)), timeout,
                       [this, peer, near](std::optional<json> message) {
                         onResponse(peer, near, std::move(message));
                       });
}

PullRequest GossipClient::buildRequest(Link& link, Duration holdTime) {
  const auto& registry = parts_.dependencies.registry;
  const auto& committed = parts_.dependencies.replica.committedValue();
  PullRequest request;
  request.sender = parts_.options.self;
  request.valueSequence = committed.sequence;
  request.holdTime = holdTime;
  request.vectorHash = registry.versionVector().hash();
  request.registryDigest = registry.digest();
  if (committed.config) request.configTextId = committed.config->id();
  if (link.mode.requestPullBack) {
    const bool ordinary = parts_.options.receivesHeartbeats && !link.mode.lowFrequency;
    request.pullBack = ordinary ? PullBack::ordinary : PullBack::lowFrequency;
  }
  request.fromControlNode = parts_.options.isControlNode;
  request.wholeVector = link.sendWholeVector;
  if (link.sendWholeVector) link.acknowledged.clear();
  request.vectorChanges = registry.entriesAbove(link.acknowledged);
  const auto& vector = registry.versionVector();
  // The sizes tell whether any source has left the vector: the rare case, and the only costly one.
  if (link.acknowledged.size() + request.vectorChanges.size() > vector.size()) {
    request.removedSources = link.acknowledged.sourcesMissingIn(vector);
    for (const auto& source : request.removedSources) link.acknowledged.erase(source);
  }
  if (link.repairRanges != 0) {
    request.repairRanges = link.repairRanges;
    request.items = json::parse(
        registry.itemsInRanges(link.repairRanges, parts_.dependencies.environment.now()));
    link.repairRanges = 0;
  }
  for (const auto& [source, counter] : request.vectorChanges) {
    link.acknowledged.set(source, counter);
  }
  return request;
}

void GossipClient::onResponse(const NodeId& peer, bool near, std::optional<json> message) {
  auto& link = links_.at(peer);
  link.inFlight = false;
  if (stopped_) return;
  const bool isFirst = !link.answeredOnce;
  if (isFirst) {
    firstContactSentAt_ = TimePoint();
    tickAfter(Duration(0));
  }
  if (!message) {
    onNoResponse(link);
    return;
  }
  PullResponse response;
  try {
    response = responseFromJson(std::move(*message));
  } catch (const DecodeError&) {
    onAnswered(peer, link);
    hasPulled_ = true;
    pullEverythingAfter(kRetryInterval, link);
    return;
  }
  if (response.retryAfter) {
    onRetryAfter(link, *response.retryAfter);
    return;
  }
  onAnswered(peer, link);
  hasPulled_ = hasPulled_ || !response.isPart();
  if (!takeIn(peer, response)) return;
  if (isFirst) parts_.observer.onFirstContact(peer);
  scheduleNextPull(peer, near);
}

void GossipClient::onNoResponse(Link& link) {
  ++link.failures;
  pullEverythingAfter(kRetryInterval, link);
  select();
}

void GossipClient::onRetryAfter(Link& link, Duration wait) {
  link.failures = 0;
  pullEverythingAfter(std::clamp(wait, Duration(0), kLongestRetryAfter), link);
}

// What the peer takes for received was not: the next pull says anew what is here.
void GossipClient::pullEverythingAfter(Duration wait, Link& link) {
  link.sendWholeVector = true;
  link.nextPullAt = parts_.dependencies.environment.now() + wait;
}

void GossipClient::onAnswered(const NodeId& peer, Link& link) {
  link.answeredOnce = true;
  link.failures = 0;
  parts_.contacts.onResponse(peer);
}

// False where the response can't be used: the peer is asked again a little later.
bool GossipClient::takeIn(const NodeId& peer, const PullResponse& response) {
  try {
    merge(peer, response);
  } catch (const std::exception&) {
    // A DecodeError, or a value that rests on a text that this node lacks; and whatever else
    // decoding may throw must not end the process either.
    pullEverythingAfter(kRetryInterval, links_.at(peer));
    return false;
  }
  // Only now that the value, if the response brought one, is known here.
  parts_.lease.takeIn(peer, response.staleness, links_.at(peer).sentAt);
  updateQuorumState(peer, response.staleness.outOfQuorum);
  return true;
}

void GossipClient::merge(const NodeId& peer, const PullResponse& response) {
  auto& registry = parts_.dependencies.registry;
  bool changed = false;
  if (response.items || !response.vectorChanges.empty()) {
    const json noItems = json::array();
    changed = registry.merge(response.items ? *response.items : noItems, response.vectorChanges,
                             parts_.dependencies.environment.now());
  }
  auto& link = links_.at(peer);
  link.sendWholeVector = response.wantsWholeVector;
  if (response.rangeDigests) {
    const auto own = registry.rangeDigests();
    for (std::size_t range = 0; range < own.size(); ++range) {
      if (response.rangeDigests->at(range) != own.at(range)) link.repairRanges |= 1U << range;
    }
  }
  if (response.value) {
    auto& replica = parts_.dependencies.replica;
    replica.learn(replica.decodeValue(*response.value));
  }
  if (!changed) return;
  parts_.directory.forgetDiscovered();
  parts_.observer.onNodesChanged();
  parts_.coordinator.notifyUpdate();
}

// When a control node loses its quorum, its pullers choose another one at once, and ask those that
// are only asked now and then.
void GossipClient::updateQuorumState(const NodeId& peer, bool outOfQuorum) {
  const bool changed = parts_.selector.setOutOfQuorum(peer, outOfQuorum);
  if (!changed || parts_.options.isControlNode) return;
  select();
  if (!outOfQuorum) return;
  const TimePoint now = parts_.dependencies.environment.now();
  for (auto& [node, link] : links_) {
    if (node != peer && link.failures == 0) link.nextPullAt = std::min(link.nextPullAt, now);
  }
  tickAfter(Duration(0));
}

void GossipClient::scheduleNextPull(const NodeId& peer, bool near) {
  const auto found = links_.find(peer);
  if (found == links_.end() || !found->second.wanted) return;
  auto& link = found->second;
  // A peer that wants the whole vector, or whose registry differs, is asked again at once.
  const bool nothingOwed = !link.sendWholeVector && link.repairRanges == 0;
  if (!link.mode.lowFrequency || !nothingOwed) {
    pull(peer);
    return;
  }
  const Duration wait = near ? kLowFrequencyIntervalNear : kLowFrequencyIntervalFar;
  link.nextPullAt = parts_.dependencies.environment.now() + wait;
  tickAfter(wait);
}

void GossipClient::tickAfter(Duration delay) {
  parts_.dependencies.environment.runAfter(delay, [this] { parts_.coordinator.tick(); });
}

}  // namespace merlingauge::gossip
