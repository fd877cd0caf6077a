#include "consensus/acceptor.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "base/hash.hpp"
#include "consensus/quorum.hpp"

namespace merlingauge::consensus {

namespace {
// No proposer's ballot is so far above what an acceptor has promised. One such message would leave
// no number for those that come after it.
constexpr std::uint64_t kMaxBallotJump = std::uint64_t{1} << 40U;
// Above this, incarnations of nodes that do not vote are forgotten: far more than there are voters.
constexpr std::size_t kMaxIncarnations = 64;

std::set<NodeId> sendersOf(const std::map<NodeId, RegisterReply>& replies) {
  std::set<NodeId> senders;
  for (const auto& [node, reply] : replies) senders.insert(node);
  return senders;
}

std::vector<NodeId> without(std::vector<NodeId> nodes, const NodeId& node) {
  std::erase(nodes, node);
  return nodes;
}
}  // namespace

Acceptor::Acceptor(NodeId self, Incarnation incarnation, bool recovered) : self_(std::move(self)) {
  state_.incarnation = incarnation;
  state_.recovered = recovered;
}

Acceptor::Acceptor(NodeId self, AcceptorState state)
    : self_(std::move(self)), state_(std::move(state)) {}

RegisterReply Acceptor::makeReply(bool granted) const {
  RegisterReply reply;
  reply.granted = granted;
  reply.recovering = !state_.recovered;
  reply.incarnation = state_.incarnation;
  reply.promisedBallot = state_.promisedBallot;
  reply.acceptedBallot = state_.acceptedBallot;
  reply.value = state_.value;
  reply.valueRecovered = state_.valueRecovered;
  reply.textId = state_.value.textId();
  reply.historyId = state_.value.historyId();
  reply.incarnations = state_.incarnations;
  return reply;
}

Acceptor::Response Acceptor::handle(const RegisterRequest& request) {
  if (!state_.recovered) return {makeReply(false), false};
  if (request.ballot.number > state_.promisedBallot.number + kMaxBallotJump) {
    return {makeReply(false), false};
  }
  switch (request.kind) {
    case RegisterRequest::Kind::prepare:
      return handlePrepare(request);
    case RegisterRequest::Kind::accept:
      return handleAccept(request);
    case RegisterRequest::Kind::rejoin:
      return handleRejoin(request);
    case RegisterRequest::Kind::fetch:
      return {makeReply(true), false};
  }
  return {makeReply(false), false};
}

Acceptor::Response Acceptor::handlePrepare(const RegisterRequest& request) {
  if (request.ballot < state_.promisedBallot) return {makeReply(false), false};
  state_.promisedBallot = request.ballot;
  auto reply = makeReply(true);
  reply.sameValue = !request.knownValueId.empty() &&
                    request.knownValueId == state_.value.uniqueId &&
                    request.cachedHistoryId == state_.value.historyId();
  return {std::move(reply), true};
}

Acceptor::Response Acceptor::handleAccept(const RegisterRequest& request) {
  // The ballot alone decides: a later epoch held here may never have been committed.
  if (request.ballot < state_.promisedBallot) return {makeReply(false), false};
  state_.promisedBallot = request.ballot;
  state_.acceptedBallot = request.ballot;
  state_.value = request.value;
  state_.valueRecovered = false;
  forgetIncarnations(self_);
  auto reply = makeReply(true);
  reply.sameValue = true;  // the proposer wrote it
  return {std::move(reply), true};
}

Acceptor::Response Acceptor::handleRejoin(const RegisterRequest& request) {
  const auto known = state_.incarnations.find(request.sender);
  const bool granted =
      known == state_.incarnations.end() || mayReplace(known->second, request.incarnation);
  // A refusal never names less than the requester's own: it would be taken for a late reply.
  const Incarnation newest =
      granted ? request.incarnation : std::max(known->second, request.incarnation);
  if (granted) learnIncarnation(request.sender, request.incarnation);
  auto reply = makeReply(granted);
  reply.requesterIncarnation = newest;
  forgetIncarnations(request.sender);
  return {std::move(reply), granted};
}

// A first incarnation is below all others and nothing to remember.
void Acceptor::learnIncarnation(const NodeId& node, Incarnation incarnation) {
  if (!isFirstGeneration(incarnation)) recordIncarnation(state_.incarnations, node, incarnation);
}

// Of nodes that do not vote nothing is needed: messages that name them as voters are of an older
// epoch.
void Acceptor::forgetIncarnations(const NodeId& except) {
  if (state_.incarnations.size() <= kMaxIncarnations) return;
  const std::set<NodeId> previous(state_.value.previousVoters.begin(),
                                  state_.value.previousVoters.end());
  std::erase_if(state_.incarnations, [&](const auto& entry) {
    const NodeId& node = entry.first;
    return node != except && !state_.value.isVoter(node) && !previous.contains(node);
  });
}

RegisterValue Acceptor::proposalBasis(RegisterValue known) const {
  if (!known.history && known.uniqueId == state_.value.uniqueId) {
    known.history = state_.value.history;
  }
  return known;
}

std::optional<RegisterRequest> Acceptor::rejoinRequest() const {
  if (state_.recovered) return std::nullopt;
  RegisterRequest request;
  request.kind = RegisterRequest::Kind::rejoin;
  request.sender = self_;
  request.incarnation = state_.incarnation;
  return request;
}

bool Acceptor::handleRejoinReply(const NodeId& from, const RegisterReply& reply,
                                 const RegisterValue& known) {
  if (state_.recovered || reply.recovering) return false;
  if (!reply.granted) {
    raiseIncarnation(reply.requesterIncarnation);
    return false;
  }
  const bool toEarlierIncarnation = reply.requesterIncarnation != state_.incarnation;
  if (toEarlierIncarnation) return false;
  rejoinReplies_[from] = reply;
  dropSupersededRejoinReplies();
  if (!hasRejoinQuorum(known)) return false;
  adoptRejoinReplies();
  return true;
}

// A newer incarnation of this acceptor is known there: it asks all anew, as a newer one still.
void Acceptor::raiseIncarnation(Incarnation known) {
  if (known < state_.incarnation) return;
  state_.incarnation = nextIncarnation(known, stableHash(self_.str(), state_.incarnation.value));
  rejoinReplies_.clear();
}

// A voter that lost its disk since it replied has forgotten this incarnation, and may have accepted
// more since.
void Acceptor::dropSupersededRejoinReplies() {
  for (const auto& [node, reply] : rejoinReplies_) {
    learnIncarnation(node, reply.incarnation);
    for (const auto& [other, incarnation] : reply.incarnations) {
      learnIncarnation(other, incarnation);
    }
  }
  std::erase_if(rejoinReplies_, [this](const auto& entry) {
    return isSuperseded(state_.incarnations, entry.first, entry.second.incarnation);
  });
}

// Majorities of the *others* in every set of voters that the newest epoch names: of the m voters
// that accepted a committed value m - 1 are left, and such a majority meets them.
bool Acceptor::hasRejoinQuorum(const RegisterValue& known) const {
  const RegisterValue* newest = &known;
  for (const auto& [node, reply] : rejoinReplies_) {
    if (reply.acceptedBallot.number > 0 && reply.value.epoch > newest->epoch) {
      newest = &reply.value;
    }
  }
  const auto senders = sendersOf(rejoinReplies_);
  for (const auto* voters : {&newest->voters, &newest->previousVoters}) {
    const auto others = without(*voters, self_);
    if (!others.empty() && !hasMajority(others, senders)) return false;
  }
  return !newest->voters.empty();
}

void Acceptor::adoptRejoinReplies() {
  for (const auto& [node, reply] : rejoinReplies_) {
    state_.promisedBallot = std::max(state_.promisedBallot, reply.promisedBallot);
    if (reply.acceptedBallot > state_.acceptedBallot) {
      state_.acceptedBallot = reply.acceptedBallot;
      state_.value = reply.value;
      state_.valueRecovered = true;
    }
  }
  state_.recovered = true;
  rejoinReplies_.clear();
}

}  // namespace merlingauge::consensus
