#include "version/register.hpp"

#include <algorithm>

namespace merlin::cairn {

using nlohmann::json;

namespace {
constexpr std::size_t kShortText = 2048;  // not worth packing
constexpr std::uint64_t kBackOffMs = 20;
constexpr int kBackOffSteps = 4;
constexpr Span kRoundMost = std::chrono::seconds(4);
constexpr Span kFetchTime = std::chrono::seconds(2);

json names(const std::vector<NodeId>& nodes) {
  json out = json::array();
  for (const auto& node : nodes) out.push_back(node.str());
  return out;
}

std::vector<NodeId> namesFrom(const json& j) {
  std::vector<NodeId> out;
  for (const auto& name : j) out.emplace_back(name.get<std::string>());
  return out;
}
}  // namespace

Span extraTime(std::size_t bytes) { return Span(static_cast<std::int64_t>(bytes) * 4); }

bool Value::isVoter(const NodeId& node) const {
  return std::find(voters.begin(), voters.end(), node) != voters.end();
}

json toJson(const Ballot& ballot) { return json::array({ballot.number, ballot.by.str()}); }

Ballot ballotFrom(const json& j) {
  return {j.at(0).get<std::uint64_t>(), NodeId(j.at(1).get<std::string>())};
}

namespace {
// The text itself, or whichever of its short forms the reader can use.
void writeText(const Signboard& board, std::uint64_t has, const Shelf* shelf, bool spare,
               json& out) {
  out["i"] = board.id();
  if (has == board.id()) return;
  if (board.text().size() <= kShortText) {
    out["c"] = board.text();
    return;
  }
  const auto base = shelf == nullptr || has == 0 ? nullptr : shelf->find(has);
  if (base) {
    const auto& delta = board.deltaFrom(*base);
    if (delta.size() < board.text().size() / 8) {
      out["d"] = delta;
      out["o"] = has;
      return;
    }
  }
  if (spare) {
    out["m"] = 1;
  } else {
    out["z"] = board.packed();
  }
}

Signboard::Ptr readText(const json& j, const Shelf* shelf) {
  const auto id = j.at("i").get<std::uint64_t>();
  auto board = shelf == nullptr ? nullptr : shelf->find(id);
  if (board || j.contains("m")) return board;
  if (j.contains("c")) {
    board = Signboard::of(j.at("c").get<std::string>());
  } else if (j.contains("z")) {
    board = Signboard::unpack(j.at("z").get<std::string>(), id);
  } else if (j.contains("d") && shelf != nullptr) {
    const auto base = shelf->find(j.at("o").get<std::uint64_t>());
    if (base) board = Signboard::apply(*base, j.at("d").get_ref<const std::string&>(), id);
  }
  if (!board || board->id() != id) throw std::out_of_range("a text that can't be made here");
  return board;
}
}  // namespace

json toJson(const Value& value, std::uint64_t has, const Shelf* shelf, bool spare) {
  json recent = json::array();
  for (const auto& taken : value.recent) {
    recent.push_back(json::array({taken.revision.value, taken.digest}));
  }
  json out = {{"s", value.sequence}, {"e", value.epoch}, {"v", names(value.voters)}};
  if (!value.stamp.empty()) out["t"] = value.stamp;
  if (value.config) {
    writeText(*value.config, has, shelf, spare, out);
    out["n"] = value.configRevision.value;
  }
  if (!recent.empty()) out["r"] = std::move(recent);
  if (!value.before.empty()) out["b"] = names(value.before);
  return out;
}

Value valueFrom(const json& j, const Shelf* shelf) {
  Value value;
  value.sequence = j.at("s").get<std::uint64_t>();
  value.epoch = j.at("e").get<std::uint64_t>();
  value.voters = namesFrom(j.at("v"));
  value.stamp = j.value("t", "");
  if (j.contains("n")) {
    value.config = readText(j, shelf);
    if (!value.config) value.absent = j.at("i").get<std::uint64_t>();
    value.configRevision = Revision{j.at("n").get<std::int64_t>()};
  }
  if (j.contains("b")) value.before = namesFrom(j.at("b"));
  if (j.contains("r")) {
    for (const auto& taken : j.at("r")) {
      value.recent.push_back(
          {Revision{taken.at(0).get<std::int64_t>()}, taken.at(1).get<std::string>()});
    }
  }
  return value;
}

json toJson(const Ask& ask, const Shelf* shelf) {
  json out = {{"k", static_cast<int>(ask.kind)}, {"f", ask.from.str()}, {"b", toJson(ask.ballot)}};
  if (ask.kind == Ask::Kind::accept) {
    out["v"] = toJson(ask.value, ask.text, shelf);
    json lives = json::object();
    for (const auto& [node, life] : ask.lives) lives[node.str()] = life.value;
    out["l"] = std::move(lives);
  } else if (ask.kind == Ask::Kind::rejoin) {
    out["n"] = ask.life.value;
  } else if (ask.kind == Ask::Kind::fetch) {
    out["x"] = ask.text;
  } else if (!ask.have.empty()) {
    out["h"] = ask.have;
    if (ask.text != 0) out["x"] = ask.text;
  }
  return out;
}

Ask askFrom(const json& j, const Shelf* shelf) {
  Ask ask;
  const int kind = j.at("k").get<int>();
  if (kind < 0 || kind > static_cast<int>(Ask::Kind::fetch)) throw std::out_of_range("ask kind");
  ask.kind = static_cast<Ask::Kind>(kind);
  ask.from = NodeId(j.at("f").get<std::string>());
  ask.ballot = ballotFrom(j.at("b"));
  if (ask.kind == Ask::Kind::accept) {
    ask.value = valueFrom(j.at("v"), shelf);
    for (const auto& [node, life] : j.at("l").items()) {
      ask.lives[NodeId(node)] = Life{life.get<std::uint64_t>()};
    }
  } else if (ask.kind == Ask::Kind::rejoin) {
    ask.life = Life{j.at("n").get<std::uint64_t>()};
  } else {
    ask.have = j.value("h", "");
    ask.text = j.value("x", std::uint64_t{0});
  }
  return ask;
}

json toJson(const Reply& reply, std::uint64_t has, const Shelf* shelf, bool spare) {
  json out = {{"o", reply.ok}, {"n", reply.life.value}, {"p", toJson(reply.promised)}};
  if (reply.asleep) out["z"] = true;
  if (reply.text != 0) out["x"] = reply.text;
  if (reply.accepted.number > 0) {
    out["a"] = toJson(reply.accepted);
    if (reply.same) {
      out["i"] = true;
    } else {
      out["v"] = toJson(reply.value, has, shelf, spare);
    }
  }
  return out;
}

Reply replyFrom(const json& j, const Shelf* shelf) {
  Reply reply;
  reply.ok = j.at("o").get<bool>();
  reply.asleep = j.value("z", false);
  reply.life = Life{j.at("n").get<std::uint64_t>()};
  reply.text = j.value("x", std::uint64_t{0});
  reply.promised = ballotFrom(j.at("p"));
  if (j.contains("a")) {
    reply.accepted = ballotFrom(j.at("a"));
    reply.same = j.value("i", false);
    if (!reply.same) reply.value = valueFrom(j.at("v"), shelf);
  }
  return reply;
}

// ---- Ledge

Ledge::Ledge(NodeId self, Life life, bool awake)
    : self_(std::move(self)), life_(life), awake_(awake) {}

Ledge::Saved Ledge::save() const {
  json lives = json::object();
  for (const auto& [node, list] : lives_) {
    json values = json::array();
    for (const auto& life : list) values.push_back(life.value);
    lives[node.str()] = std::move(values);
  }
  const std::uint64_t apart = value_.config ? value_.config->id() : 0;
  const json head = {{"life", life_.value},
                     {"awake", awake_},
                     {"promised", toJson(promised_)},
                     {"accepted", toJson(accepted_)},
                     {"value", toJson(value_, apart)},
                     {"lives", std::move(lives)}};
  return {head.dump(), value_.config};
}

std::optional<Ledge> Ledge::restore(NodeId self, const Saved& record) {
  try {
    const auto saved = json::parse(record.head);
    Shelf shelf;
    shelf.put(record.text);
    Ledge ledge(std::move(self), Life{saved.at("life").get<std::uint64_t>()},
                saved.at("awake").get<bool>());
    ledge.promised_ = ballotFrom(saved.at("promised"));
    ledge.accepted_ = ballotFrom(saved.at("accepted"));
    ledge.value_ = valueFrom(saved.at("value"), &shelf);
    for (const auto& [node, list] : saved.at("lives").items()) {
      for (const auto& life : list) {
        ledge.lives_[NodeId(node)].push_back(Life{life.get<std::uint64_t>()});
      }
    }
    return ledge;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

Reply Ledge::answer(bool ok, bool same) const {
  return {ok,        !awake_, life_, promised_,
          accepted_, value_,  same,  value_.config ? value_.config->id() : 0};
}

// False where the life named is over.
bool Ledge::learnLife(const NodeId& node, Life life) {
  auto& list = lives_[node];
  if (!list.empty() && list.back() == life) return true;
  if (std::find(list.begin(), list.end(), life) != list.end()) return false;
  list.push_back(life);
  return true;
}

Ledge::Out Ledge::ask(const Ask& ask) {
  if (!awake_) return {answer(false), false};
  switch (ask.kind) {
    case Ask::Kind::prepare:
      if (ask.ballot < promised_) return {answer(false), false};
      promised_ = ask.ballot;
      return {answer(true, !ask.have.empty() && ask.have == value_.stamp), true};
    case Ask::Kind::accept: {
      if (ask.ballot < promised_ || ask.value.epoch < value_.epoch) return {answer(false), false};
      for (const auto& [node, life] : ask.lives) {
        if (node == self_ && life != life_) return {answer(false), false};
        const auto it = lives_.find(node);
        if (it == lives_.end() || it->second.empty() || it->second.back() == life) continue;
        const auto& list = it->second;
        if (std::find(list.begin(), list.end(), life) != list.end()) return {answer(false), false};
      }
      for (const auto& [node, life] : ask.lives) learnLife(node, life);
      promised_ = ask.ballot;
      accepted_ = ask.ballot;
      value_ = ask.value;
      return {answer(true, true), true};  // the asker wrote it
    }
    case Ask::Kind::rejoin:
      if (!learnLife(ask.from, ask.life)) return {answer(false), false};
      return {answer(true), true};
    case Ask::Kind::fetch:
      return {answer(true), false};
  }
  return {answer(false), false};
}

std::optional<Ask> Ledge::rejoinAsk() const {
  if (awake_) return std::nullopt;
  Ask ask;
  ask.kind = Ask::Kind::rejoin;
  ask.from = self_;
  ask.life = life_;
  return ask;
}

bool Ledge::rejoinReply(const NodeId& from, const Reply& reply, const Value& known) {
  if (awake_ || !reply.ok || reply.asleep) return false;
  rejoin_[from] = reply;
  // The newest voters that anyone has told of decide whose answers count.
  const Value* newest = &known;
  for (const auto& [node, r] : rejoin_) {
    if (r.accepted.number > 0 && r.value.epoch > newest->epoch) newest = &r.value;
  }
  std::set<NodeId> have;
  for (const auto& [node, r] : rejoin_) have.insert(node);
  for (const auto* voters : {&newest->voters, &newest->before}) {
    std::vector<NodeId> others;
    for (const auto& voter : *voters) {
      if (voter != self_) others.push_back(voter);
    }
    if (!others.empty() && !majority(others, have)) return false;
  }
  if (newest->voters.empty()) return false;
  for (const auto& [node, r] : rejoin_) {
    promised_ = std::max(promised_, r.promised);
    if (r.accepted > accepted_) {
      accepted_ = r.accepted;
      value_ = r.value;
    }
  }
  awake_ = true;
  rejoin_.clear();
  return true;
}

bool majority(const std::vector<NodeId>& voters, const std::set<NodeId>& have) {
  const auto n = std::count_if(voters.begin(), voters.end(),
                               [&](const NodeId& voter) { return have.contains(voter); });
  return static_cast<std::size_t>(n) * 2 > voters.size();
}

// ---- Climber

Climber::Climber(NodeId self, Value basis, Change change, std::uint64_t seed, Span round)
    : self_(std::move(self)),
      // No two climbs ever share a ballot, not even two at one node or across its restarts.
      author_(self_.str() + "#" + std::to_string(seed)),
      basis_(std::move(basis)),
      change_(std::move(change)),
      random_(seed),
      roundTime_(round) {}

bool Climber::quorum(const Value& value, const std::set<NodeId>& have) {
  return majority(value.voters, have) && (value.before.empty() || majority(value.before, have));
}

std::vector<Climber::Send> Climber::start(Instant now, Span limit) {
  ends_ = now + limit;
  return newRound(now);
}

std::vector<Climber::Send> Climber::newRound(Instant now) {
  ++round_;
  roundEnds_ = now + roundTime_;
  ballot_ = Ballot{highest_ + 1, author_};
  highest_ = ballot_.number;
  accepting_ = false;
  waiting_ = false;
  fetching_ = false;
  asked_.clear();
  promises_.clear();
  accepts_.clear();
  bestValue_ = basis_;
  bestBallot_ = Ballot{};
  return askMore();
}

std::vector<Climber::Send> Climber::askMore() {
  std::vector<Send> out;
  for (const auto* voters : {&bestValue_.voters, &bestValue_.before}) {
    for (const auto& voter : *voters) {
      if (!asked_.insert(voter).second) continue;
      Ask ask;
      ask.kind = Ask::Kind::prepare;
      ask.from = self_;
      ask.ballot = ballot_;
      ask.have = basis_.stamp;
      ask.text = held_ ? held_->id() : basis_.config ? basis_.config->id() : 0;
      out.push_back({voter, ask, round_});
    }
  }
  return out;
}

bool Climber::everySame() const {
  for (const auto& [node, promise] : promises_) {
    if (promise.accepted != bestBallot_) return false;
  }
  return true;
}

std::vector<Climber::Send> Climber::backOff(Instant now) {
  random_ = mixHash("back-off", random_ + round_);
  waiting_ = true;
  // Longer each time: rivals with slow links must not keep taking each other's turn.
  const std::uint64_t most = kBackOffMs << std::min(refusals_++, kBackOffSteps);
  roundEnds_ = now + fromMillis(2.0 + static_cast<double>(random_ % most));
  return {};
}

std::vector<Climber::Send> Climber::reply(const NodeId& from, std::uint64_t round,
                                          const Reply& reply, Instant now) {
  highest_ = std::max(highest_, reply.promised.number);
  if (result_ || round != round_ || waiting_) return {};
  if (reply.asleep) return {};
  if (!reply.ok) return backOff(now);
  if (accepting_) {
    accepts_.insert(from);
    if (quorum(old_, accepts_) && quorum(next_, accepts_)) accepted();
    return {};
  }
  if (fetching_) {
    if (!reply.value.config || reply.value.config->id() != bestValue_.absent) return {};
    bestValue_.config = reply.value.config;
    bestValue_.absent = 0;
    return promised(now);
  }
  promises_[from] = reply;
  if (reply.accepted > bestBallot_) {
    bestBallot_ = reply.accepted;
    bestValue_ = reply.same ? basis_ : reply.value;
    bestFrom_ = from;
  }
  if (bestValue_.absent != 0 && held_ && held_->id() == bestValue_.absent) {
    bestValue_.config = held_;
    bestValue_.absent = 0;
  }
  std::set<NodeId> have;
  for (const auto& [node, promise] : promises_) have.insert(node);
  if (!quorum(bestValue_, have)) return askMore();
  if (bestValue_.absent == 0) return promised(now);
  // One of those that have the text sends it.
  fetching_ = true;
  ++round_;
  roundEnds_ = now + roundTime_ + kFetchTime;
  Ask ask;
  ask.kind = Ask::Kind::fetch;
  ask.from = self_;
  ask.text = bestValue_.absent;
  return {{bestFrom_, ask, round_}};
}

// A majority has promised: decide what the register is to hold next.
std::vector<Climber::Send> Climber::promised(Instant now) {
  if (bestBallot_.number == 0 && basis_.sequence > 0) return {};  // can't be: the basis was chosen
  old_ = bestValue_;
  next_ = bestValue_;
  verdict_ = change_(old_, next_);
  if (verdict_.kind == Verdict::Kind::put) {
    next_.sequence = old_.sequence + 1;
    next_.stamp = author_.str() + "/" + std::to_string(ballot_.number);
  } else {
    next_ = old_;
    // Nothing to change, and the value read is chosen already: no second round.
    if (everySame()) {
      accepted();
      return {};
    }
  }
  accepting_ = true;
  ++round_;  // a promise that comes late must not count as an acceptance
  // Whoever has the text is not sent it again.
  const bool newText = next_.config && (!old_.config || old_.config->id() != next_.config->id());
  roundEnds_ = now + roundTime_ + (newText ? extraTime(next_) : Span(0));
  Ask ask;
  ask.kind = Ask::Kind::accept;
  ask.from = self_;
  ask.ballot = ballot_;
  ask.value = next_;
  for (const auto& [node, promise] : promises_) ask.lives[node] = promise.life;
  std::set<NodeId> all;
  for (const Value* value : {&old_, &next_}) {
    all.insert(value->voters.begin(), value->voters.end());
    all.insert(value->before.begin(), value->before.end());
  }
  std::vector<Send> out;
  for (const auto& node : all) {
    const auto promise = promises_.find(node);
    ask.text = promise == promises_.end() ? 0 : promise->second.text;
    out.push_back({node, ask, round_});
  }
  return out;
}

void Climber::accepted() {
  Result result;
  result.known = true;
  result.chosen = next_;
  result.ok = verdict_.kind != Verdict::Kind::refuse;
  result.error = verdict_.error;
  result.detail = verdict_.detail;
  result_ = std::move(result);
}

std::vector<Climber::Send> Climber::tick(Instant now) {
  if (result_) return {};
  if (now >= ends_) {
    result_ = Result{};
    return {};
  }
  if (now < roundEnds_) return {};
  // Nobody refused, but too few answered in time: they may need longer.
  if (!waiting_) roundTime_ = std::min(roundTime_ * 3 / 2, kRoundMost);
  return newRound(now);
}

}  // namespace merlin::cairn
