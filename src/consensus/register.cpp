#include "consensus/register.hpp"

#include <algorithm>
#include <charconv>
#include <stdexcept>

#include "base/hash.hpp"

namespace merlingauge::consensus {

using nlohmann::json;

namespace {
constexpr std::size_t kShortText = 2048;  // not worth packing
constexpr std::uint64_t kBackOffMs = 20;
constexpr int kBackOffSteps = 4;
constexpr Duration kRoundMost = std::chrono::seconds(4);
constexpr Duration kFetchTime = std::chrono::seconds(2);
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

json livesJson(const std::map<NodeId, Incarnation>& incarnations) {
  json out = json::object();
  for (const auto& [node, life] : incarnations) out[node.str()] = life.value;
  return out;
}

std::map<NodeId, Incarnation> livesFrom(const json& j) {
  std::map<NodeId, Incarnation> out;
  for (const auto& [node, life] : j.items()) {
    // Earlier versions kept a list; the last of it was the living one.
    out[NodeId(node)] = Incarnation{(life.is_array() ? life.back() : life).get<std::uint64_t>()};
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
Incarnation lifeOf(std::uint64_t generation, std::uint64_t luck) {
  return Incarnation{(generation << kLuckBits) | (luck & ((std::uint64_t{1} << kLuckBits) - 1))};
}
std::uint64_t generationOf(Incarnation incarnation) { return incarnation.value >> kLuckBits; }
}  // namespace

Incarnation firstIncarnation(std::uint64_t luck) { return lifeOf(1, luck); }

Incarnation nextIncarnation(Incarnation than, std::uint64_t luck) {
  return lifeOf(std::max<std::uint64_t>(generationOf(than), 1) + 1, luck);
}

Duration extraRoundTime(std::size_t bytes) {
  return Duration(static_cast<std::int64_t>(bytes) * 4);
}

bool RegisterValue::isVoter(const NodeId& node) const {
  return std::find(voters.begin(), voters.end(), node) != voters.end();
}

json toJson(const Ballot& ballot) { return json::array({ballot.number, ballot.author.str()}); }

Ballot ballotFromJson(const json& j) {
  Ballot ballot{j.at(0).get<std::uint64_t>(), NodeId(j.at(1).get<std::string>())};
  if (ballot.number > kMostBallot) throw std::out_of_range("ballot");
  return ballot;
}

namespace {
// The text itself, or whichever of its short forms the reader can use.
void writeText(const config::ConfigText& configText, std::uint64_t has,
               const config::ConfigTextCache* textCache, bool spare, json& out) {
  out["i"] = configText.id();
  if (has == configText.id()) return;
  if (configText.text().size() <= kShortText) {
    out["c"] = configText.text();
    return;
  }
  const auto base = textCache == nullptr || has == 0 ? nullptr : textCache->find(has);
  if (base) {
    const auto& delta = configText.deltaFrom(*base);
    if (delta.size() < configText.text().size() / 8) {
      out["d"] = delta;
      out["o"] = has;
      return;
    }
  }
  if (spare) {
    out["m"] = 1;
  } else {
    out["z"] = configText.packed();
  }
}

config::ConfigText::Ptr readText(const json& j, const config::ConfigTextCache* textCache) {
  const auto id = j.at("i").get<std::uint64_t>();
  auto configText = textCache == nullptr ? nullptr : textCache->find(id);
  if (configText || j.contains("m")) return configText;
  if (j.contains("c")) {
    configText = config::ConfigText::create(j.at("c").get<std::string>());
  } else if (j.contains("z")) {
    configText = config::ConfigText::fromPacked(j.at("z").get<std::string>(), id);
  } else if (j.contains("d") && textCache != nullptr) {
    const auto base = textCache->find(j.at("o").get<std::uint64_t>());
    if (!base) throw MissingCachedText("a text that can't be made here");
    configText = config::ConfigText::fromDelta(*base, j.at("d").get_ref<const std::string&>(), id);
  } else {
    throw MissingCachedText("a text that isn't here");
  }
  if (!configText || configText->id() != id)
    throw std::out_of_range("a text that can't be made here");
  return configText;
}
}  // namespace

namespace {
std::uint64_t idOf(const config::ChangeHistory::Ptr& history) {
  return history ? history->id() : 0;
}

// {"i": id} with what the reader lacks: the floor "f" and all above it ("s" is the id of what lies
// below); or the floor and what comes after the history "o".
json writeHistory(const config::ChangeHistory& history, std::uint64_t has) {
  json out = {{"i", history.id()}};
  if (has == history.id()) return out;
  out["f"] = history.floor().value;
  const auto more = has == 0 ? std::nullopt : history.packedSince(has);
  if (more) {
    out["o"] = has;
    out["a"] = *more;
  } else {
    out["s"] = history.seed();
    out["a"] = history.packed();
  }
  return out;
}

config::ChangeHistory::Ptr readHistory(const json& j, const config::ConfigTextCache* textCache) {
  const auto id = j.at("i").get<std::uint64_t>();
  auto history = textCache == nullptr ? nullptr : textCache->findHistory(id);
  if (history) return history;
  const Revision floor{j.value("f", std::int64_t{0})};
  if (floor.value < 0) throw std::out_of_range("a history from below 0");
  if (j.contains("s")) {
    history = config::ChangeHistory::unpack(floor, j.at("s").get<std::uint64_t>(),
                                            j.at("a").get_ref<const std::string&>());
  } else if (j.contains("o") && textCache != nullptr) {
    const auto base = textCache->findHistory(j.at("o").get<std::uint64_t>());
    if (!base) throw MissingCachedText("a history that can't be made here");
    history = base->appendPacked(j.at("a").get_ref<const std::string&>(), floor, id);
  } else {
    throw MissingCachedText("a history that isn't here");
  }
  if (!history || history->id() != id) throw std::out_of_range("a history that can't be made here");
  return history;
}

// As this program wrote it before it kept a history: the last 32 orders, each [revision, SHA-1 in
// hex]. What the first of them built on isn't known.
config::ChangeHistory::Ptr readRecent(const json& j) {
  constexpr std::size_t kDigits = 16;
  config::ChangeHistory::Ptr history;
  for (const auto& taken : j) {
    const Revision revision{taken.at(0).get<std::int64_t>()};
    const auto hex = taken.at(1).get<std::string>().substr(0, kDigits);
    std::uint64_t digest = 0;
    std::from_chars(hex.data(), hex.data() + hex.size(), digest, 16);
    if (history && revision <= history->lastRevision())
      throw std::out_of_range("orders that don't rise");
    history = history ? history->extendedBy({revision, digest})
                      : std::make_shared<config::ChangeHistory>(revision);
  }
  return history;
}
}  // namespace

json toJson(const RegisterValue& value, const ReceiverState& reader,
            const config::ConfigTextCache* textCache, bool spare) {
  json out = {{"s", value.sequence}, {"e", value.epoch}, {"v", names(value.voters)}};
  if (!value.uniqueId.empty()) out["t"] = value.uniqueId;
  if (value.config) {
    writeText(*value.config, reader.textId, textCache, spare, out);
    out["n"] = value.configRevision.value;
  }
  if (value.history && reader.wantsHistory) {
    out["h"] = writeHistory(*value.history, reader.historyId);
  }
  if (!value.previousVoters.empty()) out["b"] = names(value.previousVoters);
  return out;
}

RegisterValue valueFromJson(const json& j, const config::ConfigTextCache* textCache) {
  RegisterValue value;
  value.sequence = j.at("s").get<std::uint64_t>();
  value.epoch = j.at("e").get<std::uint64_t>();
  value.voters = namesFrom(j.at("v"));
  value.uniqueId = j.value("t", "");
  if (j.contains("n")) {
    value.config = readText(j, textCache);
    if (!value.config) value.missingTextId = j.at("i").get<std::uint64_t>();
    value.configRevision = Revision{j.at("n").get<std::int64_t>()};
  }
  if (j.contains("b")) value.previousVoters = namesFrom(j.at("b"));
  if (j.contains("h")) {
    value.history = readHistory(j.at("h"), textCache);
  } else if (j.contains("r")) {
    value.history = readRecent(j.at("r"));
  }
  if (value.history && value.history->lastRevision() != value.configRevision) {
    throw std::out_of_range("a history of another version");
  }
  return value;
}

json toJson(const RegisterRequest& ask, const config::ConfigTextCache* textCache) {
  json out = {
      {"k", static_cast<int>(ask.kind)}, {"f", ask.sender.str()}, {"b", toJson(ask.ballot)}};
  if (ask.kind == RegisterRequest::Kind::accept) {
    out["v"] = toJson(ask.value, ReceiverState{ask.textId, ask.historyId}, textCache);
  } else if (ask.kind == RegisterRequest::Kind::rejoin) {
    out["n"] = ask.incarnation.value;
    if (ask.textId != 0) out["x"] = ask.textId;
  } else if (ask.kind == RegisterRequest::Kind::fetch) {
    out["x"] = ask.textId;
  } else if (!ask.knownValueId.empty()) {
    out["h"] = ask.knownValueId;
    if (ask.textId != 0) out["x"] = ask.textId;
    if (ask.historyId != 0) out["g"] = ask.historyId;
  }
  return out;
}

RegisterRequest requestFromJson(const json& j, const config::ConfigTextCache* textCache) {
  RegisterRequest ask;
  const int kind = j.at("k").get<int>();
  if (kind < 0 || kind > static_cast<int>(RegisterRequest::Kind::fetch))
    throw std::out_of_range("ask kind");
  ask.kind = static_cast<RegisterRequest::Kind>(kind);
  ask.sender = NodeId(j.at("f").get<std::string>());
  ask.ballot = ballotFromJson(j.at("b"));
  if (ask.kind == RegisterRequest::Kind::accept) {
    ask.value = valueFromJson(j.at("v"), textCache);
  } else if (ask.kind == RegisterRequest::Kind::rejoin) {
    ask.incarnation = Incarnation{j.at("n").get<std::uint64_t>()};
    ask.textId = j.value("x", std::uint64_t{0});
  } else {
    ask.knownValueId = j.value("h", "");
    ask.textId = j.value("x", std::uint64_t{0});
    ask.historyId = j.value("g", std::uint64_t{0});
  }
  return ask;
}

ReceiverState receiverStateOf(const RegisterRequest& ask) {
  if (ask.kind == RegisterRequest::Kind::fetch) return {0, 0, false};
  return {ask.textId, ask.historyId};
}

json toJson(const RegisterReply& reply, const ReceiverState& reader,
            const config::ConfigTextCache* textCache, bool spare) {
  json out = {
      {"o", reply.granted}, {"n", reply.incarnation.value}, {"p", toJson(reply.promisedBallot)}};
  if (reply.recovering) out["z"] = true;
  if (reply.valueRecovered) out["c"] = true;
  if (reply.textId != 0) out["x"] = reply.textId;
  if (reply.requesterIncarnation != Incarnation{}) out["k"] = reply.requesterIncarnation.value;
  if (!reply.incarnations.empty()) out["l"] = livesJson(reply.incarnations);
  if (reply.historyId != 0) out["g"] = reply.historyId;
  if (reply.granted && reply.acceptedBallot.number > 0) {
    out["a"] = toJson(reply.acceptedBallot);
    if (reply.sameValue) {
      out["i"] = true;
    } else {
      out["v"] = toJson(reply.value, reader, textCache, spare);
    }
  }
  return out;
}

RegisterReply replyFromJson(const json& j, const config::ConfigTextCache* textCache) {
  RegisterReply reply;
  reply.granted = j.at("o").get<bool>();
  reply.recovering = j.value("z", false);
  reply.valueRecovered = j.value("c", false);
  reply.incarnation = Incarnation{j.at("n").get<std::uint64_t>()};
  reply.textId = j.value("x", std::uint64_t{0});
  reply.requesterIncarnation = Incarnation{j.value("k", std::uint64_t{0})};
  if (j.contains("l")) reply.incarnations = livesFrom(j.at("l"));
  reply.historyId = j.value("g", std::uint64_t{0});
  reply.promisedBallot = ballotFromJson(j.at("p"));
  if (j.contains("a")) {
    reply.acceptedBallot = ballotFromJson(j.at("a"));
    reply.sameValue = j.value("i", false);
    if (!reply.sameValue) reply.value = valueFromJson(j.at("v"), textCache);
  }
  return reply;
}

// ---- Ledge

Acceptor::Acceptor(NodeId self, Incarnation incarnation, bool awake)
    : self_(std::move(self)), incarnation_(incarnation), recovered_(awake) {}

Acceptor::PersistedState Acceptor::persistedState() const {
  const std::uint64_t apart = value_.config ? value_.config->id() : 0;
  const json head = {
      {"life", incarnation_.value},          {"awake", recovered_},
      {"copied", valueRecovered_},           {"promised", toJson(promisedBallot_)},
      {"accepted", toJson(acceptedBallot_)}, {"value", toJson(value_, ReceiverState{apart})},
      {"lives", livesJson(incarnations_)}};
  return {head.dump(), value_.config};
}

std::optional<Acceptor> Acceptor::restore(NodeId self, const PersistedState& record) {
  try {
    const auto saved = json::parse(record.head);
    config::ConfigTextCache textCache;
    textCache.add(record.configText);
    Acceptor acceptor(std::move(self), Incarnation{saved.at("life").get<std::uint64_t>()},
                      saved.at("awake").get<bool>());
    acceptor.valueRecovered_ = saved.value("copied", false);
    acceptor.promisedBallot_ = ballotFromJson(saved.at("promised"));
    acceptor.acceptedBallot_ = ballotFromJson(saved.at("accepted"));
    acceptor.value_ = valueFromJson(saved.at("value"), &textCache);
    acceptor.incarnations_ = livesFrom(saved.at("lives"));
    return acceptor;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::optional<Acceptor::PersistedState> Acceptor::fencedState(const PersistedState& saved,
                                                              std::uint64_t luck) {
  auto acceptor = restore(NodeId(), saved);
  if (!acceptor) return std::nullopt;
  acceptor->incarnation_ = nextIncarnation(acceptor->incarnation_, luck);
  acceptor->recovered_ = false;
  acceptor->valueRecovered_ = true;
  return acceptor->persistedState();
}

RegisterReply Acceptor::makeReply(bool ok, bool same) const {
  RegisterReply reply;
  reply.granted = ok;
  reply.recovering = !recovered_;
  reply.incarnation = incarnation_;
  reply.promisedBallot = promisedBallot_;
  reply.acceptedBallot = acceptedBallot_;
  reply.value = value_;
  reply.valueRecovered = valueRecovered_;
  reply.sameValue = same;
  reply.textId = value_.config ? value_.config->id() : 0;
  reply.historyId = idOf(value_.history);
  reply.incarnations = incarnations_;
  return reply;
}

// False where the life named is over: a newer one is known. A first life is below all others and is
// nothing to remember.
bool Acceptor::learnIncarnation(const NodeId& node, Incarnation incarnation) {
  const auto it = incarnations_.find(node);
  if (it != incarnations_.end() && incarnation < it->second) return false;
  if (generationOf(incarnation) > 1) incarnations_[node] = incarnation;
  return true;
}

// Of nodes that are no voters nothing is needed: what names them is of an older epoch.
void Acceptor::forgetIncarnations(const NodeId& but) {
  if (incarnations_.size() <= kLivesNodes) return;
  std::erase_if(incarnations_, [&](const auto& entry) {
    const auto& before = value_.previousVoters;
    return entry.first != but && !value_.isVoter(entry.first) &&
           std::find(before.begin(), before.end(), entry.first) == before.end();
  });
}

Acceptor::Response Acceptor::handle(const RegisterRequest& ask) {
  if (!recovered_) return {makeReply(false), false};
  if (ask.ballot.number > promisedBallot_.number + kBallotJump) return {makeReply(false), false};
  switch (ask.kind) {
    case RegisterRequest::Kind::prepare:
      if (ask.ballot < promisedBallot_) return {makeReply(false), false};
      promisedBallot_ = ask.ballot;
      return {makeReply(true, !ask.knownValueId.empty() && ask.knownValueId == value_.uniqueId &&
                                  ask.historyId == idOf(value_.history)),
              true};
    case RegisterRequest::Kind::accept: {
      // The ballot alone decides: a later epoch held here may never have been chosen.
      if (ask.ballot < promisedBallot_) return {makeReply(false), false};
      promisedBallot_ = ask.ballot;
      acceptedBallot_ = ask.ballot;
      value_ = ask.value;
      valueRecovered_ = false;
      forgetIncarnations(self_);
      return {makeReply(true, true), true};  // the asker wrote it
    }
    case RegisterRequest::Kind::rejoin: {
      const bool newest = learnIncarnation(ask.sender, ask.incarnation);
      auto reply = makeReply(newest);
      reply.requesterIncarnation = newest ? ask.incarnation : incarnations_.at(ask.sender);
      forgetIncarnations(ask.sender);
      return {reply, newest};
    }
    case RegisterRequest::Kind::fetch:
      return {makeReply(true), false};
  }
  return {makeReply(false), false};
}

RegisterValue Acceptor::proposalBasis(RegisterValue known) const {
  if (!known.history && known.uniqueId == value_.uniqueId) known.history = value_.history;
  return known;
}

std::optional<RegisterRequest> Acceptor::rejoinRequest() const {
  if (recovered_) return std::nullopt;
  RegisterRequest ask;
  ask.kind = RegisterRequest::Kind::rejoin;
  ask.sender = self_;
  ask.incarnation = incarnation_;
  return ask;
}

bool Acceptor::handleRejoinReply(const NodeId& from, const RegisterReply& reply,
                                 const RegisterValue& known) {
  if (recovered_ || reply.recovering) return false;
  if (!reply.granted) {
    // A newer life of this voter is known there: this one asks all anew, as one that is newer
    // still.
    if (reply.requesterIncarnation < incarnation_) return false;
    incarnation_ =
        nextIncarnation(reply.requesterIncarnation, stableHash(self_.str(), incarnation_.value));
    rejoinReplies_.clear();
    return false;
  }
  if (reply.requesterIncarnation != incarnation_) return false;  // said to the life before
  rejoinReplies_[from] = reply;
  // One that lost its disk since it answered has forgotten what it was told, and may hold more now.
  for (const auto& [node, r] : rejoinReplies_) {
    learnIncarnation(node, r.incarnation);
    for (const auto& [other, life] : r.incarnations) learnIncarnation(other, life);
  }
  std::erase_if(rejoinReplies_, [this](const auto& entry) {
    const auto it = incarnations_.find(entry.first);
    return it != incarnations_.end() && entry.second.incarnation < it->second;
  });
  // The newest voters that anyone has told of decide whose answers count.
  const RegisterValue* newest = &known;
  for (const auto& [node, r] : rejoinReplies_) {
    if (r.acceptedBallot.number > 0 && r.value.epoch > newest->epoch) newest = &r.value;
  }
  std::set<NodeId> have;
  for (const auto& [node, r] : rejoinReplies_) have.insert(node);
  for (const auto* voters : {&newest->voters, &newest->previousVoters}) {
    std::vector<NodeId> others;
    for (const auto& voter : *voters) {
      if (voter != self_) others.push_back(voter);
    }
    if (!others.empty() && !hasMajority(others, have)) return false;
  }
  if (newest->voters.empty()) return false;
  for (const auto& [node, r] : rejoinReplies_) {
    promisedBallot_ = std::max(promisedBallot_, r.promisedBallot);
    if (r.acceptedBallot > acceptedBallot_) {
      acceptedBallot_ = r.acceptedBallot;
      value_ = r.value;
      valueRecovered_ = true;
    }
  }
  recovered_ = true;
  rejoinReplies_.clear();
  return true;
}

bool hasMajority(const std::vector<NodeId>& voters, const std::set<NodeId>& have) {
  const auto n = std::count_if(voters.begin(), voters.end(),
                               [&](const NodeId& voter) { return have.contains(voter); });
  return static_cast<std::size_t>(n) * 2 > voters.size();
}

// ---- Climber

Proposer::Proposer(NodeId self, RegisterValue basis, ChangeFunction change, std::uint64_t seed,
                   Duration round)
    : self_(std::move(self)),
      // No two climbs ever share a ballot, not even two at one node or across its restarts.
      author_(self_.str() + "#" + std::to_string(seed)),
      basis_(std::move(basis)),
      change_(std::move(change)),
      random_(seed),
      roundTime_(round) {}

bool Proposer::hasQuorum(const RegisterValue& value, const std::set<NodeId>& have) {
  return hasMajority(value.voters, have) &&
         (value.previousVoters.empty() || hasMajority(value.previousVoters, have));
}

std::vector<Proposer::OutgoingRequest> Proposer::start(TimePoint now, Duration limit) {
  deadline_ = now + limit;
  return startRound(now);
}

std::vector<Proposer::OutgoingRequest> Proposer::startRound(TimePoint now) {
  ++round_;
  roundDeadline_ = now + roundTime_;
  ballot_ = Ballot{highestBallotNumber_ + 1, author_};
  highestBallotNumber_ = ballot_.number;
  accepting_ = false;
  backingOff_ = false;
  fetching_ = false;
  asked_.clear();
  promises_.clear();
  acceptances_.clear();
  bestValue_ = basis_;
  bestBallot_ = Ballot{};
  return askRemaining();
}

std::vector<Proposer::OutgoingRequest> Proposer::askRemaining() {
  std::vector<OutgoingRequest> out;
  for (const auto* voters : {&bestValue_.voters, &bestValue_.previousVoters}) {
    for (const auto& voter : *voters) {
      if (!asked_.insert(voter).second) continue;
      RegisterRequest ask;
      ask.kind = RegisterRequest::Kind::prepare;
      ask.sender = self_;
      ask.ballot = ballot_;
      ask.knownValueId = basis_.uniqueId;
      ask.textId = cachedText_ ? cachedText_->id() : basis_.config ? basis_.config->id() : 0;
      ask.historyId = idOf(ownHistory());
      out.push_back({voter, ask, round_});
    }
  }
  return out;
}

void Proposer::addTextsTo(config::ConfigTextCache& textCache) const {
  cacheTexts(textCache, basis_);
  textCache.add(cachedText_);
  textCache.add(cachedHistory_);
}

bool Proposer::allSameValue() const {
  for (const auto& [node, promise] : promises_) {
    if (promise.acceptedBallot != bestBallot_ || promise.valueRecovered) return false;
  }
  return true;
}

std::vector<Proposer::OutgoingRequest> Proposer::scheduleRetry(TimePoint now) {
  random_ = stableHash("back-off", random_ + round_);
  backingOff_ = true;
  // Longer each time: rivals with slow links must not keep taking each other's turn.
  const std::uint64_t most = kBackOffMs << std::min(rejections_++, kBackOffSteps);
  roundDeadline_ = now + fromMillis(2.0 + static_cast<double>(random_ % most));
  return {};
}

// A voter that lost its disk may have promised or accepted in the life before. Of two voters that
// count in one quorum, the one that answered the lost one's questions did so before this round, and
// then the new life knows of it, or after, and then its reply tells of the new life: the older
// life's reply doesn't count.
bool Proposer::isConsistent(const NodeId& from, const RegisterReply& reply) {
  const auto over = [this](const NodeId& node, Incarnation incarnation) {
    const auto it = incarnations_.find(node);
    return it != incarnations_.end() && incarnation < it->second;
  };
  for (const auto& [node, life] : reply.incarnations)
    incarnations_[node] = std::max(incarnations_[node], life);
  std::erase_if(promises_, [&](const auto& entry) {
    if (!over(entry.first, entry.second.incarnation)) return false;
    asked_.erase(entry.first);  // its new life is asked
    return true;
  });
  std::erase_if(acceptances_, [&](const auto& entry) { return over(entry.first, entry.second); });
  return !over(from, reply.incarnation);
}

std::vector<Proposer::OutgoingRequest> Proposer::handleReply(const NodeId& from,
                                                             std::uint64_t round,
                                                             const RegisterReply& reply,
                                                             TimePoint now) {
  highestBallotNumber_ = std::max(highestBallotNumber_, reply.promisedBallot.number);
  if (!reply.recovering) histories_[from] = reply.historyId;
  if (result_ || round != round_ || backingOff_) return {};
  if (reply.recovering) return {};
  if (!reply.granted) return scheduleRetry(now);
  if (!isConsistent(from, reply)) return {};
  if (accepting_) {
    acceptances_[from] = reply.incarnation;
    std::set<NodeId> have;
    for (const auto& [node, life] : acceptances_) have.insert(node);
    if (hasQuorum(currentValue_, have) && hasQuorum(nextValue_, have)) onAcceptQuorum();
    return {};
  }
  if (fetching_) {
    // The voter holds a newer value by now, and the text has gone: the newer one is read.
    if (!reply.value.config || reply.value.config->id() != bestValue_.missingTextId)
      return startRound(now);
    bestValue_.config = reply.value.config;
    bestValue_.missingTextId = 0;
    return onPromiseQuorum(now);
  }
  promises_[from] = reply;
  // What a life that is over had accepted may be shown still: it is none the less true.
  if (reply.acceptedBallot > bestBallot_) {
    bestBallot_ = reply.acceptedBallot;
    bestValue_ = reply.sameValue ? basis_ : reply.value;
    if (reply.sameValue) bestValue_.history = ownHistory();  // it is the one the voter has
    bestFrom_ = from;
  }
  if (bestValue_.missingTextId != 0 && cachedText_ &&
      cachedText_->id() == bestValue_.missingTextId) {
    bestValue_.config = cachedText_;
    bestValue_.missingTextId = 0;
  }
  std::set<NodeId> have;
  for (const auto& [node, promise] : promises_) have.insert(node);
  if (!hasQuorum(bestValue_, have)) return askRemaining();
  if (bestValue_.missingTextId == 0) return onPromiseQuorum(now);
  // One of those that have the text sends it.
  fetching_ = true;
  ++round_;
  roundDeadline_ = now + roundTime_ + kFetchTime;
  RegisterRequest ask;
  ask.kind = RegisterRequest::Kind::fetch;
  ask.sender = self_;
  ask.textId = bestValue_.missingTextId;
  return {{bestFrom_, ask, round_}};
}

// The history that a voter is sent only what comes after. One that hasn't answered yet is taken to
// have the one read, but only in the first accept round of a climb: whoever can't make the next one
// of that doesn't answer, and must get it whole in the next round.
std::uint64_t Proposer::historyAt(const NodeId& voter) const {
  const auto said = histories_.find(voter);
  if (said != histories_.end()) return said->second;
  return assumed_ || !asked_.contains(voter) ? 0 : idOf(currentValue_.history);
}

// A majority has promised: decide what the register is to hold next.
std::vector<Proposer::OutgoingRequest> Proposer::onPromiseQuorum(TimePoint now) {
  if (bestBallot_.number == 0 && basis_.sequence > 0) return {};  // can't be: the basis was chosen
  currentValue_ = bestValue_;
  nextValue_ = bestValue_;
  decision_ = change_(currentValue_, nextValue_);
  // Invariant: the second value of a change of voters is written only once the first is chosen.
  // Until then it is finished, and the change is for a later climb.
  const bool leaving = !currentValue_.previousVoters.empty() && nextValue_.previousVoters.empty();
  const bool firstChosen =
      (basis_.sequence > 0 && basis_.epoch == currentValue_.epoch) || allSameValue();
  if (decision_.kind == Decision::Kind::write && leaving && !firstChosen) decision_ = Decision{};
  if (decision_.kind == Decision::Kind::write) {
    nextValue_.sequence = currentValue_.sequence + 1;
    nextValue_.uniqueId = author_.str() + "/" + std::to_string(ballot_.number);
  } else {
    nextValue_ = currentValue_;
    // Nothing to change, and the value read is chosen already: no second round.
    if (allSameValue()) {
      onAcceptQuorum();
      return {};
    }
  }
  accepting_ = true;
  ++round_;  // a promise that comes late must not count as an acceptance
  // Whoever has the text is not sent it again.
  const bool newText = nextValue_.config && (!currentValue_.config ||
                                             currentValue_.config->id() != nextValue_.config->id());
  roundDeadline_ = now + roundTime_ + (newText ? extraRoundTime(nextValue_) : Duration(0));
  RegisterRequest ask;
  ask.kind = RegisterRequest::Kind::accept;
  ask.sender = self_;
  ask.ballot = ballot_;
  ask.value = nextValue_;
  std::set<NodeId> all;
  for (const RegisterValue* value : {&currentValue_, &nextValue_}) {
    all.insert(value->voters.begin(), value->voters.end());
    all.insert(value->previousVoters.begin(), value->previousVoters.end());
  }
  std::vector<OutgoingRequest> out;
  for (const auto& node : all) {
    const auto promise = promises_.find(node);
    ask.textId = promise == promises_.end() ? 0 : promise->second.textId;
    ask.historyId = historyAt(node);
    out.push_back({node, ask, round_});
  }
  assumed_ = true;
  return out;
}

void Proposer::onAcceptQuorum() {
  Result result;
  result.valueKnown = true;
  result.value = nextValue_;
  result.succeeded = decision_.kind != Decision::Kind::reject;
  result.error = decision_.error;
  result.detail = decision_.detail;
  result_ = std::move(result);
}

json Proposer::debugState() const {
  json promises = json::object();
  for (const auto& [node, reply] : promises_) {
    promises[node.str()] = {reply.incarnation.value, toJson(reply.acceptedBallot)};
  }
  json out = {{"basis", {basis_.epoch, basis_.uniqueId}},
              {"round", round_},
              {"highest", highestBallotNumber_},
              {"ballot", toJson(ballot_)},
              {"phase", backingOff_  ? "wait"
                        : fetching_  ? "fetch"
                        : accepting_ ? "accept"
                                     : "prepare"},
              {"best", toJson(bestBallot_)},
              {"promises", std::move(promises)},
              {"accepts", livesJson(acceptances_)},
              {"lives", livesJson(incarnations_)}};
  if (accepting_) out["next"] = nextValue_.uniqueId;
  if (result_) out["result"] = {result_->succeeded, result_->valueKnown, result_->value.uniqueId};
  return out;
}

std::vector<Proposer::OutgoingRequest> Proposer::tick(TimePoint now) {
  if (result_) return {};
  if (now >= deadline_) {
    result_ = Result{};
    return {};
  }
  if (now < roundDeadline_) return {};
  // Nobody refused, but too few answered in time: they may need longer.
  if (!backingOff_) roundTime_ = std::min(roundTime_ * 3 / 2, kRoundMost);
  return startRound(now);
}

}  // namespace merlingauge::consensus
