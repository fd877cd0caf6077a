#include "process/roster.hpp"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace merlin::hut {

using cairn::Value;
using nlohmann::json;

namespace {
constexpr Span kHangNear = std::chrono::milliseconds(1000);
constexpr Span kHangFar = std::chrono::milliseconds(2000);  // bytes between zones are dear
constexpr Span kLazyNear = std::chrono::milliseconds(700);
constexpr Span kLazyFar = std::chrono::milliseconds(1400);
constexpr Span kAnswerSlack = std::chrono::milliseconds(600);
constexpr Span kTogether = std::chrono::milliseconds(10);
constexpr Span kRetryAfter = std::chrono::milliseconds(700);
constexpr Span kBackFor = std::chrono::milliseconds(3500);
constexpr std::size_t kCoresPerSidecar = 2;
constexpr std::size_t kPeersKept = 8;  // one of them is pulled from, the first that answers
constexpr Span kProbeLimit = std::chrono::milliseconds(900);
constexpr Span kFirstAlone = std::chrono::milliseconds(400);
constexpr double kLinksAtPace = 12;
constexpr Span kChooseEvery = std::chrono::milliseconds(500);
constexpr Span kForgetPuller = std::chrono::seconds(20);
constexpr Span kMeetLimit = std::chrono::seconds(2);  // a small machine has much to tell
constexpr Span kGreetLimit = std::chrono::milliseconds(1000);
constexpr std::size_t kGreetMost = 4;  // then without: whoever is asked may be of an older version
constexpr Span kReserved = std::chrono::seconds(2);
constexpr Span kLongestWait = std::chrono::seconds(4);
constexpr std::size_t kFewLives = 16;
constexpr Span kHolderHeard = std::chrono::milliseconds(2500);  // the longest hang and a little
constexpr Span kNoWait = std::chrono::milliseconds(5);
constexpr std::size_t kCutOffKept = 2;  // links to cores without authority, for their own news
constexpr Span kCutOffFor = std::chrono::seconds(10);
}  // namespace

std::vector<NodeId> rendezvous(const NodeId& self, const std::vector<NodeId>& all,
                               const std::set<NodeId>& near) {
  std::vector<std::tuple<int, std::uint64_t, const NodeId*>> weighed;
  weighed.reserve(all.size());
  for (const auto& node : all) {
    if (node == self) continue;
    weighed.emplace_back(near.contains(node) ? 1 : 0, mixHash(self.str() + ">" + node.str()),
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
Span Roster::pace() const {
  const double links = static_cast<double>(hanging_.size()) / kLinksAtPace;
  return Span(
      static_cast<std::int64_t>(static_cast<double>(parts_.pace.count()) * std::max(1.0, links)));
}

std::vector<NodeId> Roster::cores() const {
  std::set<NodeId> all;
  const auto& known = parts_.known();
  all.insert(known.voters.begin(), known.voters.end());
  all.insert(known.before.begin(), known.before.end());
  for (const auto& node : parts_.guestbook.cores()) {
    if (!parts_.guestbook.nodes().at(node).leaving) all.insert(node);
  }
  for (const auto& [node, zone] : hinted_) {
    // What the book says of them counts, once it says anything.
    if (!parts_.guestbook.nodes().contains(node)) all.insert(node);
  }
  if (all.size() < kCoresPerSidecar) {
    all.insert(parts_.seeds().begin(), parts_.seeds().end());
  }
  return {all.begin(), all.end()};
}

std::set<NodeId> Roster::near(const std::vector<NodeId>& nodes) const {
  std::set<NodeId> out;
  for (const auto& node : nodes) {
    const auto it = parts_.guestbook.nodes().find(node);
    const auto hint = hinted_.find(node);
    const bool known = it != parts_.guestbook.nodes().end();
    const bool same = known ? it->second.zone == parts_.zone
                            : hint != hinted_.end() && hint->second == parts_.zone;
    if (same) out.insert(node);
  }
  return out;
}

// The first few of the others of this node's kind, in its own order. The whole fleet is walked for
// it: only when a node has come, gone or changed.
const std::vector<NodeId>& Roster::peers() {
  const auto& book = parts_.guestbook;
  if (peersFor_ == book.nodeChanges()) return peers_;
  peersFor_ = book.nodeChanges();
  using Weighed = std::tuple<bool, std::uint64_t, const NodeId*>;
  std::vector<Weighed> all;
  const auto own = mixHash(parts_.self.str());
  for (const auto& [node, facts] : book.nodes()) {
    if (facts.core || facts.leaving || facts.silent || node == parts_.self) continue;
    all.emplace_back(facts.zone == parts_.zone, mixHash(node.str(), own), &node);
  }
  const auto few = static_cast<std::ptrdiff_t>(std::min(kPeersKept, all.size()));
  std::partial_sort(all.begin(), all.begin() + few, all.end(), std::greater<>());
  peers_.clear();
  for (auto it = all.begin(); it != all.begin() + few; ++it) peers_.push_back(*std::get<2>(*it));
  return peers_;
}

void Roster::choose() {
  const Instant now = parts_.world.now();
  const auto working = [&](const NodeId& node) {
    const auto it = links_.find(node);
    return it == links_.end() || it->second.failures == 0;
  };
  std::set<NodeId> wanted;
  std::set<NodeId> back;  // these are asked to pull from here in turn
  std::set<NodeId> lazy;  // these are there to be sure
  const auto known = cores();
  if (parts_.core) {
    // A new core is known to nobody yet: whoever it pulls from has to pull back.
    wanted.insert(known.begin(), known.end());
    back.insert(known.begin(), known.end());
  } else {
    std::size_t good = 0;
    std::size_t kept = 0;
    // Where no core is in touch with a majority, one is as good as the other.
    const bool anyInTouch = !std::all_of(known.begin(), known.end(),
                                         [this](const NodeId& node) { return cutOff(node); });
    for (const auto& node : rendezvous(parts_.self, known, near(known))) {
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
    if (good == 0) wanted.insert(parts_.seeds().begin(), parts_.seeds().end());
  }
  // Whoever pulls from here is pulled back, so that its news gets out.
  for (const auto& [node, asked] : pulledFromHere_) {
    if (now - asked.at >= kBackFor) continue;
    if (wanted.insert(node).second && asked.lazy) lazy.insert(node);
  }
  wanted.erase(parts_.self);
  for (const auto& node : wanted) links_.try_emplace(node, parts_.guestbook.lives());
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
void Roster::forget(Instant now) {
  std::erase_if(told_, [&](const auto& entry) {
    const auto heard = heard_.find(entry.first);
    return !hanging_.contains(entry.first) &&
           (heard == heard_.end() || now - heard->second > kForgetPuller);
  });
  std::erase_if(cutOff_, [&](const auto& entry) { return now - entry.second > kCutOffFor; });
  std::erase_if(answeredAt_, [&](const auto& entry) { return !told_.contains(entry.first); });
  std::erase_if(toldIn_, [&](const auto& entry) { return !told_.contains(entry.first); });
  std::erase_if(pulledFromHere_,
                [&](const auto& entry) { return now - entry.second.at > kForgetPuller; });
  for (auto* times : {&heard_, &currentAt_}) {
    std::erase_if(*times, [&](const auto& entry) {
      return now - entry.second > kForgetPuller && !parts_.guestbook.nodes().contains(entry.first);
    });
  }
}

// Which cores there are is asked first, of one of those that everybody is told: were they asked for
// all they know by the whole fleet, they would answer nobody in time, the other cores included.
void Roster::greet() {
  const Instant now = parts_.world.now();
  if (greetAt_ == Instant()) greetAt_ = now + parts_.firstWait;
  if (now < greetAt_) return;
  const auto order = rendezvous(parts_.self, cores(), {});
  if (order.empty() || greetings_ >= kGreetMost) {
    greeted_ = true;
    return;
  }
  greetAt_ = now + kGreetLimit + kRetryAfter;
  const json body = {{"f", parts_.self.str()}, {"g", 1}};
  parts_.world.post(order[greetings_++ % order.size()], body, kGreetLimit,
                    [this](const std::optional<json>& answer) {
                      if (!answer || stopped_) {
                        greetAt_ = parts_.world.now();
                        return;
                      }
                      try {
                        greeted(*answer);
                      } catch (const std::exception&) {
                        greetAt_ = parts_.world.now();
                      }
                    });
}

void Roster::greeted(const json& answer) {
  for (const auto& core : answer.at("c")) {
    hinted_[NodeId(core.at(0).get<std::string>())] = ZoneName(core.at(1).get<std::string>());
  }
  greeted_ = true;
  tick();
}

json Roster::coresTold() const {
  json out = json::array();
  for (const auto& node : parts_.guestbook.cores()) {
    const auto& facts = parts_.guestbook.nodes().at(node);
    if (!facts.leaving && !facts.silent) out.push_back({node.str(), facts.zone.str()});
  }
  // One that came back inside a cut has heard of nobody, but its disk names the voters.
  for (const auto& voter : parts_.known().voters) {
    if (!parts_.guestbook.nodes().contains(voter)) out.push_back({voter.str(), ""});
  }
  return out;
}

// One that only lost its way here for a moment has nearly all, and is told the rest at once.
bool Roster::knowsLittle(const json& pull) const {
  cairn::Tally theirs(parts_.guestbook.lives());
  if (pull.contains("v")) {
    for (const auto& [source, count] : cairn::vectorFrom(pull.at("v"))) theirs.set(source, count);
  }
  std::size_t lacking = 0;
  theirs.behind(parts_.guestbook.come(), [&](const auto&, auto, auto) { ++lacking; });
  return lacking > kFewLives;
}

// A newcomer is told everything, which a small machine can't do for many at once: each gets a turn.
Span Roster::waitOf(const NodeId& newcomer) {
  const Instant now = parts_.world.now();
  std::erase_if(reserved_, [&](const auto& entry) { return now - entry.second > kReserved; });
  const Instant turn = std::min(std::max(now, nextIn_), now + kLongestWait);
  const auto [it, fresh] = reserved_.try_emplace(newcomer, turn);
  if (fresh) nextIn_ = it->second + parts_.letIn;
  const Span wait = it->second - now;
  if (wait > kNoWait) return wait;
  reserved_.erase(it);
  return Span(0);
}

bool Roster::cutOff(const NodeId& core) const {
  const auto it = cutOff_.find(core);
  return it != cutOff_.end() && parts_.world.now() - it->second <= kCutOffFor;
}

// Its readers choose another carrier at once, and ask those that are only asked now and then.
void Roster::cutOff(const NodeId& core, bool is) {
  const bool was = cutOff(core);
  if (is) {
    cutOff_[core] = parts_.world.now();
  } else {
    cutOff_.erase(core);
  }
  if (was == is || parts_.core) return;
  choose();
  if (!is) return;
  for (auto& [node, link] : links_) {
    if (node != core && link.failures == 0)
      link.retryAt = std::min(link.retryAt, parts_.world.now());
  }
  parts_.world.after(Span(0), [this] { tick(); });
}

Instant Roster::quorumAt() const {
  return parts_.evidence.quorum(parts_.known(), parts_.self, parts_.own());
}

Span Roster::quorumAge() const { return parts_.world.clock() - quorumAt(); }

Span Roster::knownAge() const {
  return parts_.world.clock() - parts_.evidence.knownUpTo(quorumAt());
}

// Loses it by the clock alone; whoever waits here for news is told to look elsewhere.
void Roster::watchAuthority() {
  if (!parts_.core) return;
  const Instant now = parts_.world.now();
  if (startedAt_ == cairn::Evidence::kNever) startedAt_ = now;
  const bool has = hasAuthority();
  if (has == authority_) return;
  authority_ = has;
  if (has) authoritySince_ = now;
  if (onAuthority) onAuthority(has);
  if (has) return;
  auto waiting = std::move(hanging_);
  hanging_.clear();
  for (auto& [from, hanging] : waiting) {
    parts_.world.cancel(hanging.timer);
    answer(from, hanging, false);
  }
}

// What an answer says of itself, in milliseconds and reckoned from the arrival of the pull: "e",
// everything chosen up to so long before it is known here (or after it, where negative); "y", the
// same of what the voter here had accepted; "u", this core is out of touch with the majority. The
// puller takes the moment at which it sent the pull for that of the arrival: it was earlier.
void Roster::tellEvidence(const Hanging& hanging, const Field& add) const {
  const auto millis = [](Span span) {  // rounded up: rather older than it is
    return std::to_string(span.count() > 0 ? (span.count() + 999) / 1000 : span.count() / 1000);
  };
  const Instant quorum = quorumAt();
  const Instant upTo = parts_.evidence.knownUpTo(quorum);
  if (upTo > cairn::Evidence::kNever) add("e", millis(hanging.arrived - upTo));
  if (!parts_.core) return;
  if (hanging.core) {
    const auto own = parts_.own();
    if (own && *own > cairn::Evidence::kNever) add("y", millis(hanging.arrived - *own));
  }
  // One that has just started may still be on its way to them.
  const bool young =
      authoritySince_ == cairn::Evidence::kNever &&
      (startedAt_ == cairn::Evidence::kNever || parts_.world.now() - startedAt_ <= kAuthority);
  if (!young && parts_.world.clock() - quorum > kAuthority) add("u", "1");
}

// Only of an answer whose value, if it brought one, is known here by now.
void Roster::takeEvidence(const NodeId& peer, const json& answer, Instant asked) {
  const Instant now = parts_.world.clock();
  const auto moment = [&](const json& age) {
    const double ms = std::clamp(age.get<double>(), -1e9, 1e9);
    return std::min(now, asked - fromMillis(ms));
  };
  if (answer.contains("e")) parts_.evidence.neighbour(moment(answer.at("e")));
  if (answer.contains("y")) parts_.evidence.voter(peer, moment(answer.at("y")));
}

void Roster::tick() {
  if (stopped_) return;
  watchAuthority();
  if (!parts_.core && !greeted_) {
    greet();
    if (!greeted_) return;
  }
  const Instant now = parts_.world.now();
  if (chosenFor_ != parts_.guestbook.nodeChanges() || now - chosenAt_ > kChooseEvery) {
    chosenFor_ = parts_.guestbook.nodeChanges();
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
      if (firstMeetAt_ != Instant() && now - firstMeetAt_ < kFirstAlone) continue;
      firstMeetAt_ = now;
    }
    pull(node);
  }
}

void Roster::pull(const NodeId& peer) {
  auto& link = links_.at(peer);
  link.busy = true;
  link.askedAt = parts_.world.clock();
  const auto& book = parts_.guestbook;
  const auto facts = book.nodes().find(peer);
  const bool near = facts != book.nodes().end() && facts->second.zone == parts_.zone;
  // One that has failed is asked for a sign of life only: a long pull into a cut would still be
  // waited for when the cut is over.
  const bool brief = !link.met || link.lazy || link.failures > 0;
  const Span hang = brief ? Span(0) : near ? kHangNear : kHangFar;
  json body = {{"f", parts_.self.str()},
               {"s", parts_.known().sequence},
               {"w", hang.count() / 1000},
               {"d", book.come().hash()},
               {"h", book.digest()}};
  if (parts_.known().config) body["t"] = parts_.known().config->id();
  if (link.back) body["b"] = parts_.hears && !link.lazy ? 1 : 2;
  if (parts_.core) body["c"] = 1;
  if (link.full) {
    body["a"] = 1;
    link.told.clear();
  }
  const auto news = book.above(link.told);
  if (!news.empty()) body["v"] = cairn::toJson(news);
  // Lives struck from the vector since.
  json struck = json::array();
  if (link.told.size() + news.size() > book.come().size()) {
    for (const auto& source : link.told.missingIn(book.come())) {
      struck.push_back(source.str());
      link.told.strike(source);
    }
  }
  if (!struck.empty()) body["x"] = std::move(struck);
  if (link.mend != 0) {
    body["m"] = link.mend;
    body["i"] = json::parse(book.itemsIn(link.mend, parts_.world.now()));
    link.mend = 0;
  }
  for (const auto& [source, count] : news) link.told.set(source, count);
  parts_.world.post(
      peer, body, link.met ? hang + kAnswerSlack : kMeetLimit,
      [this, peer, near](const std::optional<json>& answer) { answered(peer, near, answer); });
}

void Roster::answered(const NodeId& peer, bool near, const std::optional<json>& answer) {
  auto& l = links_.at(peer);
  l.busy = false;
  if (stopped_) return;
  const bool first = !l.met;
  if (first) {
    firstMeetAt_ = Instant();
    parts_.world.after(Span(0), [this] { tick(); });
  }
  const bool later = answer && answer->contains("l");
  const bool sound = answer && (!later || answer->at("l").is_number());
  if (later && sound) {
    // Its turn comes later.
    const double wait = answer->at("l").get<double>();
    l.full = true;
    l.failures = 0;
    l.retryAt = parts_.world.now() + fromMillis(std::clamp(wait, 0.0, toMillis(kLongestWait)));
    return;
  }
  l.met = l.met || sound;
  if (!sound) {
    ++l.failures;
    l.full = true;
    l.retryAt = parts_.world.now() + kRetryAfter;
    choose();
    return;
  }
  l.failures = 0;
  pulled_ = true;
  heard_[peer] = parts_.world.now();
  currentAt_[peer] = heard_[peer];
  try {
    took(peer, *answer);
    takeEvidence(peer, *answer, links_.at(peer).askedAt);
    cutOff(peer, answer->contains("u"));
  } catch (const std::exception&) {
    l.retryAt = parts_.world.now() + kRetryAfter;
    return;
  }
  if (first && onMet) onMet(peer);
  const auto link = links_.find(peer);
  if (link == links_.end() || !link->second.wanted) return;
  auto& again = link->second;
  // A peer that wants the whole vector, or where the books differ, is asked again at once.
  if (again.lazy && !again.full && again.mend == 0) {
    const Span wait = near ? kLazyNear : kLazyFar;
    again.retryAt = parts_.world.now() + wait;
    parts_.world.after(wait, [this] { tick(); });
  } else {
    pull(peer);
  }
}

void Roster::took(const NodeId& peer, const json& answer) {
  const Instant now = parts_.world.now();
  auto& book = parts_.guestbook;
  bool fresh = false;
  if (answer.contains("i") || answer.contains("v")) {
    const auto come = answer.contains("v") ? cairn::vectorFrom(answer.at("v")) : cairn::Vector();
    fresh = book.merge(answer.value("i", json::array()), come, now);
  }
  auto& link = links_.at(peer);
  link.full = answer.contains("q");
  if (answer.contains("r")) {
    const auto mine = book.ranges();
    const auto& theirs = answer.at("r");
    for (std::size_t i = 0; i < mine.size(); ++i) {
      if (theirs.at(i).get<std::uint64_t>() != mine.at(i)) link.mend |= 1U << i;
    }
  }
  if (answer.contains("c")) parts_.learn(parts_.readValue(answer.at("c")));
  if (fresh) {
    hinted_.clear();  // the book says it now
    parts_.changed();
    news();
  }
}

void Roster::probe(const NodeId& node, const std::function<void(bool)>& told) {
  const json body = {{"f", parts_.self.str()}, {"p", 1}};
  parts_.world.post(node, body, kProbeLimit, [this, node, told](const std::optional<json>& answer) {
    const bool there = answer.has_value();
    if (there) heard_.erase(node);
    told(there);
  });
}

void Roster::serve(const json& pull, Answer answering) {
  if (pull.contains("p")) {
    answering("{}");
    return;
  }
  if (pull.contains("g")) {
    answering(json{{"c", coresTold()}}.dump());
    return;
  }
  const NodeId from(pull.at("f").get<std::string>());
  if (pull.contains("a") && !pull.contains("c") && knowsLittle(pull)) {
    if (const Span wait = waitOf(from); wait > Span(0)) {
      heard_[from] = parts_.world.now();
      answering(json{{"l", wait.count() / 1000 + 1}}.dump());
      return;
    }
  }
  Hanging hanging;
  hanging.answer = std::move(answering);
  hanging.sequence = pull.at("s").get<std::uint64_t>();
  hanging.text = pull.value("t", std::uint64_t{0});
  hanging.digest = pull.at("h").get<std::uint64_t>();
  hanging.arrived = parts_.world.clock();
  hanging.core = pull.contains("c");
  const auto wait = std::clamp<std::int64_t>(pull.at("w").get<std::int64_t>(), 0, 5000);
  const Instant now = parts_.world.now();
  const bool asked = pull.contains("b");
  const bool firstTime =
      asked && (!pulledFromHere_.contains(from) || now - pulledFromHere_[from].at > kBackFor);
  if (asked) pulledFromHere_[from] = {now, pull.at("b").get<int>() > 1};
  heard_[from] = now;
  auto& told = told_.try_emplace(from, parts_.guestbook.lives()).first->second;
  if (pull.contains("a")) told.clear();
  if (pull.contains("v")) {
    for (const auto& [source, count] : cairn::vectorFrom(pull.at("v"))) told.set(source, count);
  }
  if (pull.contains("x")) {
    for (const auto& source : pull.at("x")) told.strike(cairn::SourceId(source.get<std::string>()));
  }
  if (told.hash() != pull.at("d").get<std::uint64_t>()) {
    // What is remembered of the puller is not what it has: it is asked for its whole vector.
    told_.erase(from);
    hanging.answer(R"({"q":1})");
    return;
  }
  if (pull.contains("i") && parts_.guestbook.merge(pull.at("i"), {}, now)) {
    parts_.changed();
    news();
  }
  if (firstTime) {
    chosenFor_ = 0;  // the links are chosen anew
    parts_.world.after(Span(0), [this] { tick(); });
  }
  if (pull.contains("m")) {
    hanging.answer("{\"i\":" + parts_.guestbook.itemsIn(pull.at("m").get<std::uint32_t>(), now) +
                   "}");
    return;
  }
  const auto puller = parts_.guestbook.nodes().find(from);
  if (puller != parts_.guestbook.nodes().end()) toldIn_[from] = puller->second.life;
  if (onTold) onTold();
  const auto answered = answeredAt_.find(from);
  if (answered != answeredAt_.end() && !hasOtherText(hanging))
    hanging.notBefore = answered->second + pace();
  const bool anything = anythingFor(from, hanging);
  if (wait == 0 || stopped_ || (anything && hanging.notBefore <= now)) {
    answer(from, hanging, false);
    return;
  }
  if (anything) news();
  hanging.timer =
      parts_.world.after(fromMillis(static_cast<double>(wait)), [this, from] { timeUp(from); });
  auto older = hanging_.find(from);
  if (older != hanging_.end()) {
    // Its caller has given that one up.
    parts_.world.cancel(older->second.timer);
    const auto left = std::move(older->second);
    hanging_.erase(older);
    left.answer("{}");
  }
  hanging_.emplace(from, std::move(hanging));
}

void Roster::timeUp(const NodeId& from) {
  auto node = hanging_.extract(from);
  if (!node.empty()) answer(from, node.mapped(), true);
}

// A new configuration waits for no pace.
bool Roster::hasOtherText(const Hanging& hanging) const {
  return parts_.known().config && parts_.known().config->id() != hanging.text;
}

bool Roster::anythingFor(const NodeId& from, const Hanging& hanging) const {
  if (parts_.known().sequence > hanging.sequence) return true;
  const auto told = told_.find(from);
  return told != told_.end() && parts_.guestbook.lacks(told->second);
}

void Roster::answer(const NodeId& to, const Hanging& hanging, bool timeUp) {
  const auto& book = parts_.guestbook;
  const auto& told = told_.try_emplace(to, book.lives()).first->second;
  std::string text = "{";
  const auto add = [&text](const char* name, const std::string& value) {
    text += (text.size() > 1 ? ",\"" : "\"") + std::string(name) + "\":" + value;
  };
  const auto items = book.newerThan(told, parts_.world.now());
  const bool newValue = parts_.known().sequence > hanging.sequence;
  if (!items.empty() || newValue) answeredAt_[to] = parts_.world.now();
  if (!items.empty()) add("i", items);
  const auto above = book.above(told);
  if (!above.empty()) add("v", cairn::toJson(above).dump());
  // Nothing new for a while on either side, and yet the books differ: by ranges, then.
  if (timeUp && items.empty() && hanging.digest != book.digest()) {
    add("r", json(book.ranges()).dump());
  }
  if (newValue) add("c", parts_.knownFor(hanging.text));
  tellEvidence(hanging, add);
  text += "}";
  hanging.answer(text);
}

void Roster::news() {
  if (newsPlanned_) return;
  newsPlanned_ = true;
  parts_.world.after(kTogether, [this] { tellNews(); });
}

// Answers the pulls that hang and can be told something; those told a moment ago a little later.
void Roster::tellNews() {
  newsPlanned_ = false;
  const Instant now = parts_.world.now();
  std::vector<NodeId> due;
  Instant again = Instant::max();
  for (const auto& [from, hanging] : hanging_) {
    if (!anythingFor(from, hanging)) continue;
    if (hasOtherText(hanging) || hanging.notBefore <= now) {
      due.push_back(from);
    } else {
      again = std::min(again, hanging.notBefore);
    }
  }
  for (const auto& from : due) {
    auto node = hanging_.extract(from);
    parts_.world.cancel(node.mapped().timer);
    answer(from, node.mapped(), false);
  }
  if (again == Instant::max() || newsPlanned_) return;
  newsPlanned_ = true;
  parts_.world.after(again - now, [this] { tellNews(); });
}

// Those that leave, are silent, or have a new life since they said so may hold it no more.
std::size_t Roster::holders(const cairn::Dot& dot) const {
  std::size_t n = 0;
  for (const auto& [node, told] : told_) {
    const auto facts = parts_.guestbook.nodes().find(node);
    if (facts == parts_.guestbook.nodes().end() || !facts->second.core) continue;
    if (facts->second.leaving || facts->second.silent || !heardWithin(node, kHolderHeard)) continue;
    const auto life = toldIn_.find(node);
    if (life == toldIn_.end() || life->second != facts->second.life) continue;
    if (told.of(dot.source) >= dot.count) ++n;
  }
  return n;
}

Span Roster::newsAge() const {
  Instant newest;
  for (const auto& [node, at] : currentAt_) {
    const auto facts = parts_.guestbook.nodes().find(node);
    if (facts != parts_.guestbook.nodes().end() && facts->second.core) {
      newest = std::max(newest, at);
    }
  }
  return newest == Instant() ? Span::max() : parts_.world.now() - newest;
}

void Roster::stop() {
  stopped_ = true;
  for (auto& [from, hanging] : hanging_) {
    parts_.world.cancel(hanging.timer);
    answer(from, hanging, false);
  }
  hanging_.clear();
}

Instant Roster::lastHeard(const NodeId& node) const {
  const auto it = heard_.find(node);
  return it == heard_.end() ? Instant() : it->second;
}

std::vector<NodeId> Roster::quietFor(Span span) const {
  std::vector<NodeId> out;
  const Instant now = parts_.world.now();
  for (const auto& [node, at] : heard_) {
    if (now - at > span) out.push_back(node);
  }
  return out;
}

bool Roster::heardWithin(const NodeId& node, Span span) const {
  const auto it = heard_.find(node);
  return it != heard_.end() && parts_.world.now() - it->second <= span;
}

}  // namespace merlin::hut
