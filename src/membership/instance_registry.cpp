#include "membership/instance_registry.hpp"

#include <algorithm>
#include <utility>

namespace merlingauge::membership {

using nlohmann::json;

namespace {

// Forgetting walks all that is known, so not with every tick; a second matters little beside the
// minutes for which ended items are kept.
constexpr Duration kForgetInterval = std::chrono::seconds(1);

// Items are joined by commas; the list is closed by its caller.
void startItem(std::string& list) { list += list.empty() ? '[' : ','; }

}  // namespace

InstanceRegistry::InstanceRegistry(NodeInfo self, Incarnation incarnation)
    : self_(self.id), dots_(sourceIdOf(self_, incarnation)) {
  self.infoVersion = 1;
  self.incarnation = incarnation;
  writeNode(self);
}

// ---- Writing items.

// An item stands at one dot at a time: the earlier one is removed before the new one is inserted.
void InstanceRegistry::put(Instance instance, Dot dot, TimePoint closedAt) {
  if (const auto* held = instances_.find(instance.id)) dots_.remove(held->dot);
  dots_.insert(dot, instance.id);
  instances_.put(std::move(instance), std::move(dot), closedAt);
}

void InstanceRegistry::putNode(const NodeInfo& info, Dot dot) {
  if (nodes_.find(info.id) != nullptr) dots_.remove(nodes_.dotOf(info.id));
  dots_.insert(dot, info.id);
  nodes_.put(info, std::move(dot), lastNow_);
}

void InstanceRegistry::write(Instance instance, TimePoint now) {
  put(std::move(instance), dots_.nextDot(lastNow_), now);
}

void InstanceRegistry::writeNode(const NodeInfo& info) { putNode(info, dots_.nextDot(lastNow_)); }

void InstanceRegistry::writeUnresponsive(const std::vector<InstanceId>& ids, TimePoint now) {
  for (const auto& id : ids) {
    Instance update = instances_.find(id)->instance;
    update.unresponsive = true;
    write(std::move(update), now);
  }
}

void InstanceRegistry::erase(const InstanceId& id) {
  const auto* held = instances_.find(id);
  if (held == nullptr) return;
  dots_.remove(held->dot);
  instances_.erase(id);
}

void InstanceRegistry::eraseNode(const NodeId& id) {
  if (nodes_.find(id) == nullptr) return;
  dots_.remove(nodes_.dotOf(id));
  nodes_.erase(id);
}

// ---- Observations of this node.

std::optional<InstanceRegistry::HeartbeatResult> InstanceRegistry::resultWithoutUpdate(
    const Instance& held, const Instance& server) const {
  if (held.status == Instance::Status::gone) return HeartbeatResult::stale;
  if (describeSameState(held, server) && held.reporter == self_ && !held.unresponsive) {
    return HeartbeatResult::unchanged;
  }
  // A later heartbeat of the same instance has reached another node before this one came here.
  if (server.sequence < held.sequence) return HeartbeatResult::stale;
  return std::nullopt;
}

InstanceRegistry::HeartbeatResult InstanceRegistry::handleHeartbeat(const Instance& server,
                                                                    TimePoint now) {
  lastNow_ = now;
  if (!expiry_.recordHeartbeat(server.id, server.sequence, now)) return HeartbeatResult::stale;
  const auto* item = instances_.find(server.id);
  if (item != nullptr) {
    if (const auto result = resultWithoutUpdate(item->instance, server)) return *result;
  }
  Instance update = server;
  update.reporter = self_;
  if (throttle_.mayDefer(item, update, now)) {
    throttle_.defer(std::move(update));
    return HeartbeatResult::unchanged;
  }
  throttle_.drop(update.id);
  if (item != nullptr) {
    const auto& held = item->instance;
    update.status = std::max(update.status, held.status);
    update.failingTenths = held.reporter == self_ ? held.failingTenths : 0;
    update.reporterEdit = nextReporterEdit(held, update);
  }
  write(std::move(update), now);
  return HeartbeatResult::changed;
}

bool InstanceRegistry::deregister(const InstanceId& id, TimePoint now) {
  lastNow_ = now;
  const auto* item = instances_.find(id);
  Instance update;
  if (item != nullptr) {
    update = item->instance;
    if (update.status == Instance::Status::gone) return false;
  }
  update.id = id;
  update.status = Instance::Status::gone;
  update.reporter = self_;
  write(std::move(update), now);
  return true;
}

bool InstanceRegistry::markUnresponsive(const InstanceId& id, TimePoint now) {
  lastNow_ = now;
  const auto* item = instances_.find(id);
  if (item == nullptr || item->instance.isClosed()) return false;
  writeUnresponsive({id}, now);
  return true;
}

bool InstanceRegistry::setFailingTenths(const InstanceId& id, int tenths) {
  const auto* item = instances_.find(id);
  if (item == nullptr || item->instance.reporter != self_) return false;
  if (item->instance.failingTenths == tenths) return false;
  Instance update = item->instance;
  update.failingTenths = tenths;
  ++update.reporterEdit;
  write(std::move(update), lastNow_);
  return true;
}

void InstanceRegistry::announceShutdown() {
  auto info = selfInfo();
  info.shuttingDown = true;
  writeNode(info);
}

void InstanceRegistry::announceRecovered(bool recovered) {
  auto info = selfInfo();
  if (info.recovered == recovered) return;
  info.recovered = recovered;
  ++info.infoVersion;
  writeNode(info);
}

bool InstanceRegistry::markNodeUnresponsive(const NodeId& id) {
  const auto* held = nodes_.find(id);
  if (held == nullptr || held->isDown() || id == self_) return false;
  auto info = *held;
  info.unresponsive = true;
  writeNode(info);
  return true;
}

// ---- Time.

bool InstanceRegistry::releaseThrottledUpdates(TimePoint now) {
  auto due = throttle_.takeDue(now, instances_, self_);
  for (auto& update : due) write(std::move(update), now);
  return !due.empty();
}

bool InstanceRegistry::expireInstances(TimePoint now, Duration heartbeatTimeout,
                                       Duration forgetAfter) {
  lastNow_ = now;
  const auto timedOut = expiry_.takeTimedOut(now, {heartbeatTimeout, forgetAfter});
  writeUnresponsive(timedOut, now);
  if (now >= forgetEndedAt_) {
    forgetEndedAt_ = now + kForgetInterval;
    forgetEnded(now, forgetAfter);
  }
  return !timedOut.empty();
}

void InstanceRegistry::forgetEnded(TimePoint now, Duration forgetAfter) {
  for (const auto& id : expiry_.longClosed(now, forgetAfter)) {
    erase(id);
    expiry_.forget(id);
  }
  std::vector<NodeId> longDown;
  for (const auto& [id, since] : nodes_.downSince()) {
    if (id != self_ && now - since > kForgetDelay) longDown.push_back(id);
  }
  for (const auto& id : longDown) eraseNode(id);
  dots_.forgetIdleSources(now);
}

bool InstanceRegistry::markOrphans(TimePoint now, Duration heartbeatTimeout,
                                   const std::function<bool(const InstanceId&)>& isMine) {
  lastNow_ = now;
  const auto orphans = expiry_.orphans(now, heartbeatTimeout, nodes_, isMine);
  writeUnresponsive(orphans, now);
  return !orphans.empty();
}

// ---- Exchange with peers.

bool InstanceRegistry::hasNewerThan(const VersionVector& seen) const {
  return dots_.hasNewerThan(seen);
}

VersionVectorEntries InstanceRegistry::entriesAbove(const VersionVector& seen) const {
  return dots_.entriesAbove(seen);
}

void InstanceRegistry::appendItem(const ItemKey& key, TimePoint now, std::string& list) const {
  startItem(list);
  if (const auto* node = std::get_if<NodeId>(&key)) {
    nodes_.appendText(*node, list);
  } else {
    InstanceTable::appendText(instances_.items().at(std::get<InstanceId>(key)), now, list);
  }
}

std::string InstanceRegistry::itemsNewerThan(const VersionVector& seen, TimePoint now) const {
  std::string list;
  dots_.forEachNewerThan(seen, [&](const ItemKey& key) { appendItem(key, now, list); });
  if (!list.empty()) list += ']';
  return list;
}

ItemBatch InstanceRegistry::nextBatch(const VersionVector& seen, VersionVectorEntries& sent,
                                      std::size_t maxBytes, TimePoint now) const {
  ItemBatch batch;
  batch.isComplete = dots_.forEachUnsent(seen, sent, [&](const Dot& dot, const ItemKey& key) {
    if (batch.items.size() >= maxBytes) return false;
    appendItem(key, now, batch.items);
    sent[dot.source] = dot.counter;
    return true;
  });
  if (batch.isComplete) appendBeyondVector(seen, maxBytes, now, batch);
  if (!batch.items.empty()) batch.items += ']';
  return batch;
}

// An item may have been replaced by one that the vector does not cover yet. Where there are many,
// this node is itself in the midst of batches, and its vector will soon cover them.
void InstanceRegistry::appendBeyondVector(const VersionVector& seen, std::size_t maxBytes,
                                          TimePoint now, ItemBatch& batch) const {
  const auto sizeBefore = batch.items.size();
  dots_.forEachBeyondVector(seen, [&](const ItemKey& key) {
    if (batch.items.size() < maxBytes) {
      appendItem(key, now, batch.items);
    } else {
      batch.isComplete = false;
    }
  });
  if (!batch.isComplete) batch.items.resize(sizeBefore);
}

std::string InstanceRegistry::itemsInRanges(RangeMask ranges, TimePoint now) const {
  std::string list;
  for (const auto& [id, info] : nodes_.nodes()) {
    if (!isInRanges(id.str(), ranges)) continue;
    startItem(list);
    nodes_.appendText(id, list);
  }
  for (const auto& [id, item] : instances_.items()) {
    if (!isInRanges(id.str(), ranges)) continue;
    startItem(list);
    InstanceTable::appendText(item, now, list);
  }
  if (list.empty()) return "[]";
  list += ']';
  return list;
}

RangeDigests InstanceRegistry::rangeDigests() const {
  RangeDigests digests{};
  nodes_.addTo(digests);
  instances_.addTo(digests);
  return digests;
}

bool InstanceRegistry::merge(const json& items, const VersionVectorEntries& seenByPeer,
                             TimePoint now) {
  lastNow_ = now;
  bool changed = false;
  for (const auto& item : items) {
    switch (kindOf(item)) {
      case ItemKind::instance:
        changed = mergeInstance(decodeInstance(item), now) || changed;
        break;
      case ItemKind::node:
        changed = mergeNode(decodeNode(item)) || changed;
        break;
      case ItemKind::unknown:
        break;
    }
  }
  // Only after the items, since an entry says that all of them up to it are here. A source that is
  // unknown here and has no item has been forgotten; the peer has not got round to that yet.
  for (const auto& [source, counter] : seenByPeer) {
    if (dots_.knowsSource(source)) dots_.advance(source, counter, now);
  }
  return changed;
}

bool InstanceRegistry::adopt(const json& items, TimePoint now) {
  lastNow_ = now;
  bool changed = false;
  for (const auto& item : items) {
    if (kindOf(item) != ItemKind::instance) continue;
    auto instance = decodeInstance(item).instance;
    if (!takesPrecedence(instance)) continue;
    write(std::move(instance), now);
    changed = true;
  }
  return changed;
}

std::string InstanceRegistry::instanceItem(const InstanceId& id, TimePoint now) const {
  if (instances_.find(id) == nullptr) return "[]";
  std::string list;
  appendItem(ItemKey(id), now, list);
  return list + "]";
}

bool InstanceRegistry::takesPrecedence(Instance& update) const {
  const auto* item = instances_.find(update.id);
  if (item == nullptr) return true;
  const auto& held = item->instance;
  if (precedenceOf(update) <= precedenceOf(held)) return false;
  // A node that learnt only of the end of an instance does not know its service.
  if (update.service.empty()) {
    update.service = held.service;
    update.address = held.address;
  }
  return true;
}

bool InstanceRegistry::mergeInstance(InstanceUpdate update, TimePoint now) {
  auto& instance = update.instance;
  if (!takesPrecedence(instance)) return false;
  if (instance.reporter == self_) expiry_.expectHeartbeat(instance.id, now);
  put(std::move(instance), std::move(update.dot), now - update.closedFor);
  return true;
}

bool InstanceRegistry::mergeNode(NodeUpdate update) {
  const auto& info = update.info;
  if (info.id == self_) return refute(info);
  if (const auto* held = nodes_.find(info.id)) {
    if (!supersedes(info, *held)) return false;
  } else if (info.isDown() && versionVector().covers(update.dot)) {
    return false;  // forgotten here; a peer still remembers it
  }
  putNode(info, std::move(update.dot));
  return true;
}

// Whoever holds `update` of this node takes its own next state instead (SWIM: alive with a higher
// incarnation number overrides suspect).
bool InstanceRegistry::refute(const NodeInfo& update) {
  if (!needsRefutation(update, selfInfo())) return false;
  auto own = selfInfo();
  own.infoVersion = update.infoVersion + 1;
  writeNode(own);
  return true;
}

// ---- Instances.

std::optional<Instance> InstanceRegistry::findInstance(const InstanceId& id) const {
  const auto* item = instances_.find(id);
  return item == nullptr ? std::nullopt : std::make_optional(item->instance);
}

std::optional<Instance> InstanceRegistry::findReportedHere(const InstanceId& id) const {
  return expiry_.heardHere(id) ? findInstance(id) : std::nullopt;
}

std::vector<Instance> InstanceRegistry::instances() const {
  std::vector<Instance> all;
  all.reserve(instances_.items().size());
  for (const auto& [id, item] : instances_.items()) all.push_back(item.instance);
  return all;
}

std::vector<Instance> InstanceRegistry::usableInstances(const ServiceName& service) const {
  return instances_.usableInstances(service);
}

std::uint64_t InstanceRegistry::changeCount(const ServiceName& service) const {
  return instances_.changeCount(service);
}

std::optional<Dot> InstanceRegistry::dotOf(const InstanceId& id) const {
  const auto* item = instances_.find(id);
  return item == nullptr ? std::nullopt : std::make_optional(item->dot);
}

}  // namespace merlingauge::membership
