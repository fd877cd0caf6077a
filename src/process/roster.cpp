#include "process/roster.hpp"

#include <algorithm>
#include <utility>

namespace merlin::hut {

using cairn::Page;
using cairn::Value;
using nlohmann::json;

namespace {
constexpr Span kHangNear = std::chrono::milliseconds(1000);
constexpr Span kHangFar = std::chrono::milliseconds(2000);  // bytes between zones are dear
constexpr Span kAnswerSlack = std::chrono::milliseconds(600);
constexpr Span kTogether = std::chrono::milliseconds(10);
constexpr Span kRetryAfter = std::chrono::milliseconds(700);
constexpr Span kBackFor = std::chrono::milliseconds(3500);
constexpr std::size_t kCoresPerSidecar = 2;
}  // namespace

std::vector<NodeId> rendezvous(const NodeId& self, const std::vector<NodeId>& all,
                               const std::set<NodeId>& near) {
  std::vector<NodeId> out = all;
  std::erase(out, self);
  const auto weight = [&](const NodeId& node) {
    return std::make_pair(near.contains(node) ? 1 : 0, mixHash(self.str() + ">" + node.str()));
  };
  std::sort(out.begin(), out.end(),
            [&](const NodeId& a, const NodeId& b) { return weight(a) > weight(b); });
  return out;
}

std::vector<NodeId> Roster::cores() const {
  std::set<NodeId> all;
  const auto& known = parts_.known();
  all.insert(known.voters.begin(), known.voters.end());
  all.insert(known.before.begin(), known.before.end());
  for (const auto& [node, page] : parts_.guestbook.pages()) {
    if (page.node.core && !page.node.leaving) all.insert(node);
  }
  if (all.size() < kCoresPerSidecar) {
    all.insert(parts_.seeds().begin(), parts_.seeds().end());
  }
  return {all.begin(), all.end()};
}

void Roster::choose() {
  const Instant now = parts_.world.now();
  const auto working = [&](const NodeId& node) {
    const auto it = links_.find(node);
    return it == links_.end() || it->second.failures == 0;
  };
  std::set<NodeId> near;
  std::vector<NodeId> sidecars;
  for (const auto& [node, page] : parts_.guestbook.pages()) {
    if (page.node.zone == parts_.zone) near.insert(node);
    if (!page.node.core && !page.node.leaving) sidecars.push_back(node);
  }
  std::set<NodeId> wanted;
  std::set<NodeId> back;  // these are asked to pull from here in turn
  const auto known = cores();
  if (parts_.core) {
    // A new core is known to nobody yet: whoever it pulls from has to pull back.
    wanted.insert(known.begin(), known.end());
    back.insert(known.begin(), known.end());
  } else {
    std::size_t good = 0;
    for (const auto& node : rendezvous(parts_.self, known, near)) {
      if (good >= kCoresPerSidecar) break;
      wanted.insert(node);
      // One working core carries the news on; the second is there to hear from.
      if (good == 0) back.insert(node);
      if (working(node)) ++good;
    }
    for (const auto& node : rendezvous(parts_.self, sidecars, near)) {
      wanted.insert(node);
      back.insert(node);
      if (working(node)) break;
    }
    if (good == 0) wanted.insert(parts_.seeds().begin(), parts_.seeds().end());
  }
  // Whoever pulls from here is pulled back, so that its news gets out.
  for (const auto& [node, at] : pulledFromHere_) {
    if (now - at < kBackFor) wanted.insert(node);
  }
  wanted.erase(parts_.self);
  for (const auto& node : wanted) links_.try_emplace(node);
  for (auto& [node, link] : links_) {
    link.wanted = wanted.contains(node);
    link.back = back.contains(node);
  }
  std::erase_if(links_,
                [](const auto& entry) { return !entry.second.wanted && !entry.second.busy; });
}

void Roster::tick() {
  if (stopped_) return;
  choose();
  const Instant now = parts_.world.now();
  std::vector<NodeId> due;
  for (const auto& [node, link] : links_) {
    if (link.wanted && !link.busy && link.retryAt <= now) due.push_back(node);
  }
  for (const auto& node : due) pull(node);
}

void Roster::pull(const NodeId& peer) {
  auto& link = links_[peer];
  link.busy = true;
  const auto& pages = parts_.guestbook.pages();
  const auto page = pages.find(peer);
  const bool near = page != pages.end() && page->second.node.zone == parts_.zone;
  const Span hang = near ? kHangNear : kHangFar;
  json body = {
      {"f", parts_.self.str()}, {"s", parts_.known().sequence}, {"w", hang.count() / 1000}};
  if (link.back) body["b"] = 1;
  if (link.full) {
    body["v"] = cairn::toJson(parts_.guestbook.vector());
  } else {
    body["d"] = parts_.guestbook.digest();
  }
  parts_.world.post(peer, body, hang + kAnswerSlack, [this, peer](std::optional<json> answer) {
    auto& l = links_[peer];
    l.busy = false;
    if (stopped_) return;
    if (!answer) {
      ++l.failures;
      l.full = true;
      l.retryAt = parts_.world.now() + kRetryAfter;
      choose();
      return;
    }
    l.failures = 0;
    pulled_ = true;
    heard_[peer] = parts_.world.now();
    try {
      took(peer, *answer);
    } catch (const std::exception&) {
      l.retryAt = parts_.world.now() + kRetryAfter;
      return;
    }
    if (links_[peer].wanted) pull(peer);
  });
}

void Roster::took(const NodeId& peer, const json& answer) {
  const Instant now = parts_.world.now();
  bool fresh = false;
  if (answer.contains("p")) {
    for (const auto& page : answer.at("p")) {
      fresh = parts_.guestbook.merge(cairn::pageFrom(page), now) || fresh;
    }
  }
  // Equal digests: from here on the digest says it all.
  links_[peer].full = answer.at("d").get<std::uint64_t>() != parts_.guestbook.digest();
  if (answer.contains("c")) parts_.learn(cairn::valueFrom(answer.at("c")));
  if (fresh) {
    parts_.changed();
    news();
  }
}

void Roster::serve(const json& pull, Answer answering) {
  Hanging hanging;
  hanging.answer = std::move(answering);
  hanging.from = NodeId(pull.at("f").get<std::string>());
  hanging.sequence = pull.at("s").get<std::uint64_t>();
  const auto wait = std::clamp<std::int64_t>(pull.at("w").get<std::int64_t>(), 0, 5000);
  const Instant now = parts_.world.now();
  const bool asked = pull.contains("b");
  const bool firstTime = asked && (!pulledFromHere_.contains(hanging.from) ||
                                   now - pulledFromHere_[hanging.from] > kBackFor);
  if (asked) pulledFromHere_[hanging.from] = now;
  heard_[hanging.from] = now;
  if (pull.contains("v")) {
    hanging.had = cairn::vectorFrom(pull.at("v"));
  } else if (pull.at("d").get<std::uint64_t>() == parts_.guestbook.digest()) {
    hanging.had = parts_.guestbook.vector();
  } else {
    // The two have drifted apart: the puller is asked for its vector.
    hanging.answer(json{{"d", parts_.guestbook.digest()}});
    return;
  }
  if (firstTime) parts_.world.after(Span(0), [this] { tick(); });
  if (wait == 0 || stopped_ || anythingFor(hanging)) {
    answer(hanging);
    return;
  }
  hanging_.push_back(std::move(hanging));
  const auto it = std::prev(hanging_.end());
  it->timer = parts_.world.after(fromMillis(static_cast<double>(wait)), [this, it] {
    it->timer = 0;
    answer(*it);
    hanging_.erase(it);
  });
}

bool Roster::anythingFor(const Hanging& hanging) const {
  if (parts_.known().sequence > hanging.sequence) return true;
  for (const auto* page : parts_.guestbook.newerThan(hanging.had)) {
    if (page->node.id != hanging.from) return true;
  }
  return false;
}

void Roster::answer(Hanging& hanging) {
  json out = {{"d", parts_.guestbook.digest()}};
  json pages = json::array();
  for (const auto* page : parts_.guestbook.newerThan(hanging.had)) {
    // Its own page it has; only a page from its earlier life is news to it.
    const auto had = hanging.had.find(hanging.from);
    if (page->node.id == hanging.from && had != hanging.had.end() &&
        had->second.life >= page->version.life) {
      continue;
    }
    pages.push_back(toJson(*page));
  }
  if (!pages.empty()) out["p"] = std::move(pages);
  if (parts_.known().sequence > hanging.sequence) out["c"] = toJson(parts_.known());
  hanging.answer(out);
}

void Roster::news() {
  if (newsPlanned_) return;
  newsPlanned_ = true;
  parts_.world.after(kTogether, [this] {
    newsPlanned_ = false;
    for (auto it = hanging_.begin(); it != hanging_.end();) {
      if (!anythingFor(*it)) {
        ++it;
        continue;
      }
      parts_.world.cancel(it->timer);
      answer(*it);
      it = hanging_.erase(it);
    }
  });
}

void Roster::stop() {
  stopped_ = true;
  for (auto& hanging : hanging_) {
    parts_.world.cancel(hanging.timer);
    answer(hanging);
  }
  hanging_.clear();
}

Instant Roster::lastHeard(const NodeId& node) const {
  const auto it = heard_.find(node);
  return it == heard_.end() ? Instant() : it->second;
}

bool Roster::heardWithin(const NodeId& node, Span span) const {
  const auto it = heard_.find(node);
  return it != heard_.end() && parts_.world.now() - it->second <= span;
}

}  // namespace merlin::hut
