#include "gossip/gossip_service.hpp"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include "base/hash.hpp"

namespace merlingauge::gossip {

using consensus::RegisterValue;
using nlohmann::json;

namespace {
constexpr Duration kHangNear = std::chrono::milliseconds(1000);
constexpr Duration kHangFar = std::chrono::milliseconds(2000);  // bytes between zones are dear
constexpr Duration kLazyNear = std::chrono::milliseconds(700);
constexpr Duration kLazyFar = std::chrono::milliseconds(1400);
constexpr Duration kAnswerSlack = std::chrono::milliseconds(600);
constexpr Duration kTogether = std::chrono::milliseconds(10);
constexpr Duration kRetryAfter = std::chrono::milliseconds(700);
constexpr Duration kBackFor = std::chrono::milliseconds(3500);
constexpr std::size_t kCoresPerSidecar = 2;
constexpr std::size_t kPeersKept = 8;  // one of them is pulled from, the first that answers
constexpr Duration kProbeLimit = std::chrono::milliseconds(900);
constexpr Duration kFirstAlone = std::chrono::milliseconds(400);
constexpr double kLinksAtPace = 12;
constexpr Duration kChooseEvery = std::chrono::milliseconds(500);
constexpr Duration kForgetPuller = std::chrono::seconds(20);
constexpr Duration kMeetLimit = std::chrono::seconds(2);  // a small machine has much to tell
constexpr Duration kGreetLimit = std::chrono::milliseconds(1000);
constexpr std::size_t kGreetMost = 4;  // then without: whoever is asked may be of an older version
constexpr Duration kReserved = std::chrono::seconds(2);
constexpr Duration kLongestWait = std::chrono::seconds(4);
constexpr std::size_t kFewLives = 16;
constexpr Duration kHolderHeard = std::chrono::milliseconds(2500);  // the longest hang and a little
constexpr Duration kNoWait = std::chrono::milliseconds(5);
constexpr std::size_t kCutOffKept = 2;  // links to cores without authority, for their own news
constexpr Duration kCutOffFor = std::chrono::seconds(10);
}  // namespace

std::vector<NodeId> rendezvousOrder(const NodeId& self, const std::vector<NodeId>& all,
                                    const std::set<NodeId>& near) {
  std::vector<std::tuple<int, std::uint64_t, const NodeId*>> weighed;
  weighed.reserve(all.size());
  for (const auto& node : all) {
    if (node == self) continue;
    weighed.emplace_back(near.contains(node) ? 1 : 0, stableHash(self.str() + ">" + node.str()),
                         &node);
  }
  std::sort(weighed.begin(), weighed.end(), [](const auto& a, const auto& b) {
    return std::tie(std::get<0>(a), std::get<1>(a)) > std::tie(std::get<0>(b), std::get<1>(b));
  });
  std::vector<NodeId> out;
  out.reserve(weighed.size());
  for (const auto& entry : weighed) out.push_back(*std::get<2>(entry));
  return out;
}

// A node that many pull from gathers longer.
Duration GossipService::pace() const {
  const double links = static_cast<double>(pendingPolls_.size()) / kLinksAtPace;
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(dependencies_.updateInterval.count()) * std::max(1.0, links)));
}

std::vector<NodeId> GossipService::controlNodes() const {
  std::set<NodeId> all;
  const auto& known = dependencies_.knownValue();
  all.insert(known.voters.begin(), known.voters.end());
  all.insert(known.previousVoters.begin(), known.previousVoters.end());
  for (const auto& node : dependencies_.registry.controlNodes()) {
    if (!dependencies_.registry.nodes().at(node).shuttingDown) all.insert(node);
  }
  for (const auto& [node, zone] : discoveredControlNodes_) {
    // What the book says of them counts, once it says anything.
    if (!dependencies_.registry.nodes().contains(node)) all.insert(node);
  }
  if (all.size() < kCoresPerSidecar) {
    all.insert(dependencies_.seeds().begin(), dependencies_.seeds().end());
  }
  return {all.begin(), all.end()};
}

std::set<NodeId> GossipService::near(const std::vector<NodeId>& nodes) const {
  std::set<NodeId> out;
  for (const auto& node : nodes) {
    const auto it = dependencies_.registry.nodes().find(node);
    const auto hint = discoveredControlNodes_.find(node);
    const bool known = it != dependencies_.registry.nodes().end();
    const bool same =
        known ? it->second.zone == dependencies_.zone
              : hint != discoveredControlNodes_.end() && hint->second == dependencies_.zone;
    if (same) out.insert(node);
  }
  return out;
}

// The first few of the others of this node's kind, in its own order. The whole fleet is walked for
// it: only when a node has come, gone or changed.
const std::vector<NodeId>& GossipService::peers() {
  const auto& book = dependencies_.registry;
  if (peersFor_ == book.nodeChangeCount()) return peers_;
  peersFor_ = book.nodeChangeCount();
  using Weighed = std::tuple<bool, std::uint64_t, const NodeId*>;
  std::vector<Weighed> all;
  const auto own = stableHash(dependencies_.self.str());
  for (const auto& [node, facts] : book.nodes()) {
    if (facts.isControlNode || facts.shuttingDown || facts.unresponsive ||
        node == dependencies_.self)
      continue;
    all.emplace_back(facts.zone == dependencies_.zone, stableHash(node.str(), own), &node);
  }
  const auto few = static_cast<std::ptrdiff_t>(std::min(kPeersKept, all.size()));
  std::partial_sort(all.begin(), all.begin() + few, all.end(), std::greater<>());
  peers_.clear();
  for (auto it = all.begin(); it != all.begin() + few; ++it) peers_.push_back(*std::get<2>(*it));
  return peers_;
}

void GossipService::choose() {
  const TimePoint now = dependencies_.environment.now();
  const auto working = [&](const NodeId& node) {
    const auto it = links_.find(node);
    return it == links_.end() || it->second.failures == 0;
  };
  std::set<NodeId> wanted;
  std::set<NodeId> back;  // these are asked to pull from here in turn
  std::set<NodeId> lazy;  // these are there to be sure
  const auto known = controlNodes();
  if (dependencies_.isControlNode) {
    // A new core is known to nobody yet: whoever it pulls from has to pull back.
    wanted.insert(known.begin(), known.end());
    back.insert(known.begin(), known.end());
  } else {
    std::size_t good = 0;
    std::size_t kept = 0;
    // Where no core is in touch with a majority, one is as good as the other.
    const bool anyInTouch = !std::all_of(known.begin(), known.end(),
                                         [this](const NodeId& node) { return cutOff(node); });
    for (const auto& node : rendezvousOrder(dependencies_.self, known, near(known))) {
      if (good >= kCoresPerSidecar) break;
      if (anyInTouch && cutOff(node)) {
        // It carries no news, but has some of its own: what servers tell it, and who hears it.
        if (kept++ >= kCutOffKept) continue;
        wanted.insert(node);
        back.insert(node);
        lazy.insert(node);
        continue;
      }
      wanted.insert(node);
      // One working core carries the news, both ways; the second is there to be sure.
      (good == 0 ? back : lazy).insert(node);
      if (working(node)) ++good;
    }
    for (const auto& node : peers()) {
      wanted.insert(node);
      back.insert(node);
      lazy.insert(node);
      if (working(node)) break;
    }
    if (good == 0) wanted.insert(dependencies_.seeds().begin(), dependencies_.seeds().end());
  }
  // Whoever pulls from here is pulled back, so that its news gets out.
  for (const auto& [node, asked] : pulledFromHere_) {
    if (now - asked.at >= kBackFor) continue;
    if (wanted.insert(node).second && asked.lazy) lazy.insert(node);
  }
  wanted.erase(dependencies_.self);
  for (const auto& node : wanted) links_.try_emplace(node, dependencies_.registry.sourceTable());
  for (auto& [node, link] : links_) {
    link.wanted = wanted.contains(node);
    link.back = back.contains(node);
    const bool was = std::exchange(link.lazy, lazy.contains(node));
    if (was && !link.lazy && link.failures == 0) link.retryAt = now;
  }
  std::erase_if(links_,
                [](const auto& entry) { return !entry.second.wanted && !entry.second.busy; });
}

// What is kept of nodes that have other neighbours by now, or are gone.
void GossipService::forget(TimePoint now) {
  std::erase_if(told_, [&](const auto& entry) {
    const auto heard = heard_.find(entry.first);
    return !pendingPolls_.contains(entry.first) &&
           (heard == heard_.end() || now - heard->second > kForgetPuller);
  });
  std::erase_if(cutOff_, [&](const auto& entry) { return now - entry.second > kCutOffFor; });
  std::erase_if(answeredAt_, [&](const auto& entry) { return !told_.contains(entry.first); });
  std::erase_if(toldIn_, [&](const auto& entry) { return !told_.contains(entry.first); });
  std::erase_if(pulledFromHere_,
                [&](const auto& entry) { return now - entry.second.at > kForgetPuller; });
  for (auto* times : {&heard_, &currentAt_}) {
    std::erase_if(*times, [&](const auto& entry) {
      return now - entry.second > kForgetPuller &&
             !dependencies_.registry.nodes().contains(entry.first);
    });
  }
}

// Which cores there are is asked first, of one of those that everybody is told: were they asked for
// all they know by the whole fleet, they would answer nobody in time, the other cores included.
void GossipService::startDiscovery() {
  const TimePoint now = dependencies_.environment.now();
  if (discoverAt_ == TimePoint()) discoverAt_ = now + dependencies_.initialDelay;
  if (now < discoverAt_) return;
  const auto order = rendezvousOrder(dependencies_.self, controlNodes(), {});
  if (order.empty() || discoveryAttempts_ >= kGreetMost) {
    discoveryDone_ = true;
    return;
  }
  discoverAt_ = now + kGreetLimit + kRetryAfter;
  const json body = {{"f", dependencies_.self.str()}, {"g", 1}};
  dependencies_.environment.send(order[discoveryAttempts_++ % order.size()], body, kGreetLimit,
                                 [this](const std::optional<json>& answer) {
                                   if (!answer || stopped_) {
                                     discoverAt_ = dependencies_.environment.now();
                                     return;
                                   }
                                   try {
                                     onDiscoveryAnswer(*answer);
                                   } catch (const std::exception&) {
                                     discoverAt_ = dependencies_.environment.now();
                                   }
                                 });
}

void GossipService::onDiscoveryAnswer(const json& answer) {
  for (const auto& core : answer.at("c")) {
    discoveredControlNodes_[NodeId(core.at(0).get<std::string>())] =
        ZoneName(core.at(1).get<std::string>());
  }
  discoveryDone_ = true;
  tick();
}

json GossipService::knownControlNodes() const {
  json out = json::array();
  for (const auto& node : dependencies_.registry.controlNodes()) {
    const auto& facts = dependencies_.registry.nodes().at(node);
    if (!facts.shuttingDown && !facts.unresponsive) out.push_back({node.str(), facts.zone.str()});
  }
  // One that came back inside a cut has heard of nobody, but its disk names the voters.
  for (const auto& voter : dependencies_.knownValue().voters) {
    if (!dependencies_.registry.nodes().contains(voter)) out.push_back({voter.str(), ""});
  }
  return out;
}

// One that only lost its way here for a moment has nearly all, and is told the rest at once.
bool GossipService::knowsLittle(const json& pull) const {
  membership::VersionVector theirs(dependencies_.registry.sourceTable());
  if (pull.contains("v")) {
    for (const auto& [source, count] : membership::entriesFromJson(pull.at("v")))
      theirs.set(source, count);
  }
  std::size_t lacking = 0;
  theirs.forEachNewer(dependencies_.registry.versionVector(),
                      [&](const auto&, auto, auto) { ++lacking; });
  return lacking > kFewLives;
}

// A newcomer is told everything, which a small machine can't do for many at once: each gets a turn.
Duration GossipService::waitOf(const NodeId& newcomer) {
  const TimePoint now = dependencies_.environment.now();
  std::erase_if(reserved_, [&](const auto& entry) { return now - entry.second > kReserved; });
  const TimePoint turn = std::min(std::max(now, nextIn_), now + kLongestWait);
  const auto [it, fresh] = reserved_.try_emplace(newcomer, turn);
  if (fresh) nextIn_ = it->second + dependencies_.fullSyncInterval;
  const Duration wait = it->second - now;
  if (wait > kNoWait) return wait;
  reserved_.erase(it);
  return Duration(0);
}

bool GossipService::cutOff(const NodeId& core) const {
  const auto it = cutOff_.find(core);
  return it != cutOff_.end() && dependencies_.environment.now() - it->second <= kCutOffFor;
}

// Its readers choose another carrier at once, and ask those that are only asked now and then.
void GossipService::cutOff(const NodeId& core, bool is) {
  const bool was = cutOff(core);
  if (is) {
    cutOff_[core] = dependencies_.environment.now();
  } else {
    cutOff_.erase(core);
  }
  if (was == is || dependencies_.isControlNode) return;
  choose();
  if (!is) return;
  for (auto& [node, link] : links_) {
    if (node != core && link.failures == 0)
      link.retryAt = std::min(link.retryAt, dependencies_.environment.now());
  }
  dependencies_.environment.after(Duration(0), [this] { tick(); });
}

TimePoint GossipService::lastQuorumContact() const {
  return dependencies_.stalenessBound.quorumContact(dependencies_.knownValue(), dependencies_.self,
                                                    dependencies_.ownAcceptedAsOf());
}

Duration GossipService::quorumContactAge() const {
  return dependencies_.environment.readClock() - lastQuorumContact();
}

Duration GossipService::stalenessAge() const {
  return dependencies_.environment.readClock() -
         dependencies_.stalenessBound.knownUpTo(lastQuorumContact());
}

// Loses it by the clock alone; whoever waits here for news is told to look elsewhere.
void GossipService::checkLease() {
  if (!dependencies_.isControlNode) return;
  const TimePoint now = dependencies_.environment.now();
  if (startedAt_ == consensus::StalenessBound::kNever) startedAt_ = now;
  const bool has = hasQuorumLease();
  if (has == hasLease_) return;
  hasLease_ = has;
  if (has) leaseHeldSince_ = now;
  if (onLeaseChange) onLeaseChange(has);
  if (has) return;
  auto waiting = std::move(pendingPolls_);
  pendingPolls_.clear();
  for (auto& [from, hanging] : waiting) {
    dependencies_.environment.cancel(hanging.timer);
    answer(from, hanging, false);
  }
}

// What an answer says of itself, in milliseconds and reckoned from the arrival of the pull: "e",
// everything chosen up to so long before it is known here (or after it, where negative); "y", the
// same of what the voter here had accepted; "u", this core is out of touch with the majority. The
// puller takes the moment at which it sent the pull for that of the arrival: it was earlier.
void GossipService::writeStalenessBound(const PendingPoll& hanging, const Field& add) const {
  const auto millis = [](Duration span) {  // rounded up: rather older than it is
    return std::to_string(span.count() > 0 ? (span.count() + 999) / 1000 : span.count() / 1000);
  };
  const TimePoint quorum = lastQuorumContact();
  const TimePoint upTo = dependencies_.stalenessBound.knownUpTo(quorum);
  if (upTo > consensus::StalenessBound::kNever) add("e", millis(hanging.arrived - upTo));
  if (!dependencies_.isControlNode) return;
  if (hanging.isControlNode) {
    const auto own = dependencies_.ownAcceptedAsOf();
    if (own && *own > consensus::StalenessBound::kNever) add("y", millis(hanging.arrived - *own));
  }
  // One that has just started may still be on its way to them.
  const bool young = leaseHeldSince_ == consensus::StalenessBound::kNever &&
                     (startedAt_ == consensus::StalenessBound::kNever ||
                      dependencies_.environment.now() - startedAt_ <= kQuorumLease);
  if (!young && dependencies_.environment.readClock() - quorum > kQuorumLease) add("u", "1");
}

// Only of an answer whose value, if it brought one, is known here by now.
void GossipService::readStalenessBound(const NodeId& peer, const json& answer, TimePoint asked) {
  const TimePoint now = dependencies_.environment.readClock();
  const auto moment = [&](const json& age) {
    const double ms = std::clamp(age.get<double>(), -1e9, 1e9);
    return std::min(now, asked - fromMillis(ms));
  };
  if (answer.contains("e")) dependencies_.stalenessBound.onPeerBound(moment(answer.at("e")));
  if (answer.contains("y"))
    dependencies_.stalenessBound.onVoterContact(peer, moment(answer.at("y")));
}

void GossipService::tick() {
  if (stopped_) return;
  checkLease();
  if (!dependencies_.isControlNode && !discoveryDone_) {
    startDiscovery();
    if (!discoveryDone_) return;
  }
  const TimePoint now = dependencies_.environment.now();
  if (chosenFor_ != dependencies_.registry.nodeChangeCount() || now - chosenAt_ > kChooseEvery) {
    chosenFor_ = dependencies_.registry.nodeChangeCount();
    chosenAt_ = now;
    choose();
    forget(now);
  }
  std::vector<NodeId> due;
  for (const auto& [node, link] : links_) {
    if (link.wanted && !link.busy && link.retryAt <= now) due.push_back(node);
  }
  for (const auto& node : due) {
    // One new neighbour after the other: each then only sends what those before it lacked.
    if (!links_.at(node).met) {
      if (firstMeetAt_ != TimePoint() && now - firstMeetAt_ < kFirstAlone) continue;
      firstMeetAt_ = now;
    }
    pull(node);
  }
}

void GossipService::pull(const NodeId& peer) {
  auto& link = links_.at(peer);
  link.busy = true;
  link.askedAt = dependencies_.environment.readClock();
  const auto& book = dependencies_.registry;
  const auto facts = book.nodes().find(peer);
  const bool near = facts != book.nodes().end() && facts->second.zone == dependencies_.zone;
  // One that has failed is asked for a sign of life only: a long pull into a cut would still be
  // waited for when the cut is over.
  const bool brief = !link.met || link.lazy || link.failures > 0;
  const Duration hang = brief ? Duration(0) : near ? kHangNear : kHangFar;
  json body = {{"f", dependencies_.self.str()},
               {"s", dependencies_.knownValue().sequence},
               {"w", hang.count() / 1000},
               {"d", book.versionVector().hash()},
               {"h", book.digest()}};
  if (dependencies_.knownValue().config) body["t"] = dependencies_.knownValue().config->id();
  if (link.back) body["b"] = dependencies_.hearsInstances && !link.lazy ? 1 : 2;
  if (dependencies_.isControlNode) body["c"] = 1;
  if (link.full) {
    body["a"] = 1;
    link.told.clear();
  }
  const auto news = book.entriesAbove(link.told);
  if (!news.empty()) body["v"] = membership::toJson(news);
  // Lives struck from the vector since.
  json struck = json::array();
  if (link.told.size() + news.size() > book.versionVector().size()) {
    for (const auto& source : link.told.sourcesMissingIn(book.versionVector())) {
      struck.push_back(source.str());
      link.told.erase(source);
    }
  }
  if (!struck.empty()) body["x"] = std::move(struck);
  if (link.mend != 0) {
    body["m"] = link.mend;
    body["i"] = json::parse(book.itemsInRanges(link.mend, dependencies_.environment.now()));
    link.mend = 0;
  }
  for (const auto& [source, count] : news) link.told.set(source, count);
  dependencies_.environment.send(
      peer, body, link.met ? hang + kAnswerSlack : kMeetLimit,
      [this, peer, near](const std::optional<json>& answer) { answered(peer, near, answer); });
}

void GossipService::answered(const NodeId& peer, bool near, const std::optional<json>& answer) {
  auto& l = links_.at(peer);
  l.busy = false;
  if (stopped_) return;
  const bool first = !l.met;
  if (first) {
    firstMeetAt_ = TimePoint();
    dependencies_.environment.after(Duration(0), [this] { tick(); });
  }
  const bool later = answer && answer->contains("l");
  const bool sound = answer && (!later || answer->at("l").is_number());
  if (later && sound) {
    // Its turn comes later.
    const double wait = answer->at("l").get<double>();
    l.full = true;
    l.failures = 0;
    l.retryAt =
        dependencies_.environment.now() + fromMillis(std::clamp(wait, 0.0, toMillis(kLongestWait)));
    return;
  }
  l.met = l.met || sound;
  if (!sound) {
    ++l.failures;
    l.full = true;
    l.retryAt = dependencies_.environment.now() + kRetryAfter;
    choose();
    return;
  }
  l.failures = 0;
  hasPulled_ = true;
  heard_[peer] = dependencies_.environment.now();
  currentAt_[peer] = heard_[peer];
  try {
    took(peer, *answer);
    readStalenessBound(peer, *answer, links_.at(peer).askedAt);
    cutOff(peer, answer->contains("u"));
  } catch (const std::exception&) {
    l.retryAt = dependencies_.environment.now() + kRetryAfter;
    return;
  }
  if (first && onFirstContact) onFirstContact(peer);
  const auto link = links_.find(peer);
  if (link == links_.end() || !link->second.wanted) return;
  auto& again = link->second;
  // A peer that wants the whole vector, or where the books differ, is asked again at once.
  if (again.lazy && !again.full && again.mend == 0) {
    const Duration wait = near ? kLazyNear : kLazyFar;
    again.retryAt = dependencies_.environment.now() + wait;
    dependencies_.environment.after(wait, [this] { tick(); });
  } else {
    pull(peer);
  }
}

void GossipService::took(const NodeId& peer, const json& answer) {
  const TimePoint now = dependencies_.environment.now();
  auto& book = dependencies_.registry;
  bool fresh = false;
  if (answer.contains("i") || answer.contains("v")) {
    const auto come = answer.contains("v") ? membership::entriesFromJson(answer.at("v"))
                                           : membership::VersionVectorEntries();
    fresh = book.merge(answer.value("i", json::array()), come, now);
  }
  auto& link = links_.at(peer);
  link.full = answer.contains("q");
  if (answer.contains("r")) {
    const auto mine = book.rangeDigests();
    const auto& theirs = answer.at("r");
    for (std::size_t i = 0; i < mine.size(); ++i) {
      if (theirs.at(i).get<std::uint64_t>() != mine.at(i)) link.mend |= 1U << i;
    }
  }
  if (answer.contains("c")) dependencies_.onValue(dependencies_.parseValue(answer.at("c")));
  if (fresh) {
    discoveredControlNodes_.clear();  // the book says it now
    dependencies_.onNodesChanged();
    notifyUpdate();
  }
}

void GossipService::probe(const NodeId& node, const std::function<void(bool)>& told) {
  const json body = {{"f", dependencies_.self.str()}, {"p", 1}};
  dependencies_.environment.send(node, body, kProbeLimit,
                                 [this, node, told](const std::optional<json>& answer) {
                                   const bool there = answer.has_value();
                                   if (there) heard_.erase(node);
                                   told(there);
                                 });
}

void GossipService::handlePull(const json& pull, ReplyCallback answering) {
  if (pull.contains("p")) {
    answering("{}");
    return;
  }
  if (pull.contains("g")) {
    answering(json{{"c", knownControlNodes()}}.dump());
    return;
  }
  const NodeId from(pull.at("f").get<std::string>());
  if (pull.contains("a") && !pull.contains("c") && knowsLittle(pull)) {
    if (const Duration wait = waitOf(from); wait > Duration(0)) {
      heard_[from] = dependencies_.environment.now();
      answering(json{{"l", wait.count() / 1000 + 1}}.dump());
      return;
    }
  }
  PendingPoll hanging;
  hanging.answer = std::move(answering);
  hanging.sequence = pull.at("s").get<std::uint64_t>();
  hanging.text = pull.value("t", std::uint64_t{0});
  hanging.digest = pull.at("h").get<std::uint64_t>();
  hanging.arrived = dependencies_.environment.readClock();
  hanging.isControlNode = pull.contains("c");
  const auto wait = std::clamp<std::int64_t>(pull.at("w").get<std::int64_t>(), 0, 5000);
  const TimePoint now = dependencies_.environment.now();
  const bool asked = pull.contains("b");
  const bool firstTime =
      asked && (!pulledFromHere_.contains(from) || now - pulledFromHere_[from].at > kBackFor);
  if (asked) pulledFromHere_[from] = {now, pull.at("b").get<int>() > 1};
  heard_[from] = now;
  auto& told = told_.try_emplace(from, dependencies_.registry.sourceTable()).first->second;
  if (pull.contains("a")) told.clear();
  if (pull.contains("v")) {
    for (const auto& [source, count] : membership::entriesFromJson(pull.at("v")))
      told.set(source, count);
  }
  if (pull.contains("x")) {
    for (const auto& source : pull.at("x"))
      told.erase(membership::SourceId(source.get<std::string>()));
  }
  if (told.hash() != pull.at("d").get<std::uint64_t>()) {
    // What is remembered of the puller is not what it has: it is asked for its whole vector.
    told_.erase(from);
    hanging.answer(R"({"q":1})");
    return;
  }
  if (pull.contains("i") && dependencies_.registry.merge(pull.at("i"), {}, now)) {
    dependencies_.onNodesChanged();
    notifyUpdate();
  }
  if (firstTime) {
    chosenFor_ = 0;  // the links are chosen anew
    dependencies_.environment.after(Duration(0), [this] { tick(); });
  }
  if (pull.contains("m")) {
    hanging.answer(
        "{\"i\":" + dependencies_.registry.itemsInRanges(pull.at("m").get<std::uint32_t>(), now) +
        "}");
    return;
  }
  const auto puller = dependencies_.registry.nodes().find(from);
  if (puller != dependencies_.registry.nodes().end()) toldIn_[from] = puller->second.incarnation;
  if (onPeerProgress) onPeerProgress();
  const auto answered = answeredAt_.find(from);
  if (answered != answeredAt_.end() && !hasOtherText(hanging))
    hanging.notBefore = answered->second + pace();
  const bool anything = anythingFor(from, hanging);
  if (wait == 0 || stopped_ || (anything && hanging.notBefore <= now)) {
    answer(from, hanging, false);
    return;
  }
  if (anything) notifyUpdate();
  hanging.timer = dependencies_.environment.after(fromMillis(static_cast<double>(wait)),
                                                  [this, from] { onPollTimeout(from); });
  auto older = pendingPolls_.find(from);
  if (older != pendingPolls_.end()) {
    // Its caller has given that one up.
    dependencies_.environment.cancel(older->second.timer);
    const auto left = std::move(older->second);
    pendingPolls_.erase(older);
    left.answer("{}");
  }
  pendingPolls_.emplace(from, std::move(hanging));
}

void GossipService::onPollTimeout(const NodeId& from) {
  auto node = pendingPolls_.extract(from);
  if (!node.empty()) answer(from, node.mapped(), true);
}

// A new configuration waits for no pace.
bool GossipService::hasOtherText(const PendingPoll& hanging) const {
  return dependencies_.knownValue().config &&
         dependencies_.knownValue().config->id() != hanging.text;
}

bool GossipService::anythingFor(const NodeId& from, const PendingPoll& hanging) const {
  if (dependencies_.knownValue().sequence > hanging.sequence) return true;
  const auto told = told_.find(from);
  return told != told_.end() && dependencies_.registry.hasNewerThan(told->second);
}

void GossipService::answer(const NodeId& to, const PendingPoll& hanging, bool timeUp) {
  const auto& book = dependencies_.registry;
  const auto& told = told_.try_emplace(to, book.sourceTable()).first->second;
  std::string text = "{";
  const auto add = [&text](const char* name, const std::string& value) {
    text += (text.size() > 1 ? ",\"" : "\"") + std::string(name) + "\":" + value;
  };
  const auto items = book.itemsNewerThan(told, dependencies_.environment.now());
  const bool newValue = dependencies_.knownValue().sequence > hanging.sequence;
  if (!items.empty() || newValue) answeredAt_[to] = dependencies_.environment.now();
  if (!items.empty()) add("i", items);
  const auto above = book.entriesAbove(told);
  if (!above.empty()) add("v", membership::toJson(above).dump());
  // Nothing new for a while on either side, and yet the books differ: by ranges, then.
  if (timeUp && items.empty() && hanging.digest != book.digest()) {
    add("r", json(book.rangeDigests()).dump());
  }
  if (newValue) add("c", dependencies_.knownValueJson(hanging.text));
  writeStalenessBound(hanging, add);
  text += "}";
  hanging.answer(text);
}

void GossipService::notifyUpdate() {
  if (updateScheduled_) return;
  updateScheduled_ = true;
  dependencies_.environment.after(kTogether, [this] { answerPolls(); });
}

// Answers the pulls that hang and can be told something; those told a moment ago a little later.
void GossipService::answerPolls() {
  updateScheduled_ = false;
  const TimePoint now = dependencies_.environment.now();
  std::vector<NodeId> due;
  TimePoint again = TimePoint::max();
  for (const auto& [from, hanging] : pendingPolls_) {
    if (!anythingFor(from, hanging)) continue;
    if (hasOtherText(hanging) || hanging.notBefore <= now) {
      due.push_back(from);
    } else {
      again = std::min(again, hanging.notBefore);
    }
  }
  for (const auto& from : due) {
    auto node = pendingPolls_.extract(from);
    dependencies_.environment.cancel(node.mapped().timer);
    answer(from, node.mapped(), false);
  }
  if (again == TimePoint::max() || updateScheduled_) return;
  updateScheduled_ = true;
  dependencies_.environment.after(again - now, [this] { answerPolls(); });
}

// Those that leave, are silent, or have a new life since they said so may hold it no more.
std::size_t GossipService::replicaCount(const membership::Dot& dot) const {
  std::size_t n = 0;
  for (const auto& [node, told] : told_) {
    const auto facts = dependencies_.registry.nodes().find(node);
    if (facts == dependencies_.registry.nodes().end() || !facts->second.isControlNode) continue;
    if (facts->second.shuttingDown || facts->second.unresponsive ||
        !heardWithin(node, kHolderHeard))
      continue;
    const auto incarnation = toldIn_.find(node);
    if (incarnation == toldIn_.end() || incarnation->second != facts->second.incarnation) continue;
    if (told.counterOf(dot.source) >= dot.counter) ++n;
  }
  return n;
}

Duration GossipService::controlContactAge() const {
  TimePoint newest;
  for (const auto& [node, at] : currentAt_) {
    const auto facts = dependencies_.registry.nodes().find(node);
    if (facts != dependencies_.registry.nodes().end() && facts->second.isControlNode) {
      newest = std::max(newest, at);
    }
  }
  return newest == TimePoint() ? Duration::max() : dependencies_.environment.now() - newest;
}

void GossipService::stop() {
  stopped_ = true;
  for (auto& [from, hanging] : pendingPolls_) {
    dependencies_.environment.cancel(hanging.timer);
    answer(from, hanging, false);
  }
  pendingPolls_.clear();
}

TimePoint GossipService::lastHeard(const NodeId& node) const {
  const auto it = heard_.find(node);
  return it == heard_.end() ? TimePoint() : it->second;
}

std::vector<NodeId> GossipService::unheardFor(Duration span) const {
  std::vector<NodeId> out;
  const TimePoint now = dependencies_.environment.now();
  for (const auto& [node, at] : heard_) {
    if (now - at > span) out.push_back(node);
  }
  return out;
}

bool GossipService::heardWithin(const NodeId& node, Duration span) const {
  const auto it = heard_.find(node);
  return it != heard_.end() && dependencies_.environment.now() - it->second <= span;
}

}  // namespace merlingauge::gossip
