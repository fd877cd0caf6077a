#include "consensus/proposer.hpp"

#include <utility>

#include "base/hash.hpp"
#include "consensus/message_codec.hpp"
#include "consensus/quorum.hpp"

namespace merlingauge::consensus {

using nlohmann::json;

namespace {
// The pause after a rejection is drawn from up to this, doubled with each rejection: rivals on slow
// links must not keep interrupting each other.
constexpr std::uint64_t kBackOffMs = 20;
// At most doubled so often: 320 ms, longer than a round where nothing large is sent.
constexpr int kBackOffDoublings = 4;
// Below this a rival's next request may arrive together with ours.
constexpr double kBackOffMinMs = 2;
// A round grows to this at most: several have to fit into the time that a caller waits.
constexpr Duration kMaxRoundTimeout = std::chrono::seconds(4);
// Added to a round that fetches a text: half a megabyte over a link of 2 Mbit/s.
constexpr Duration kFetchTime = std::chrono::seconds(2);

template <class Entry>
std::set<NodeId> nodesOf(const std::map<NodeId, Entry>& entries) {
  std::set<NodeId> nodes;
  for (const auto& [node, entry] : entries) nodes.insert(node);
  return nodes;
}

void addVotersOf(const RegisterValue& value, std::set<NodeId>& nodes) {
  nodes.insert(value.voters.begin(), value.voters.end());
  nodes.insert(value.previousVoters.begin(), value.previousVoters.end());
}
}  // namespace

Proposer::Proposer(NodeId self, RegisterValue basis, ChangeFunction change, std::uint64_t seed,
                   Duration roundTimeout)
    : self_(std::move(self)),
      author_(self_.str() + "#" + std::to_string(seed)),
      basis_(std::move(basis)),
      change_(std::move(change)),
      random_(seed),
      roundTimeout_(roundTimeout) {}

std::vector<Proposer::OutgoingRequest> Proposer::start(TimePoint now, Duration limit) {
  deadline_ = now + limit;
  return startRound(now);
}

std::vector<Proposer::OutgoingRequest> Proposer::tick(TimePoint now) {
  if (result_) return {};
  if (now >= deadline_) {
    result_ = Result{};
    return {};
  }
  if (now < roundDeadline_) return {};
  // Nobody rejected, but too few answered in time: they may need longer.
  if (phase_ != Phase::backOff) roundTimeout_ = std::min(roundTimeout_ * 3 / 2, kMaxRoundTimeout);
  return startRound(now);
}

std::vector<Proposer::OutgoingRequest> Proposer::startRound(TimePoint now) {
  ++round_;
  roundDeadline_ = now + roundTimeout_;
  ballot_ = Ballot{highestBallotNumber_ + 1, author_};
  highestBallotNumber_ = ballot_.number;
  phase_ = Phase::prepare;
  asked_.clear();
  promises_.clear();
  acceptances_.clear();
  bestValue_ = basis_;
  bestBallot_ = Ballot{};
  return prepareRemaining();
}

// Asks those voters of the best value that were not asked in this round: the value may have named
// further ones, or one that was asked may have lost its disk.
std::vector<Proposer::OutgoingRequest> Proposer::prepareRemaining() {
  RegisterRequest request;
  request.kind = RegisterRequest::Kind::prepare;
  request.sender = self_;
  request.ballot = ballot_;
  request.knownValueId = basis_.uniqueId;
  request.cachedTextId = ownTextId();
  request.cachedHistoryId = ownHistory() ? ownHistory()->id() : 0;
  std::vector<OutgoingRequest> requests;
  for (const auto* voters : {&bestValue_.voters, &bestValue_.previousVoters}) {
    for (const auto& voter : *voters) {
      if (asked_.insert(voter).second) requests.push_back({voter, request, round_, {}});
    }
  }
  return requests;
}

std::vector<Proposer::OutgoingRequest> Proposer::backOff(TimePoint now) {
  random_ = stableHash("back-off", random_ + round_);
  phase_ = Phase::backOff;
  const std::uint64_t longestMs = kBackOffMs << std::min(rejections_++, kBackOffDoublings);
  roundDeadline_ = now + fromMillis(kBackOffMinMs + static_cast<double>(random_ % longestMs));
  return {};
}

std::vector<Proposer::OutgoingRequest> Proposer::handleReply(const NodeId& from,
                                                             std::uint64_t round,
                                                             const RegisterReply& reply,
                                                             TimePoint now) {
  highestBallotNumber_ = std::max(highestBallotNumber_, reply.promisedBallot.number);
  if (!reply.recovering) historyIds_[from] = reply.historyId;
  if (result_ || round != round_ || phase_ == Phase::backOff) return {};
  if (reply.recovering) return {};
  if (!reply.granted) return backOff(now);
  learnIncarnations(reply);
  if (isSuperseded(incarnations_, from, reply.incarnation)) return {};
  switch (phase_) {
    case Phase::prepare:
      return handlePromise(from, reply, now);
    case Phase::fetchText:
      return handleFetchedText(reply, now);
    case Phase::accept:
      handleAcceptance(from, reply);
      return {};
    case Phase::backOff:
      return {};
  }
  return {};
}

// An acceptor that lost its disk may have promised or accepted in an earlier incarnation. Of two
// acceptors that count in one quorum, the one that replied to the other's rejoin request did so
// before this round, and then that incarnation knows of it; or after, and then its reply here tells
// of the new incarnation, and what the older one said does not count.
void Proposer::learnIncarnations(const RegisterReply& reply) {
  for (const auto& [node, incarnation] : reply.incarnations) {
    recordIncarnation(incarnations_, node, incarnation);
  }
  std::erase_if(promises_, [this](const auto& entry) {
    if (!isSuperseded(incarnations_, entry.first, entry.second.incarnation)) return false;
    asked_.erase(entry.first);  // its new incarnation is asked
    return true;
  });
  std::erase_if(acceptances_, [this](const auto& entry) {
    return isSuperseded(incarnations_, entry.first, entry.second);
  });
}

std::vector<Proposer::OutgoingRequest> Proposer::handlePromise(const NodeId& from,
                                                               const RegisterReply& reply,
                                                               TimePoint now) {
  promises_[from] = reply;
  adoptBestValue(from, reply);
  if (!hasQuorum(bestValue_, nodesOf(promises_))) return prepareRemaining();
  if (bestValue_.missingTextId != 0) return fetchText(now);
  return onPromiseQuorum(now);
}

// What a superseded incarnation had accepted stays the best value: it was accepted none the less.
void Proposer::adoptBestValue(const NodeId& from, const RegisterReply& reply) {
  if (reply.acceptedBallot > bestBallot_) {
    bestBallot_ = reply.acceptedBallot;
    bestValue_ = reply.sameValue ? basis_ : reply.value;
    if (reply.sameValue) bestValue_.history = ownHistory();  // it is the one the acceptor has
    bestFrom_ = from;
  }
  if (bestValue_.missingTextId != 0 && cachedText_ &&
      cachedText_->id() == bestValue_.missingTextId) {
    bestValue_.config = cachedText_;
    bestValue_.missingTextId = 0;
  }
}

// Of all acceptors that have the text, only one sends it.
std::vector<Proposer::OutgoingRequest> Proposer::fetchText(TimePoint now) {
  phase_ = Phase::fetchText;
  ++round_;
  roundDeadline_ = now + roundTimeout_ + kFetchTime;
  RegisterRequest request;
  request.kind = RegisterRequest::Kind::fetch;
  request.sender = self_;
  request.wantedTextId = bestValue_.missingTextId;
  return {{bestFrom_, request, round_, {}}};
}

std::vector<Proposer::OutgoingRequest> Proposer::handleFetchedText(const RegisterReply& reply,
                                                                   TimePoint now) {
  // The acceptor has a newer value by now and no longer the text: the newer one is read.
  if (reply.value.textId() != bestValue_.missingTextId) return startRound(now);
  bestValue_.config = reply.value.config;
  bestValue_.missingTextId = 0;
  return onPromiseQuorum(now);
}

// A quorum has promised: no value under a lower ballot can be committed any more, other than the
// best one.
std::vector<Proposer::OutgoingRequest> Proposer::onPromiseQuorum(TimePoint now) {
  const bool missesBasis = bestBallot_.number == 0 && basis_.sequence > 0;
  if (missesBasis) return {};  // can't be: the basis is committed
  decide();
  if (decision_.kind != Decision::Kind::write && allPromisesShowBestValue()) {
    // The value read is committed and stays: no accept phase.
    succeedWithNextValue();
    return {};
  }
  return startAcceptPhase(now);
}

void Proposer::decide() {
  currentValue_ = bestValue_;
  nextValue_ = bestValue_;
  decision_ = change_(currentValue_, nextValue_);
  // Invariant: the second value of a change of voters is written only once the first is committed.
  // Until then the first is completed, and the change is left to a later proposal.
  const bool dropsPrevious =
      !currentValue_.previousVoters.empty() && nextValue_.previousVoters.empty();
  const bool firstCommitted =
      (basis_.sequence > 0 && basis_.epoch == currentValue_.epoch) || allPromisesShowBestValue();
  if (decision_.kind == Decision::Kind::write && dropsPrevious && !firstCommitted) {
    decision_ = Decision{};
  }
  if (decision_.kind == Decision::Kind::write) {
    nextValue_.sequence = currentValue_.sequence + 1;
    nextValue_.uniqueId = author_.str() + "/" + std::to_string(ballot_.number);
  } else {
    nextValue_ = currentValue_;
  }
}

std::vector<Proposer::OutgoingRequest> Proposer::startAcceptPhase(TimePoint now) {
  phase_ = Phase::accept;
  ++round_;
  // Whoever has the text is not sent it again.
  const bool newText = nextValue_.config && nextValue_.textId() != currentValue_.textId();
  roundDeadline_ = now + roundTimeout_ + (newText ? extraRoundTime(nextValue_) : Duration(0));
  RegisterRequest request;
  request.kind = RegisterRequest::Kind::accept;
  request.sender = self_;
  request.ballot = ballot_;
  request.value = nextValue_;
  std::set<NodeId> acceptors;
  addVotersOf(currentValue_, acceptors);
  addVotersOf(nextValue_, acceptors);
  std::vector<OutgoingRequest> requests;
  for (const auto& acceptor : acceptors) {
    requests.push_back({acceptor, request, round_, receiverStateAt(acceptor)});
  }
  historyAssumedOnce_ = true;
  return requests;
}

void Proposer::handleAcceptance(const NodeId& from, const RegisterReply& reply) {
  acceptances_[from] = reply.incarnation;
  const auto acceptors = nodesOf(acceptances_);
  if (hasQuorum(currentValue_, acceptors) && hasQuorum(nextValue_, acceptors)) {
    succeedWithNextValue();
  }
}

// The outcome is certain; that may be a rejection.
void Proposer::succeedWithNextValue() {
  Result result;
  result.value = nextValue_;
  result.succeeded = decision_.kind != Decision::Kind::reject;
  result.error = decision_.error;
  result.detail = decision_.detail;
  result_ = std::move(result);
}

// Then the value is committed. One that an acceptor read from others at its recovery is no vote.
bool Proposer::allPromisesShowBestValue() const {
  return std::all_of(promises_.begin(), promises_.end(), [this](const auto& entry) {
    const RegisterReply& promise = entry.second;
    return promise.acceptedBallot == bestBallot_ && !promise.valueRecovered;
  });
}

std::uint64_t Proposer::ownTextId() const {
  return cachedText_ ? cachedText_->id() : basis_.textId();
}

std::uint64_t Proposer::historyIdAt(const NodeId& acceptor) const {
  const auto said = historyIds_.find(acceptor);
  if (said != historyIds_.end()) return said->second;
  return historyAssumedOnce_ || !asked_.contains(acceptor) ? 0 : currentValue_.historyId();
}

ReceiverState Proposer::receiverStateAt(const NodeId& acceptor) const {
  ReceiverState receiver;
  const auto promise = promises_.find(acceptor);
  if (promise != promises_.end()) receiver.textId = promise->second.textId;
  receiver.historyId = historyIdAt(acceptor);
  return receiver;
}

void Proposer::addTextsTo(config::ConfigTextCache& textCache) const {
  cacheTexts(textCache, basis_);
  textCache.add(cachedText_);
  textCache.add(cachedHistory_);
}

json Proposer::debugState() const {
  static constexpr const char* kPhaseNames[] = {"prepare", "fetch", "accept", "wait"};
  json promises = json::object();
  for (const auto& [node, reply] : promises_) {
    promises[node.str()] = {reply.incarnation.value, toJson(reply.acceptedBallot)};
  }
  json state = {{"basis", {basis_.epoch, basis_.uniqueId}},
                {"round", round_},
                {"highest", highestBallotNumber_},
                {"ballot", toJson(ballot_)},
                {"phase", kPhaseNames[static_cast<int>(phase_)]},
                {"best", toJson(bestBallot_)},
                {"promises", std::move(promises)},
                {"accepts", toJson(acceptances_)},
                {"lives", toJson(incarnations_)}};
  if (phase_ == Phase::accept) state["next"] = nextValue_.uniqueId;
  if (result_) {
    const std::string valueId = result_->value ? result_->value->uniqueId : "";
    state["result"] = {result_->succeeded, result_->value.has_value(), valueId};
  }
  return state;
}

}  // namespace merlingauge::consensus
