#include "version/guestbook.hpp"

#include <algorithm>
#include <tuple>

namespace merlin::cairn {

using nlohmann::json;

namespace {

constexpr std::size_t kFewWords = 4;    // at least so many of those that waited go out at a time,
constexpr std::size_t kWordsPart = 16;  // and this part of them
constexpr Span kForgetStream = std::chrono::seconds(180);
constexpr Span kSweepEvery = std::chrono::seconds(1);

SourceId sourceOf(const NodeId& node, Life life) {
  return SourceId(node.str() + "/" + std::to_string(life.value));
}

auto strength(const Server& s) { return std::make_tuple(s.status, s.sequence, s.edit, s.silent); }

auto strength(const NodeFacts& f) { return std::make_tuple(f.incarnation, f.leaving, f.silent); }

// Who hears it aside, both words say the same.
bool sameSaid(const Server& a, const Server& b) {
  return a.status == b.status && a.slots == b.slots && a.address == b.address && a.cold == b.cold &&
         a.service == b.service;
}

// Orders a keeper's word on the same beat behind what was said of it before.
std::uint32_t editAfter(const Server& was, const Server& word) {
  return word.sequence == was.sequence ? was.edit + 1 : 0;
}

bool down(const NodeFacts& f) { return f.leaving || f.silent; }

bool closed(const Server& s) { return s.status == Server::Status::gone || s.silent; }

// Ended servers don't count: each node forgets them in its own time.
std::uint64_t hashOf(const Server& s) {
  if (closed(s)) return 0;
  return mixHash(s.id.str(), s.sequence * 64 + s.edit * 4 + static_cast<std::uint64_t>(s.status));
}

// Nor do nodes that have left.
std::uint64_t hashOf(const NodeFacts& f) {
  return down(f) ? 0 : mixHash(f.id.str(), f.incarnation * 4);
}

std::size_t rangeOf(const std::string& key) { return mixHash(key) % Guestbook::kRanges; }

json nodeJson(const NodeFacts& f, const Dot& dot) {
  const int flags = (f.core ? 1 : 0) + (f.leaving ? 2 : 0) + (f.silent ? 4 : 0) + (f.awake ? 8 : 0);
  return json::array({"n", f.id.str(), f.zone.str(), flags, f.incarnation, f.life.value,
                      dot.source.str(), dot.count});
}

// How long ago it ended, in milliseconds, follows as the last element.
json serverJson(const Server& s, const Dot& dot) {
  const int flags = (s.cold ? 1 : 0) + (s.silent ? 2 : 0);
  return json::array({"s", s.id.str(), s.service.str(), s.address, s.zone.str(), s.slots,
                      static_cast<int>(s.status), s.sequence, s.edit, flags, s.ill, s.keeper.str(),
                      dot.source.str(), dot.count});
}

Dot dotFrom(const json& j, std::size_t at) {
  return {SourceId(j.at(at).get<std::string>()), j.at(at + 1).get<std::uint64_t>()};
}

}  // namespace

namespace {
std::uint64_t hashOf(const SourceId& source, std::uint64_t count) {
  return count == 0 ? 0 : mixHash(source.str(), count);
}
}  // namespace

std::optional<std::uint32_t> Lives::find(const SourceId& source) const {
  const auto it = numbers_.find(source);
  return it == numbers_.end() ? std::nullopt : std::make_optional(it->second);
}

std::uint32_t Lives::take(const SourceId& source) {
  const auto [it, fresh] = numbers_.try_emplace(source, 0);
  if (fresh && free_.empty()) {
    it->second = static_cast<std::uint32_t>(rows_.size());
    rows_.push_back({source, 0});
  } else if (fresh) {
    it->second = free_.back();
    free_.pop_back();
    rows_[it->second].name = source;
  }
  ++rows_[it->second].holders;
  return it->second;
}

void Lives::release(std::size_t number) {
  auto& row = rows_[number];
  if (--row.holders > 0) return;
  numbers_.erase(row.name);
  row.name = SourceId();
  free_.push_back(static_cast<std::uint32_t>(number));
}

void Tally::set(const SourceId& source, std::uint64_t count) {
  const std::uint64_t had = of(source);
  if (had == count) return;
  hash_ ^= hashOf(source, had) ^ hashOf(source, count);
  if (had == 0) {
    const auto number = lives_->take(source);
    if (counts_.size() <= number) counts_.resize(number + 1, 0);
    counts_[number] = count;
    ++size_;
    return;
  }
  const auto number = *lives_->find(source);
  counts_[number] = count;
  if (count > 0) return;
  --size_;
  lives_->release(number);
}

void Tally::clear() {
  for (std::size_t i = 0; i < counts_.size(); ++i) {
    if (counts_[i] > 0) lives_->release(i);
  }
  counts_.clear();
  size_ = 0;
  hash_ = 0;
}

std::uint64_t Tally::of(const SourceId& source) const {
  const auto number = lives_->find(source);
  return number && *number < counts_.size() ? counts_[*number] : 0;
}

std::vector<SourceId> Tally::missingIn(const Tally& other) const {
  std::vector<SourceId> out;
  for (std::size_t i = 0; i < counts_.size(); ++i) {
    const bool there = i < other.counts_.size() && other.counts_[i] > 0;
    if (counts_[i] > 0 && !there) out.push_back(lives_->name(i));
  }
  return out;
}

json toJson(const Vector& vector) {
  json out = json::object();
  for (const auto& [source, count] : vector) out[source.str()] = count;
  return out;
}

Vector vectorFrom(const json& j) {
  Vector out;
  for (const auto& [source, count] : j.items()) out[SourceId(source)] = count.get<std::uint64_t>();
  return out;
}

Guestbook::Guestbook(NodeFacts self, Life life) : self_(self.id), source_(sourceOf(self_, life)) {
  self.incarnation = 1;
  self.life = life;
  putNode(self, newDot());
}

Dot Guestbook::newDot() {
  cameTo(source_, ++count_);
  return {source_, count_};
}

void Guestbook::cameTo(const SourceId& source, std::uint64_t count) {
  if (come_.of(source) >= count) return;
  come_.set(source, count);
  streams_[source].touched = lastNow_;
}

// A word takes the place of whatever is held of that server.
void Guestbook::put(const Server& server, const Dot& dot, Instant closedAt) {
  auto& item = servers_[server.id];
  if (!item.server.id.empty()) {
    digest_ ^= hashOf(item.server);
    streams_[item.dot.source].items.erase(item.dot.count);
    if (item.server.service != server.service) {
      services_[item.server.service].erase(server.id);
      ++changes_[item.server.service];
    }
  }
  const bool wasClosed = item.closedAt.has_value();
  item.server = server;
  item.dot = dot;
  item.text.clear();
  if (!closed(server)) {
    item.closedAt.reset();
  } else if (!wasClosed) {
    item.closedAt = closedAt;
  }
  digest_ ^= hashOf(server);
  streams_[dot.source].items[dot.count] = Key{false, server.id.str()};
  auto& list = services_[server.service];
  if (server.usable()) {
    list[server.id] = &item.server;
  } else {
    list.erase(server.id);
  }
  ++changes_[server.service];
}

void Guestbook::putNode(const NodeFacts& facts, const Dot& dot) {
  const auto it = facts_.find(facts.id);
  if (it != facts_.end()) {
    digest_ ^= hashOf(it->second);
    const auto& old = nodeDots_[facts.id];
    streams_[old.source].items.erase(old.count);
  }
  ++nodeChanges_;
  nodeTexts_.erase(facts.id);
  facts_[facts.id] = facts;
  if (facts.core) cores_.insert(facts.id);
  nodeDots_[facts.id] = dot;
  digest_ ^= hashOf(facts);
  streams_[dot.source].items[dot.count] = Key{true, facts.id.str()};
  if (down(facts)) {
    downSince_.try_emplace(facts.id, lastNow_);
  } else {
    downSince_.erase(facts.id);
  }
}

void Guestbook::erase(const InstanceId& id) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) return;
  digest_ ^= hashOf(it->second.server);
  streams_[it->second.dot.source].items.erase(it->second.dot.count);
  services_[it->second.server.service].erase(id);
  ++changes_[it->second.server.service];
  servers_.erase(it);
}

void Guestbook::eraseNode(const NodeId& id) {
  const auto it = facts_.find(id);
  if (it == facts_.end()) return;
  digest_ ^= hashOf(it->second);
  const auto& dot = nodeDots_.at(id);
  streams_[dot.source].items.erase(dot.count);
  facts_.erase(it);
  nodeDots_.erase(id);
  nodeTexts_.erase(id);
  cores_.erase(id);
  downSince_.erase(id);
  ++nodeChanges_;
}

Guestbook::Beat Guestbook::beat(const Server& server, Instant now) {
  lastNow_ = now;
  auto [heard, first] = heard_.try_emplace(server.id);
  if (!first && server.sequence < heard->second.sequence) return Beat::stale;
  heard->second = {now, server.sequence};
  Server word = server;
  word.keeper = self_;
  const auto it = servers_.find(server.id);
  const Item* held = it == servers_.end() ? nullptr : &it->second;
  if (held != nullptr) {
    const auto& was = held->server;
    if (was.status == Server::Status::gone) return Beat::stale;
    if (sameSaid(was, word) && was.keeper == self_ && !was.silent) return Beat::same;
    // A word that was overtaken by a later one of the same server's, heard elsewhere.
    if (word.sequence < was.sequence) return Beat::stale;
  }
  if (canWait(held, word, now)) {
    waiting_[word.id] = word;
    return Beat::same;
  }
  waiting_.erase(word.id);
  if (held != nullptr) {
    const auto& was = held->server;
    word.status = std::max(word.status, was.status);
    word.ill = was.keeper == self_ ? was.ill : 0;
    word.edit = editAfter(was, word);
  }
  write(word, now);
  return Beat::news;
}

bool Guestbook::canWait(const Item* held, const Server& word, Instant now) const {
  if (!trickles_) return false;
  if (held == nullptr) return word.status == Server::Status::available && now < firstUntil_;
  return sameSaid(held->server, word) && !held->server.silent;
}

bool Guestbook::settle(Instant now) {
  if (waiting_.empty() || now < firstUntil_) return false;
  const std::size_t most = std::max(kFewWords, waiting_.size() / kWordsPart);
  std::size_t moved = 0;
  bool changed = false;
  for (auto next = waiting_.begin(); next != waiting_.end();) {
    const auto here = next++;
    auto& word = here->second;
    const auto it = servers_.find(word.id);
    if (it != servers_.end()) {
      const auto& was = it->second.server;
      // Whatever has been said since stands: the server's next beat will be weighed against it.
      const bool stands = was.silent || !sameSaid(was, word) || was.keeper == self_;
      if (stands) {
        waiting_.erase(here);
        continue;
      }
      if (moved++ >= most) continue;
      word.sequence = std::max(word.sequence, was.sequence);
      word.edit = editAfter(was, word);
    }
    // One that nobody knew of is news, and goes out at once.
    write(word, now);
    waiting_.erase(here);
    changed = true;
  }
  return changed;
}

bool Guestbook::deregister(const InstanceId& id, Instant now) {
  lastNow_ = now;
  const auto it = servers_.find(id);
  Server word;
  if (it != servers_.end()) {
    word = it->second.server;
    if (word.status == Server::Status::gone) return false;
  }
  word.id = id;
  word.status = Server::Status::gone;
  word.keeper = self_;
  write(word, now);
  return true;
}

bool Guestbook::silence(const InstanceId& id, Instant now) {
  lastNow_ = now;
  const auto it = servers_.find(id);
  if (it == servers_.end() || closed(it->second.server)) return false;
  Server word = it->second.server;
  word.silent = true;
  write(word, now);
  return true;
}

bool Guestbook::setIll(const InstanceId& id, int tenths) {
  const auto it = servers_.find(id);
  if (it == servers_.end() || it->second.server.ill == tenths ||
      it->second.server.keeper != self_) {
    return false;
  }
  Server word = it->second.server;
  word.ill = tenths;
  ++word.edit;
  write(word, lastNow_);
  return true;
}

bool Guestbook::expire(Instant now, Span silent, Span forget) {
  lastNow_ = now;
  bool changed = false;
  std::erase_if(heard_, [&](const auto& entry) {
    const auto& [id, heard] = entry;
    if (now - heard.at <= silent) return false;
    waiting_.erase(id);
    const auto it = servers_.find(id);
    if (it == servers_.end() || it->second.server.keeper != self_) return true;
    if (closed(it->second.server)) return now - heard.at > forget;
    Server word = it->second.server;
    word.silent = true;
    write(word, now);
    changed = true;
    return false;
  });
  std::vector<InstanceId> missed;
  std::erase_if(expected_, [&](const auto& entry) {
    if (heard_.contains(entry.first)) return true;
    if (now - entry.second <= silent) return false;
    missed.push_back(entry.first);
    return true;
  });
  for (const auto& id : missed) {
    const auto held = find(id);
    if (held && held->keeper == self_) changed = silence(id, now) || changed;
  }
  if (now >= sweepAt_) {
    sweepAt_ = now + kSweepEvery;
    sweep(now, forget);
  }
  return changed;
}

// Walks all that is known: now and then, not with every tick.
void Guestbook::sweep(Instant now, Span forget) {
  std::vector<InstanceId> old;
  for (const auto& [id, item] : servers_) {
    if (item.closedAt && now - *item.closedAt > forget) old.push_back(id);
  }
  for (const auto& id : old) {
    erase(id);
    heard_.erase(id);
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
    come_.strike(source);
    return true;
  });
}

bool Guestbook::orphans(Instant now, Span silent,
                        const std::function<bool(const InstanceId&)>& mine) {
  lastNow_ = now;
  if (downSince_.empty()) return false;
  std::vector<Server> lost;
  for (const auto& [id, item] : servers_) {
    if (closed(item.server)) continue;
    const auto down = downSince_.find(item.server.keeper);
    if (down != downSince_.end() && now - down->second > silent && mine(id)) {
      lost.push_back(item.server);
    }
  }
  for (auto& word : lost) {
    word.silent = true;
    write(word, now);
  }
  return !lost.empty();
}

void Guestbook::leave() {
  auto facts = self();
  facts.leaving = true;
  putNode(facts, newDot());
}

void Guestbook::sayAwake(bool awake) {
  auto facts = self();
  if (facts.awake == awake) return;
  facts.awake = awake;
  ++facts.incarnation;
  putNode(facts, newDot());
}

bool Guestbook::nodeSilent(const NodeId& id) {
  const auto it = facts_.find(id);
  if (it == facts_.end() || it->second.silent || it->second.leaving || id == self_) return false;
  auto facts = it->second;
  facts.silent = true;
  putNode(facts, newDot());
  return true;
}

bool Guestbook::lacks(const Tally& have) const {
  bool out = false;
  have.behind(come_, [&](const SourceId& source, std::uint64_t, std::uint64_t from) {
    if (out) return;
    const auto stream = streams_.find(source);
    out = stream != streams_.end() &&
          stream->second.items.upper_bound(from) != stream->second.items.end();
  });
  return out;
}

void Guestbook::appendItem(const Key& key, Instant now, std::string& out) const {
  out += out.empty() ? "[" : ",";
  if (key.node) {
    const NodeId id(key.name);
    auto& text = nodeTexts_[id];
    if (text.empty()) text = nodeJson(facts_.at(id), nodeDots_.at(id)).dump();
    out += text;
    return;
  }
  const auto& item = servers_.at(InstanceId(key.name));
  if (item.text.empty()) {
    item.text = serverJson(item.server, item.dot).dump();
    item.text.back() = ',';
  }
  const std::int64_t age = item.closedAt ? (now - *item.closedAt).count() / 1000 : 0;
  out += item.text + std::to_string(age) + "]";
}

std::string Guestbook::newerThan(const Tally& have, Instant now) const {
  std::string out;
  have.behind(come_, [&](const SourceId& source, std::uint64_t, std::uint64_t from) {
    const auto stream = streams_.find(source);
    if (stream == streams_.end()) return;
    for (auto it = stream->second.items.upper_bound(from); it != stream->second.items.end(); ++it) {
      appendItem(it->second, now, out);
    }
  });
  if (!out.empty()) out += "]";
  return out;
}

Vector Guestbook::above(const Tally& have) const {
  Vector out;
  have.behind(come_, [&](const SourceId& source, std::uint64_t count, std::uint64_t) {
    out.emplace_hint(out.end(), source, count);
  });
  return out;
}

bool Guestbook::mergeServer(const json& j, Instant now) {
  Server s;
  s.id = InstanceId(j.at(1).get<std::string>());
  s.service = ServiceName(j.at(2).get<std::string>());
  s.address = j.at(3).get<std::string>();
  s.zone = ZoneName(j.at(4).get<std::string>());
  s.slots = std::max(1, j.at(5).get<int>());
  const int status = j.at(6).get<int>();
  if (status < 0 || status > 2) throw std::out_of_range("server status");
  s.status = static_cast<Server::Status>(status);
  s.sequence = j.at(7).get<std::uint64_t>();
  s.edit = j.at(8).get<std::uint32_t>();
  const int flags = j.at(9).get<int>();
  s.cold = (flags & 1) != 0;
  s.silent = (flags & 2) != 0;
  s.ill = j.at(10).get<int>();
  s.keeper = NodeId(j.at(11).get<std::string>());
  const Dot dot = dotFrom(j, 12);
  const auto age = std::max<std::int64_t>(0, j.at(14).get<std::int64_t>());
  const auto it = servers_.find(s.id);
  if (it != servers_.end() && strength(s) <= strength(it->second.server)) return false;
  // The stronger word may come from a node that never heard what the server is.
  if (it != servers_.end() && s.service.empty()) {
    s.service = it->second.server.service;
    s.address = it->second.server.address;
  }
  put(s, dot, now - fromMillis(static_cast<double>(age)));
  if (s.keeper == self_ && !heard_.contains(s.id)) expected_.try_emplace(s.id, now);
  return true;
}

bool Guestbook::mergeNode(const json& j) {
  NodeFacts f;
  f.id = NodeId(j.at(1).get<std::string>());
  f.zone = ZoneName(j.at(2).get<std::string>());
  const int flags = j.at(3).get<int>();
  f.core = (flags & 1) != 0;
  f.leaving = (flags & 2) != 0;
  f.silent = (flags & 4) != 0;
  f.awake = (flags & 8) != 0;
  f.incarnation = j.at(4).get<std::uint64_t>();
  f.life = Life{j.at(5).get<std::uint64_t>()};
  const Dot dot = dotFrom(j, 6);
  if (f.id == self_) {
    // Others remember an earlier life, or take this one for dead: step over it.
    auto own = self();
    if (f.incarnation < own.incarnation) return false;
    if (f.life == own.life && strength(f) <= strength(own)) return false;
    own.incarnation = f.incarnation + 1;
    putNode(own, newDot());
    return true;
  }
  const auto it = facts_.find(f.id);
  if (it != facts_.end()) {
    const bool stronger = strength(f) > strength(it->second) ||
                          (strength(f) == strength(it->second) && f.life > it->second.life);
    if (!stronger) return false;
  } else if (down(f) && come_.of(dot.source) >= dot.count) {
    return false;  // forgotten here
  }
  putNode(f, dot);
  return true;
}

bool Guestbook::merge(const json& items, const Vector& came, Instant now) {
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
    const bool known =
        come_.of(source) > 0 || (stream != streams_.end() && !stream->second.items.empty());
    // A life without any word, unknown here: somebody has not struck it yet.
    if (known) cameTo(source, count);
  }
  return changed;
}

std::string Guestbook::itemsIn(std::uint32_t mask, Instant now) const {
  std::string out;
  const auto wanted = [&](const std::string& key) { return ((mask >> rangeOf(key)) & 1U) != 0; };
  for (const auto& [id, facts] : facts_) {
    if (wanted(id.str())) appendItem({true, id.str()}, now, out);
  }
  for (const auto& [id, item] : servers_) {
    if (wanted(id.str())) appendItem({false, id.str()}, now, out);
  }
  return out.empty() ? "[]" : out + "]";
}

Guestbook::Ranges Guestbook::ranges() const {
  Ranges out{};
  for (const auto& [id, facts] : facts_) out.at(rangeOf(id.str())) ^= hashOf(facts);
  for (const auto& [id, item] : servers_) out.at(rangeOf(id.str())) ^= hashOf(item.server);
  return out;
}

void Guestbook::drop(const InstanceId& id) { erase(id); }

std::optional<Server> Guestbook::find(const InstanceId& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? std::nullopt : std::make_optional(it->second.server);
}

std::optional<Server> Guestbook::heardHere(const InstanceId& id) const {
  return heard_.contains(id) ? find(id) : std::nullopt;
}

std::vector<Server> Guestbook::servers() const {
  std::vector<Server> out;
  out.reserve(servers_.size());
  for (const auto& [id, item] : servers_) out.push_back(item.server);
  return out;
}

std::vector<Server> Guestbook::usable(const ServiceName& service) const {
  std::vector<Server> out;
  const auto it = services_.find(service);
  if (it == services_.end()) return out;
  out.reserve(it->second.size());
  for (const auto& [id, server] : it->second) out.push_back(*server);
  return out;
}

std::uint64_t Guestbook::changes(const ServiceName& service) const {
  const auto it = changes_.find(service);
  return it == changes_.end() ? 0 : it->second;
}

std::optional<Dot> Guestbook::dotOf(const InstanceId& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? std::nullopt : std::make_optional(it->second.dot);
}

}  // namespace merlin::cairn
