#include "version/register.hpp"

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace merlin::cairn {

using nlohmann::json;

namespace {
constexpr std::size_t kShortText = 2048;  // not worth packing
constexpr std::uint64_t kBackOffMs = 20;
constexpr int kBackOffSteps = 4;
constexpr Span kRoundMost = std::chrono::seconds(4);
constexpr Span kFetchTime = std::chrono::seconds(2);
constexpr unsigned kLuckBits = 40;  // of a life; the rest is its generation
// No honest round is so far above what a voter has promised; one such message would leave no number
// for those that come after it.
constexpr std::uint64_t kBallotJump = 1ULL << 40U;
constexpr std::uint64_t kMostBallot = 1ULL << 62U;
constexpr std::size_t kLivesNodes = 64;

json names(const std::vector<NodeId>& nodes) {
  json out = json::array();
  for (const auto& node : nodes) out.push_back(node.str());
  return out;
}

json livesJson(const std::map<NodeId, Life>& lives) {
  json out = json::object();
  for (const auto& [node, life] : lives) out[node.str()] = life.value;
  return out;
}

std::map<NodeId, Life> livesFrom(const json& j) {
  std::map<NodeId, Life> out;
  for (const auto& [node, life] : j.items()) {
    // Earlier versions kept a list; the last of it was the living one.
    out[NodeId(node)] = Life{(life.is_array() ? life.back() : life).get<std::uint64_t>()};
  }
  return out;
}

std::vector<NodeId> namesFrom(const json& j) {
  std::vector<NodeId> out;
  for (const auto& name : j) out.emplace_back(name.get<std::string>());
  return out;
}
}  // namespace

namespace {
Life lifeOf(std::uint64_t generation, std::uint64_t luck) {
  return Life{(generation << kLuckBits) | (luck & ((std::uint64_t{1} << kLuckBits) - 1))};
}
std::uint64_t generationOf(Life life) { return life.value >> kLuckBits; }
}  // namespace

Life firstLife(std::uint64_t luck) { return lifeOf(1, luck); }

Life laterLife(Life than, std::uint64_t luck) {
  return lifeOf(std::max<std::uint64_t>(generationOf(than), 1) + 1, luck);
}

Span extraTime(std::size_t bytes) { return Span(static_cast<std::int64_t>(bytes) * 4); }

bool Value::isVoter(const NodeId& node) const {
  return std::find(voters.begin(), voters.end(), node) != voters.end();
}

json toJson(const Ballot& ballot) { return json::array({ballot.number, ballot.by.str()}); }

Ballot ballotFrom(const json& j) {
  Ballot ballot{j.at(0).get<std::uint64_t>(), NodeId(j.at(1).get<std::string>())};
  if (ballot.number > kMostBallot) throw std::out_of_range("ballot");
  return ballot;
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
    if (!base) throw NotOnShelf("a text that can't be made here");
    board = Signboard::apply(*base, j.at("d").get_ref<const std::string&>(), id);
  } else {
    throw NotOnShelf("a text that isn't here");
  }
  if (!board || board->id() != id) throw std::out_of_range("a text that can't be made here");
  return board;
}
}  // namespace

namespace {
std::uint64_t idOf(const History::Ptr& history) { return history ? history->id() : 0; }

// {"i": id} with what the reader lacks: the floor "f" and all above it ("s" is the id of what lies
// below); or the floor and what comes after the history "o".
json writeHistory(const History& history, std::uint64_t has) {
  json out = {{"i", history.id()}};
  if (has == history.id()) return out;
  out["f"] = history.floor().value;
  const auto more = has == 0 ? std::nullopt : history.since(has);
  if (more) {
    out["o"] = has;
    out["a"] = *more;
  } else {
    out["s"] = history.seed();
    out["a"] = history.packed();
  }
  return out;
}

History::Ptr readHistory(const json& j, const Shelf* shelf) {
  const auto id = j.at("i").get<std::uint64_t>();
  auto history = shelf == nullptr ? nullptr : shelf->findHistory(id);
  if (history) return history;
  const Revision floor{j.value("f", std::int64_t{0})};
  if (floor.value < 0) throw std::out_of_range("a history from below 0");
  if (j.contains("s")) {
    history = History::unpack(floor, j.at("s").get<std::uint64_t>(),
                              j.at("a").get_ref<const std::string&>());
  } else if (j.contains("o") && shelf != nullptr) {
    const auto base = shelf->findHistory(j.at("o").get<std::uint64_t>());
    if (!base) throw NotOnShelf("a history that can't be made here");
    history = base->append(j.at("a").get_ref<const std::string&>(), floor, id);
  } else {
    throw NotOnShelf("a history that isn't here");
  }
  if (!history || history->id() != id) throw std::out_of_range("a history that can't be made here");
  return history;
}

// As this program wrote it before it kept a history: the last 32 orders, each [revision, SHA-1 in
// hex]. What the first of them built on isn't known.
History::Ptr readRecent(const json& j) {
  constexpr std::size_t kDigits = 16;
  History::Ptr history;
  for (const auto& taken : j) {
    const Revision revision{taken.at(0).get<std::int64_t>()};
    const auto hex = taken.at(1).get<std::string>().substr(0, kDigits);
    std::uint64_t digest = 0;
    std::from_chars(hex.data(), hex.data() + hex.size(), digest, 16);
    if (history && revision <= history->last()) throw std::out_of_range("orders that don't rise");
    history = history ? history->with({revision, digest}) : std::make_shared<History>(revision);
  }
  return history;
}
}  // namespace

json toJson(const Value& value, const Reader& reader, const Shelf* shelf, bool spare) {
  json out = {{"s", value.sequence}, {"e", value.epoch}, {"v", names(value.voters)}};
  if (!value.stamp.empty()) out["t"] = value.stamp;
  if (value.config) {
    writeText(*value.config, reader.text, shelf, spare, out);
    out["n"] = value.configRevision.value;
  }
  if (value.history && reader.wantsHistory) {
    out["h"] = writeHistory(*value.history, reader.history);
  }
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
  if (j.contains("h")) {
    value.history = readHistory(j.at("h"), shelf);
  } else if (j.contains("r")) {
    value.history = readRecent(j.at("r"));
  }
  if (value.history && value.history->last() != value.configRevision) {
    throw std::out_of_range("a history of another version");
  }
  return value;
}

json toJson(const Ask& ask, const Shelf* shelf) {
  json out = {{"k", static_cast<int>(ask.kind)}, {"f", ask.from.str()}, {"b", toJson(ask.ballot)}};
  if (ask.kind == Ask::Kind::accept) {
    out["v"] = toJson(ask.value, Reader{ask.text, ask.history}, shelf);
  } else if (ask.kind == Ask::Kind::rejoin) {
    out["n"] = ask.life.value;
    if (ask.text != 0) out["x"] = ask.text;
  } else if (ask.kind == Ask::Kind::fetch) {
    out["x"] = ask.text;
  } else if (!ask.have.empty()) {
    out["h"] = ask.have;
    if (ask.text != 0) out["x"] = ask.text;
    if (ask.history != 0) out["g"] = ask.history;
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
  } else if (ask.kind == Ask::Kind::rejoin) {
    ask.life = Life{j.at("n").get<std::uint64_t>()};
    ask.text = j.value("x", std::uint64_t{0});
  } else {
    ask.have = j.value("h", "");
    ask.text = j.value("x", std::uint64_t{0});
    ask.history = j.value("g", std::uint64_t{0});
  }
  return ask;
}

Reader readerOf(const Ask& ask) {
  if (ask.kind == Ask::Kind::fetch) return {0, 0, false};
  return {ask.text, ask.history};
}

json toJson(const Reply& reply, const Reader& reader, const Shelf* shelf, bool spare) {
  json out = {{"o", reply.ok}, {"n", reply.life.value}, {"p", toJson(reply.promised)}};
  if (reply.asleep) out["z"] = true;
  if (reply.copied) out["c"] = true;
  if (reply.text != 0) out["x"] = reply.text;
  if (reply.knows != Life{}) out["k"] = reply.knows.value;
  if (!reply.lives.empty()) out["l"] = livesJson(reply.lives);
  if (reply.history != 0) out["g"] = reply.history;
  if (reply.ok && reply.accepted.number > 0) {
    out["a"] = toJson(reply.accepted);
    if (reply.same) {
      out["i"] = true;
    } else {
      out["v"] = toJson(reply.value, reader, shelf, spare);
    }
  }
  return out;
}

Reply replyFrom(const json& j, const Shelf* shelf) {
  Reply reply;
  reply.ok = j.at("o").get<bool>();
  reply.asleep = j.value("z", false);
  reply.copied = j.value("c", false);
  reply.life = Life{j.at("n").get<std::uint64_t>()};
  reply.text = j.value("x", std::uint64_t{0});
  reply.knows = Life{j.value("k", std::uint64_t{0})};
  if (j.contains("l")) reply.lives = livesFrom(j.at("l"));
  reply.history = j.value("g", std::uint64_t{0});
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
  const std::uint64_t apart = value_.config ? value_.config->id() : 0;
  const json head = {{"life", life_.value},
                     {"awake", awake_},
                     {"copied", copied_},
                     {"promised", toJson(promised_)},
                     {"accepted", toJson(accepted_)},
                     {"value", toJson(value_, Reader{apart})},
                     {"lives", livesJson(lives_)}};
  return {head.dump(), value_.config};
}

std::optional<Ledge> Ledge::restore(NodeId self, const Saved& record) {
  try {
    const auto saved = json::parse(record.head);
    Shelf shelf;
    shelf.put(record.text);
    Ledge ledge(std::move(self), Life{saved.at("life").get<std::uint64_t>()},
                saved.at("awake").get<bool>());
    ledge.copied_ = saved.value("copied", false);
    ledge.promised_ = ballotFrom(saved.at("promised"));
    ledge.accepted_ = ballotFrom(saved.at("accepted"));
    ledge.value_ = valueFrom(saved.at("value"), &shelf);
    ledge.lives_ = livesFrom(saved.at("lives"));
    return ledge;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::optional<Ledge::Saved> Ledge::fenced(const Saved& saved, std::uint64_t luck) {
  auto ledge = restore(NodeId(), saved);
  if (!ledge) return std::nullopt;
  ledge->life_ = laterLife(ledge->life_, luck);
  ledge->awake_ = false;
  ledge->copied_ = true;
  return ledge->save();
}

Reply Ledge::answer(bool ok, bool same) const {
  Reply reply;
  reply.ok = ok;
  reply.asleep = !awake_;
  reply.life = life_;
  reply.promised = promised_;
  reply.accepted = accepted_;
  reply.value = value_;
  reply.copied = copied_;
  reply.same = same;
  reply.text = value_.config ? value_.config->id() : 0;
  reply.history = idOf(value_.history);
  reply.lives = lives_;
  return reply;
}

// False where the life named is over: a newer one is known. A first life is below all others and is
// nothing to remember.
bool Ledge::learnLife(const NodeId& node, Life life) {
  const auto it = lives_.find(node);
  if (it != lives_.end() && life < it->second) return false;
  if (generationOf(life) > 1) lives_[node] = life;
  return true;
}

// Of nodes that are no voters nothing is needed: what names them is of an older epoch.
void Ledge::forgetLives(const NodeId& but) {
  if (lives_.size() <= kLivesNodes) return;
  std::erase_if(lives_, [&](const auto& entry) {
    const auto& before = value_.before;
    return entry.first != but && !value_.isVoter(entry.first) &&
           std::find(before.begin(), before.end(), entry.first) == before.end();
  });
}

Ledge::Out Ledge::ask(const Ask& ask) {
  if (!awake_) return {answer(false), false};
  if (ask.ballot.number > promised_.number + kBallotJump) return {answer(false), false};
  switch (ask.kind) {
    case Ask::Kind::prepare:
      if (ask.ballot < promised_) return {answer(false), false};
      promised_ = ask.ballot;
      return {answer(true, !ask.have.empty() && ask.have == value_.stamp &&
                               ask.history == idOf(value_.history)),
              true};
    case Ask::Kind::accept: {
      // The ballot alone decides: a later epoch held here may never have been chosen.
      if (ask.ballot < promised_) return {answer(false), false};
      promised_ = ask.ballot;
      accepted_ = ask.ballot;
      value_ = ask.value;
      copied_ = false;
      forgetLives(self_);
      return {answer(true, true), true};  // the asker wrote it
    }
    case Ask::Kind::rejoin: {
      const bool newest = learnLife(ask.from, ask.life);
      auto reply = answer(newest);
      reply.knows = newest ? ask.life : lives_.at(ask.from);
      forgetLives(ask.from);
      return {reply, newest};
    }
    case Ask::Kind::fetch:
      return {answer(true), false};
  }
  return {answer(false), false};
}

Value Ledge::basisOf(Value known) const {
  if (!known.history && known.stamp == value_.stamp) known.history = value_.history;
  return known;
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
  if (awake_ || reply.asleep) return false;
  if (!reply.ok) {
    // A newer life of this voter is known there: this one asks all anew, as one that is newer
    // still.
    if (reply.knows < life_) return false;
    life_ = laterLife(reply.knows, mixHash(self_.str(), life_.value));
    rejoin_.clear();
    return false;
  }
  if (reply.knows != life_) return false;  // said to the life before
  rejoin_[from] = reply;
  // One that lost its disk since it answered has forgotten what it was told, and may hold more now.
  for (const auto& [node, r] : rejoin_) {
    learnLife(node, r.life);
    for (const auto& [other, life] : r.lives) learnLife(other, life);
  }
  std::erase_if(rejoin_, [this](const auto& entry) {
    const auto it = lives_.find(entry.first);
    return it != lives_.end() && entry.second.life < it->second;
  });
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
      copied_ = true;
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
      ask.history = idOf(ownHistory());
      out.push_back({voter, ask, round_});
    }
  }
  return out;
}

void Climber::putOn(Shelf& shelf) const {
  keepOn(shelf, basis_);
  shelf.put(held_);
  shelf.put(heldHistory_);
}

bool Climber::everySame() const {
  for (const auto& [node, promise] : promises_) {
    if (promise.accepted != bestBallot_ || promise.copied) return false;
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

// A voter that lost its disk may have promised or accepted in the life before. Of two voters that
// count in one quorum, the one that answered the lost one's questions did so before this round, and
// then the new life knows of it, or after, and then its reply tells of the new life: the older
// life's reply doesn't count.
bool Climber::consistent(const NodeId& from, const Reply& reply) {
  const auto over = [this](const NodeId& node, Life life) {
    const auto it = lives_.find(node);
    return it != lives_.end() && life < it->second;
  };
  for (const auto& [node, life] : reply.lives) lives_[node] = std::max(lives_[node], life);
  std::erase_if(promises_, [&](const auto& entry) {
    if (!over(entry.first, entry.second.life)) return false;
    asked_.erase(entry.first);  // its new life is asked
    return true;
  });
  std::erase_if(accepts_, [&](const auto& entry) { return over(entry.first, entry.second); });
  return !over(from, reply.life);
}

std::vector<Climber::Send> Climber::reply(const NodeId& from, std::uint64_t round,
                                          const Reply& reply, Instant now) {
  highest_ = std::max(highest_, reply.promised.number);
  if (!reply.asleep) histories_[from] = reply.history;
  if (result_ || round != round_ || waiting_) return {};
  if (reply.asleep) return {};
  if (!reply.ok) return backOff(now);
  if (!consistent(from, reply)) return {};
  if (accepting_) {
    accepts_[from] = reply.life;
    std::set<NodeId> have;
    for (const auto& [node, life] : accepts_) have.insert(node);
    if (quorum(old_, have) && quorum(next_, have)) accepted();
    return {};
  }
  if (fetching_) {
    // The voter holds a newer value by now, and the text has gone: the newer one is read.
    if (!reply.value.config || reply.value.config->id() != bestValue_.absent) return newRound(now);
    bestValue_.config = reply.value.config;
    bestValue_.absent = 0;
    return promised(now);
  }
  promises_[from] = reply;
  // What a life that is over had accepted may be shown still: it is none the less true.
  if (reply.accepted > bestBallot_) {
    bestBallot_ = reply.accepted;
    bestValue_ = reply.same ? basis_ : reply.value;
    if (reply.same) bestValue_.history = ownHistory();  // it is the one the voter has
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

// The history that a voter is sent only what comes after. One that hasn't answered yet is taken to
// have the one read, but only in the first accept round of a climb: whoever can't make the next one
// of that doesn't answer, and must get it whole in the next round.
std::uint64_t Climber::historyAt(const NodeId& voter) const {
  const auto said = histories_.find(voter);
  if (said != histories_.end()) return said->second;
  return assumed_ || !asked_.contains(voter) ? 0 : idOf(old_.history);
}

// A majority has promised: decide what the register is to hold next.
std::vector<Climber::Send> Climber::promised(Instant now) {
  if (bestBallot_.number == 0 && basis_.sequence > 0) return {};  // can't be: the basis was chosen
  old_ = bestValue_;
  next_ = bestValue_;
  verdict_ = change_(old_, next_);
  // Invariant: the second value of a change of voters is written only once the first is chosen.
  // Until then it is finished, and the change is for a later climb.
  const bool leaving = !old_.before.empty() && next_.before.empty();
  const bool firstChosen = (basis_.sequence > 0 && basis_.epoch == old_.epoch) || everySame();
  if (verdict_.kind == Verdict::Kind::put && leaving && !firstChosen) verdict_ = Verdict{};
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
  std::set<NodeId> all;
  for (const Value* value : {&old_, &next_}) {
    all.insert(value->voters.begin(), value->voters.end());
    all.insert(value->before.begin(), value->before.end());
  }
  std::vector<Send> out;
  for (const auto& node : all) {
    const auto promise = promises_.find(node);
    ask.text = promise == promises_.end() ? 0 : promise->second.text;
    ask.history = historyAt(node);
    out.push_back({node, ask, round_});
  }
  assumed_ = true;
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

json Climber::state() const {
  json promises = json::object();
  for (const auto& [node, reply] : promises_) {
    promises[node.str()] = {reply.life.value, toJson(reply.accepted)};
  }
  json out = {{"basis", {basis_.epoch, basis_.stamp}},
              {"round", round_},
              {"highest", highest_},
              {"ballot", toJson(ballot_)},
              {"phase", waiting_     ? "wait"
                        : fetching_  ? "fetch"
                        : accepting_ ? "accept"
                                     : "prepare"},
              {"best", toJson(bestBallot_)},
              {"promises", std::move(promises)},
              {"accepts", livesJson(accepts_)},
              {"lives", livesJson(lives_)}};
  if (accepting_) out["next"] = next_.stamp;
  if (result_) out["result"] = {result_->ok, result_->known, result_->chosen.stamp};
  return out;
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
