#include "membership/instance_registry.hpp"

#include <algorithm>
#include <tuple>

#include "base/hash.hpp"

namespace merlingauge::membership {

using nlohmann::json;

namespace {

constexpr std::size_t kFewWords = 4;    // at least so many of those that waited go out at a time,
constexpr std::size_t kWordsPart = 16;  // and this part of them
constexpr Duration kForgetStream = std::chrono::seconds(180);
constexpr Duration kSweepEvery = std::chrono::seconds(1);

SourceId sourceOf(const NodeId& node, Incarnation incarnation) {
  return SourceId(node.str() + "/" + std::to_string(incarnation.value));
}

auto strength(const Instance& s) {
  return std::make_tuple(s.status, s.sequence, s.reporterEdit, s.unresponsive);
}

auto strength(const NodeInfo& f) {
  return std::make_tuple(f.infoVersion, f.shuttingDown, f.unresponsive);
}

// Who hears it aside, both words say the same.
bool sameSaid(const Instance& a, const Instance& b) {
  return a.status == b.status && a.capacity == b.capacity && a.address == b.address &&
         a.warmingUp == b.warmingUp && a.service == b.service;
}

// Orders a keeper's word on the same beat behind what was said of it before.
std::uint32_t editAfter(const Instance& was, const Instance& word) {
  return word.sequence == was.sequence ? was.reporterEdit + 1 : 0;
}

bool down(const NodeInfo& f) { return f.shuttingDown || f.unresponsive; }

bool closed(const Instance& s) { return s.status == Instance::Status::gone || s.unresponsive; }

// Ended servers don't count: each node forgets them in its own time.
std::uint64_t hashOf(const Instance& s) {
  if (closed(s)) return 0;
  return stableHash(s.id.str(),
                    s.sequence * 64 + s.reporterEdit * 4 + static_cast<std::uint64_t>(s.status));
}

// Nor do nodes that have left.
std::uint64_t hashOf(const NodeInfo& f) {
  return down(f) ? 0 : stableHash(f.id.str(), f.infoVersion * 4);
}

std::size_t rangeOf(const std::string& key) {
  return stableHash(key) % InstanceRegistry::kRangeCount;
}

json nodeJson(const NodeInfo& f, const Dot& dot) {
  const int flags = (f.isControlNode ? 1 : 0) + (f.shuttingDown ? 2 : 0) +
                    (f.unresponsive ? 4 : 0) + (f.recovered ? 8 : 0);
  return json::array({"n", f.id.str(), f.zone.str(), flags, f.infoVersion, f.incarnation.value,
                      dot.source.str(), dot.counter});
}

// How long ago it ended, in milliseconds, follows as the last element.
json serverJson(const Instance& s, const Dot& dot) {
  const int flags = (s.warmingUp ? 1 : 0) + (s.unresponsive ? 2 : 0);
  return json::array({"s", s.id.str(), s.service.str(), s.address, s.zone.str(), s.capacity,
                      static_cast<int>(s.status), s.sequence, s.reporterEdit, flags,
                      s.failingTenths, s.reporter.str(), dot.source.str(), dot.counter});
}

Dot dotFrom(const json& j, std::size_t at) {
  return {SourceId(j.at(at).get<std::string>()), j.at(at + 1).get<std::uint64_t>()};
}

}  // namespace

namespace {
std::uint64_t hashOf(const SourceId& source, std::uint64_t count) {
  return count == 0 ? 0 : stableHash(source.str(), count);
}
}  // namespace

std::optional<std::uint32_t> SourceTable::find(const SourceId& source) const {
  const auto it = numbers_.find(source);
  return it == numbers_.end() ? std::nullopt : std::make_optional(it->second);
}

std::uint32_t SourceTable::acquire(const SourceId& source) {
  const auto [it, fresh] = numbers_.try_emplace(source, 0);
  if (fresh && free_.empty()) {
    it->second = static_cast<std::uint32_t>(rows_.size());
    rows_.push_back({source, 0});
  } else if (fresh) {
    it->second = free_.back();
    free_.pop_back();
    rows_[it->second].source = source;
  }
  ++rows_[it->second].holders;
  return it->second;
}

void SourceTable::release(std::size_t number) {
  auto& row = rows_[number];
  if (--row.holders > 0) return;
  numbers_.erase(row.source);
  row.source = SourceId();
  free_.push_back(static_cast<std::uint32_t>(number));
}

void VersionVector::set(const SourceId& source, std::uint64_t count) {
  const std::uint64_t had = counterOf(source);
  if (had == count) return;
  hash_ ^= hashOf(source, had) ^ hashOf(source, count);
  if (had == 0) {
    const auto number = sources_->acquire(source);
    if (counters_.size() <= number) counters_.resize(number + 1, 0);
    counters_[number] = count;
    ++size_;
    return;
  }
  const auto number = *sources_->find(source);
  counters_[number] = count;
  if (count > 0) return;
  --size_;
  sources_->release(number);
}

void VersionVector::clear() {
  for (std::size_t i = 0; i < counters_.size(); ++i) {
    if (counters_[i] > 0) sources_->release(i);
  }
  counters_.clear();
  size_ = 0;
  hash_ = 0;
}

std::uint64_t VersionVector::counterOf(const SourceId& source) const {
  const auto number = sources_->find(source);
  return number && *number < counters_.size() ? counters_[*number] : 0;
}

std::vector<SourceId> VersionVector::sourcesMissingIn(const VersionVector& other) const {
  std::vector<SourceId> out;
  for (std::size_t i = 0; i < counters_.size(); ++i) {
    const bool there = i < other.counters_.size() && other.counters_[i] > 0;
    if (counters_[i] > 0 && !there) out.push_back(sources_->sourceAt(i));
  }
  return out;
}

json toJson(const VersionVectorEntries& vector) {
  json out = json::object();
  for (const auto& [source, count] : vector) out[source.str()] = count;
  return out;
}

VersionVectorEntries entriesFromJson(const json& j) {
  VersionVectorEntries out;
  for (const auto& [source, count] : j.items()) out[SourceId(source)] = count.get<std::uint64_t>();
  return out;
}

InstanceRegistry::InstanceRegistry(NodeInfo self, Incarnation incarnation)
    : self_(self.id), source_(sourceOf(self_, incarnation)) {
  self.infoVersion = 1;
  self.incarnation = incarnation;
  putNode(self, newDot());
}

Dot InstanceRegistry::newDot() {
  cameTo(source_, ++counter_);
  return {source_, counter_};
}

void InstanceRegistry::cameTo(const SourceId& source, std::uint64_t count) {
  if (versionVector_.counterOf(source) >= count) return;
  versionVector_.set(source, count);
  streams_[source].touched = lastNow_;
}

// A word takes the place of whatever is held of that server.
void InstanceRegistry::put(const Instance& server, const Dot& dot, TimePoint closedAt) {
  auto& item = instances_[server.id];
  if (!item.instance.id.empty()) {
    digest_ ^= hashOf(item.instance);
    streams_[item.dot.source].items.erase(item.dot.counter);
    if (item.instance.service != server.service) {
      services_[item.instance.service].erase(server.id);
      ++changeCounts_[item.instance.service];
    }
  }
  const bool wasClosed = item.closedAt.has_value();
  item.instance = server;
  item.dot = dot;
  item.text.clear();
  if (!closed(server)) {
    item.closedAt.reset();
  } else if (!wasClosed) {
    item.closedAt = closedAt;
  }
  digest_ ^= hashOf(server);
  streams_[dot.source].items[dot.counter] = Key{false, server.id.str()};
  auto& list = services_[server.service];
  if (server.isUsable()) {
    list[server.id] = &item.instance;
  } else {
    list.erase(server.id);
  }
  ++changeCounts_[server.service];
}

void InstanceRegistry::putNode(const NodeInfo& facts, const Dot& dot) {
  const auto it = nodes_.find(facts.id);
  if (it != nodes_.end()) {
    digest_ ^= hashOf(it->second);
    const auto& old = nodeDots_[facts.id];
    streams_[old.source].items.erase(old.counter);
  }
  ++nodeChangeCount_;
  nodeTexts_.erase(facts.id);
  nodes_[facts.id] = facts;
  if (facts.isControlNode) controlNodes_.insert(facts.id);
  nodeDots_[facts.id] = dot;
  digest_ ^= hashOf(facts);
  streams_[dot.source].items[dot.counter] = Key{true, facts.id.str()};
  if (down(facts)) {
    downSince_.try_emplace(facts.id, lastNow_);
  } else {
    downSince_.erase(facts.id);
  }
}

void InstanceRegistry::erase(const InstanceId& id) {
  const auto it = instances_.find(id);
  if (it == instances_.end()) return;
  digest_ ^= hashOf(it->second.instance);
  streams_[it->second.dot.source].items.erase(it->second.dot.counter);
  services_[it->second.instance.service].erase(id);
  ++changeCounts_[it->second.instance.service];
  instances_.erase(it);
}

void InstanceRegistry::eraseNode(const NodeId& id) {
  const auto it = nodes_.find(id);
  if (it == nodes_.end()) return;
  digest_ ^= hashOf(it->second);
  const auto& dot = nodeDots_.at(id);
  streams_[dot.source].items.erase(dot.counter);
  nodes_.erase(it);
  nodeDots_.erase(id);
  nodeTexts_.erase(id);
  controlNodes_.erase(id);
  downSince_.erase(id);
  ++nodeChangeCount_;
}

InstanceRegistry::HeartbeatResult InstanceRegistry::handleHeartbeat(const Instance& server,
                                                                    TimePoint now) {
  lastNow_ = now;
  auto [heard, first] = heartbeats_.try_emplace(server.id);
  if (!first && server.sequence < heard->second.sequence) return HeartbeatResult::stale;
  heard->second = {now, server.sequence};
  Instance word = server;
  word.reporter = self_;
  const auto it = instances_.find(server.id);
  const Item* held = it == instances_.end() ? nullptr : &it->second;
  if (held != nullptr) {
    const auto& was = held->instance;
    if (was.status == Instance::Status::gone) return HeartbeatResult::stale;
    if (sameSaid(was, word) && was.reporter == self_ && !was.unresponsive)
      return HeartbeatResult::unchanged;
    // A word that was overtaken by a later one of the same server's, heard elsewhere.
    if (word.sequence < was.sequence) return HeartbeatResult::stale;
  }
  if (canWait(held, word, now)) {
    throttled_[word.id] = word;
    return HeartbeatResult::unchanged;
  }
  throttled_.erase(word.id);
  if (held != nullptr) {
    const auto& was = held->instance;
    word.status = std::max(word.status, was.status);
    word.failingTenths = was.reporter == self_ ? was.failingTenths : 0;
    word.reporterEdit = editAfter(was, word);
  }
  write(word, now);
  return HeartbeatResult::changed;
}

bool InstanceRegistry::canWait(const Item* held, const Instance& word, TimePoint now) const {
  if (!throttling_) return false;
  if (held == nullptr) return word.status == Instance::Status::available && now < throttleNewUntil_;
  return sameSaid(held->instance, word) && !held->instance.unresponsive;
}

bool InstanceRegistry::releaseThrottledUpdates(TimePoint now) {
  if (throttled_.empty() || now < throttleNewUntil_) return false;
  const std::size_t most = std::max(kFewWords, throttled_.size() / kWordsPart);
  std::size_t moved = 0;
  bool changed = false;
  for (auto next = throttled_.begin(); next != throttled_.end();) {
    const auto here = next++;
    auto& word = here->second;
    const auto it = instances_.find(word.id);
    if (it != instances_.end()) {
      const auto& was = it->second.instance;
      // Whatever has been said since stands: the server's next beat will be weighed against it.
      const bool stands = was.unresponsive || !sameSaid(was, word) || was.reporter == self_;
      if (stands) {
        throttled_.erase(here);
        continue;
      }
      if (moved++ >= most) continue;
      word.sequence = std::max(word.sequence, was.sequence);
      word.reporterEdit = editAfter(was, word);
    }
    // One that nobody knew of is news, and goes out at once.
    write(word, now);
    throttled_.erase(here);
    changed = true;
  }
  return changed;
}

bool InstanceRegistry::deregister(const InstanceId& id, TimePoint now) {
  lastNow_ = now;
  const auto it = instances_.find(id);
  Instance word;
  if (it != instances_.end()) {
    word = it->second.instance;
    if (word.status == Instance::Status::gone) return false;
  }
  word.id = id;
  word.status = Instance::Status::gone;
  word.reporter = self_;
  write(word, now);
  return true;
}

bool InstanceRegistry::markUnresponsive(const InstanceId& id, TimePoint now) {
  lastNow_ = now;
  const auto it = instances_.find(id);
  if (it == instances_.end() || closed(it->second.instance)) return false;
  Instance word = it->second.instance;
  word.unresponsive = true;
  write(word, now);
  return true;
}

bool InstanceRegistry::setFailingTenths(const InstanceId& id, int tenths) {
  const auto it = instances_.find(id);
  if (it == instances_.end() || it->second.instance.failingTenths == tenths ||
      it->second.instance.reporter != self_) {
    return false;
  }
  Instance word = it->second.instance;
  word.failingTenths = tenths;
  ++word.reporterEdit;
  write(word, lastNow_);
  return true;
}

bool InstanceRegistry::expireInstances(TimePoint now, Duration silent, Duration forget) {
  lastNow_ = now;
  bool changed = false;
  std::erase_if(heartbeats_, [&](const auto& entry) {
    const auto& [id, heard] = entry;
    if (now - heard.at <= silent) return false;
    throttled_.erase(id);
    const auto it = instances_.find(id);
    if (it == instances_.end() || it->second.instance.reporter != self_) return true;
    if (closed(it->second.instance)) return now - heard.at > forget;
    Instance word = it->second.instance;
    word.unresponsive = true;
    write(word, now);
    changed = true;
    return false;
  });
  std::vector<InstanceId> missed;
  std::erase_if(expected_, [&](const auto& entry) {
    if (heartbeats_.contains(entry.first)) return true;
    if (now - entry.second <= silent) return false;
    missed.push_back(entry.first);
    return true;
  });
  for (const auto& id : missed) {
    const auto held = findInstance(id);
    if (held && held->reporter == self_) changed = markUnresponsive(id, now) || changed;
  }
  if (now >= sweepAt_) {
    sweepAt_ = now + kSweepEvery;
    sweep(now, forget);
  }
  return changed;
}

// Walks all that is known: now and then, not with every tick.
void InstanceRegistry::sweep(TimePoint now, Duration forget) {
  std::vector<InstanceId> old;
  for (const auto& [id, item] : instances_) {
    if (item.closedAt && now - *item.closedAt > forget) old.push_back(id);
  }
  for (const auto& id : old) {
    erase(id);
    heartbeats_.erase(id);
  }
  // A node that is down is forgotten once no older word of it can be under way.
  std::vector<NodeId> gone;
  for (const auto& [id, since] : downSince_) {
    if (id != self_ && now - since > kForgetStream) gone.push_back(id);
  }
  for (const auto& id : gone) eraseNode(id);
  // Lives that are over and hold no word any more are struck from the vector.
  std::erase_if(streams_, [&](const auto& entry) {
    const auto& [source, stream] = entry;
    if (!stream.items.empty() || source == source_ || now - stream.touched <= kForgetStream) {
      return false;
    }
    versionVector_.erase(source);
    return true;
  });
}

bool InstanceRegistry::markOrphans(TimePoint now, Duration silent,
                                   const std::function<bool(const InstanceId&)>& mine) {
  lastNow_ = now;
  if (downSince_.empty()) return false;
  std::vector<Instance> lost;
  for (const auto& [id, item] : instances_) {
    if (closed(item.instance)) continue;
    const auto down = downSince_.find(item.instance.reporter);
    if (down != downSince_.end() && now - down->second > silent && mine(id)) {
      lost.push_back(item.instance);
    }
  }
  for (auto& word : lost) {
    word.unresponsive = true;
    write(word, now);
  }
  return !lost.empty();
}

void InstanceRegistry::announceShutdown() {
  auto facts = selfInfo();
  facts.shuttingDown = true;
  putNode(facts, newDot());
}

void InstanceRegistry::announceRecovered(bool awake) {
  auto facts = selfInfo();
  if (facts.recovered == awake) return;
  facts.recovered = awake;
  ++facts.infoVersion;
  putNode(facts, newDot());
}

bool InstanceRegistry::markNodeUnresponsive(const NodeId& id) {
  const auto it = nodes_.find(id);
  if (it == nodes_.end() || it->second.unresponsive || it->second.shuttingDown || id == self_)
    return false;
  auto facts = it->second;
  facts.unresponsive = true;
  putNode(facts, newDot());
  return true;
}

bool InstanceRegistry::hasNewerThan(const VersionVector& have) const {
  bool out = false;
  have.forEachNewer(versionVector_, [&](const SourceId& source, std::uint64_t, std::uint64_t from) {
    if (out) return;
    const auto stream = streams_.find(source);
    out = stream != streams_.end() &&
          stream->second.items.upper_bound(from) != stream->second.items.end();
  });
  return out;
}

void InstanceRegistry::appendItem(const Key& key, TimePoint now, std::string& out) const {
  out += out.empty() ? "[" : ",";
  if (key.node) {
    const NodeId id(key.name);
    auto& text = nodeTexts_[id];
    if (text.empty()) text = nodeJson(nodes_.at(id), nodeDots_.at(id)).dump();
    out += text;
    return;
  }
  const auto& item = instances_.at(InstanceId(key.name));
  if (item.text.empty()) {
    item.text = serverJson(item.instance, item.dot).dump();
    item.text.back() = ',';
  }
  const std::int64_t age = item.closedAt ? (now - *item.closedAt).count() / 1000 : 0;
  out += item.text + std::to_string(age) + "]";
}

std::string InstanceRegistry::itemsNewerThan(const VersionVector& have, TimePoint now) const {
  std::string out;
  have.forEachNewer(versionVector_, [&](const SourceId& source, std::uint64_t, std::uint64_t from) {
    const auto stream = streams_.find(source);
    if (stream == streams_.end()) return;
    for (auto it = stream->second.items.upper_bound(from); it != stream->second.items.end(); ++it) {
      appendItem(it->second, now, out);
    }
  });
  if (!out.empty()) out += "]";
  return out;
}

VersionVectorEntries InstanceRegistry::entriesAbove(const VersionVector& have) const {
  VersionVectorEntries out;
  have.forEachNewer(versionVector_,
                    [&](const SourceId& source, std::uint64_t count, std::uint64_t) {
                      out.emplace_hint(out.end(), source, count);
                    });
  return out;
}

bool InstanceRegistry::mergeServer(const json& j, TimePoint now) {
  Instance s;
  s.id = InstanceId(j.at(1).get<std::string>());
  s.service = ServiceName(j.at(2).get<std::string>());
  s.address = j.at(3).get<std::string>();
  s.zone = ZoneName(j.at(4).get<std::string>());
  s.capacity = std::max(1, j.at(5).get<int>());
  const int status = j.at(6).get<int>();
  if (status < 0 || status > 2) throw std::out_of_range("server status");
  s.status = static_cast<Instance::Status>(status);
  s.sequence = j.at(7).get<std::uint64_t>();
  s.reporterEdit = j.at(8).get<std::uint32_t>();
  const int flags = j.at(9).get<int>();
  s.warmingUp = (flags & 1) != 0;
  s.unresponsive = (flags & 2) != 0;
  s.failingTenths = j.at(10).get<int>();
  s.reporter = NodeId(j.at(11).get<std::string>());
  const Dot dot = dotFrom(j, 12);
  const auto age = std::max<std::int64_t>(0, j.at(14).get<std::int64_t>());
  const auto it = instances_.find(s.id);
  if (it != instances_.end() && strength(s) <= strength(it->second.instance)) return false;
  // The stronger word may come from a node that never heard what the server is.
  if (it != instances_.end() && s.service.empty()) {
    s.service = it->second.instance.service;
    s.address = it->second.instance.address;
  }
  put(s, dot, now - fromMillis(static_cast<double>(age)));
  if (s.reporter == self_ && !heartbeats_.contains(s.id)) expected_.try_emplace(s.id, now);
  return true;
}

bool InstanceRegistry::mergeNode(const json& j) {
  NodeInfo f;
  f.id = NodeId(j.at(1).get<std::string>());
  f.zone = ZoneName(j.at(2).get<std::string>());
  const int flags = j.at(3).get<int>();
  f.isControlNode = (flags & 1) != 0;
  f.shuttingDown = (flags & 2) != 0;
  f.unresponsive = (flags & 4) != 0;
  f.recovered = (flags & 8) != 0;
  f.infoVersion = j.at(4).get<std::uint64_t>();
  f.incarnation = Incarnation{j.at(5).get<std::uint64_t>()};
  const Dot dot = dotFrom(j, 6);
  if (f.id == self_) {
    // Others remember an earlier life, or take this one for dead: step over it.
    auto own = selfInfo();
    if (f.infoVersion < own.infoVersion) return false;
    if (f.incarnation == own.incarnation && strength(f) <= strength(own)) return false;
    own.infoVersion = f.infoVersion + 1;
    putNode(own, newDot());
    return true;
  }
  const auto it = nodes_.find(f.id);
  if (it != nodes_.end()) {
    const bool stronger =
        strength(f) > strength(it->second) ||
        (strength(f) == strength(it->second) && f.incarnation > it->second.incarnation);
    if (!stronger) return false;
  } else if (down(f) && versionVector_.counterOf(dot.source) >= dot.counter) {
    return false;  // forgotten here
  }
  putNode(f, dot);
  return true;
}

bool InstanceRegistry::merge(const json& items, const VersionVectorEntries& came, TimePoint now) {
  lastNow_ = now;
  bool changed = false;
  for (const auto& item : items) {
    const auto kind = item.at(0).get<std::string>();
    if (kind == "s") {
      changed = mergeServer(item, now) || changed;
    } else if (kind == "n") {
      changed = mergeNode(item) || changed;
    }
  }
  // Only after its items: the vector says that all of them are here.
  for (const auto& [source, count] : came) {
    const auto stream = streams_.find(source);
    const bool known = versionVector_.counterOf(source) > 0 ||
                       (stream != streams_.end() && !stream->second.items.empty());
    // A life without any word, unknown here: somebody has not struck it yet.
    if (known) cameTo(source, count);
  }
  return changed;
}

std::string InstanceRegistry::itemsInRanges(std::uint32_t mask, TimePoint now) const {
  std::string out;
  const auto wanted = [&](const std::string& key) { return ((mask >> rangeOf(key)) & 1U) != 0; };
  for (const auto& [id, facts] : nodes_) {
    if (wanted(id.str())) appendItem({true, id.str()}, now, out);
  }
  for (const auto& [id, item] : instances_) {
    if (wanted(id.str())) appendItem({false, id.str()}, now, out);
  }
  return out.empty() ? "[]" : out + "]";
}

InstanceRegistry::RangeDigests InstanceRegistry::rangeDigests() const {
  RangeDigests out{};
  for (const auto& [id, facts] : nodes_) out.at(rangeOf(id.str())) ^= hashOf(facts);
  for (const auto& [id, item] : instances_) out.at(rangeOf(id.str())) ^= hashOf(item.instance);
  return out;
}

void InstanceRegistry::loseInstance(const InstanceId& id) { erase(id); }

std::optional<Instance> InstanceRegistry::findInstance(const InstanceId& id) const {
  const auto it = instances_.find(id);
  return it == instances_.end() ? std::nullopt : std::make_optional(it->second.instance);
}

std::optional<Instance> InstanceRegistry::findReportedHere(const InstanceId& id) const {
  return heartbeats_.contains(id) ? findInstance(id) : std::nullopt;
}

std::vector<Instance> InstanceRegistry::instances() const {
  std::vector<Instance> out;
  out.reserve(instances_.size());
  for (const auto& [id, item] : instances_) out.push_back(item.instance);
  return out;
}

std::vector<Instance> InstanceRegistry::usableInstances(const ServiceName& service) const {
  std::vector<Instance> out;
  const auto it = services_.find(service);
  if (it == services_.end()) return out;
  out.reserve(it->second.size());
  for (const auto& [id, server] : it->second) out.push_back(*server);
  return out;
}

std::uint64_t InstanceRegistry::changeCount(const ServiceName& service) const {
  const auto it = changeCounts_.find(service);
  return it == changeCounts_.end() ? 0 : it->second;
}

std::optional<Dot> InstanceRegistry::dotOf(const InstanceId& id) const {
  const auto it = instances_.find(id);
  return it == instances_.end() ? std::nullopt : std::make_optional(it->second.dot);
}

}  // namespace merlingauge::membership
