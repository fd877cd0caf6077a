#include "simulation/explorer/proposer_side.hpp"

#include <utility>

#include "simulation/explorer/value_tags.hpp"

namespace merlingauge::test::explorer {

using consensus::Proposer;
using consensus::RegisterRequest;
using consensus::RegisterValue;

namespace {
/// Time is only the step `timeout`: no proposal ends by its limit.
constexpr double kProposalLimitSeconds = 3600;

Proposer::ChangeFunction putOf(const Task& task, std::int64_t revision) {
  return [&task, revision](const RegisterValue& current, RegisterValue& next) {
    Proposer::Decision decision;
    if (hasTag(current, task.tag)) return decision;
    decision.kind = Proposer::Decision::Kind::reject;
    if (current.configRevision.value != task.base) return decision;
    decision.kind = Proposer::Decision::Kind::write;
    next.configRevision = Revision{revision};
    appendTag(next, task.tag);
    return decision;
  };
}

Proposer::ChangeFunction voterChangeOf(const Task& task) {
  return [&task](const RegisterValue& current, RegisterValue& next) {
    constexpr std::uint64_t kChanged = 2;  // the epoch of the new voters alone
    Proposer::Decision decision;
    if (current.epoch >= kChanged) return decision;
    const bool isFirst = current.epoch == 0;
    decision.kind = Proposer::Decision::Kind::write;
    next.epoch = current.epoch + 1;
    next.previousVoters = isFirst ? current.voters : std::vector<NodeId>{};
    next.voters = task.voters;
    appendTag(next, isFirst ? kJointVotersTag : kNewVotersTag);
    return decision;
  };
}

Proposer::ChangeFunction changeOf(const Task& task, std::int64_t revision) {
  if (task.kind == Task::Kind::put) return putOf(task, revision);
  if (task.kind == Task::Kind::changeVoters) return voterChangeOf(task);
  return [](const RegisterValue&, RegisterValue&) { return Proposer::Decision{}; };
}
}  // namespace

void ProposerSide::start(State& state, std::size_t place) const {
  const auto& task = scope_.tasks[place];
  editor_.edit(state.proposers[place], [&](ProposingNode& proposing) {
    proposing.proposer.emplace(scope_.ids[task.node], state.nodes[task.node]->known,
                               changeOf(task, static_cast<std::int64_t>(place) + 1), place + 1);
    proposing.sequenceAtStart = state.history->reportedSequence;
    ++proposing.rounds;
    advance(state, place, proposing,
            proposing.proposer->start(TimePoint(), fromSeconds(kProposalLimitSeconds)));
  });
}

void ProposerSide::timeOut(State& state, std::size_t place) const {
  editor_.edit(state.proposers[place], [&](ProposingNode& proposing) {
    ++proposing.rounds;
    auto& proposer = *proposing.proposer;
    advance(state, place, proposing, proposer.tick(proposer.nextWakeUp()));
  });
}

void ProposerSide::handleReply(State& state, const Message& message) const {
  editor_.edit(state.proposers[message.sender], [&](ProposingNode& proposing) {
    if (proposing.done) return;
    auto reply = message.reply;
    auto round = message.round;
    if (reply.sameValue) reply.value = RegisterValue{};
    if (scope_.fault == PlantedFault::hiddenIncarnations) reply.incarnations.clear();
    const bool isLate = proposing.accepting && round + 1 == proposing.round;
    if (scope_.fault == PlantedFault::lateReply && isLate) round = proposing.round;
    if (scope_.fault == PlantedFault::oneMajority) reply.value.previousVoters.clear();
    advance(state, message.sender, proposing,
            proposing.proposer->handleReply(scope_.ids[message.voter], round, reply, TimePoint()));
  });
}

bool ProposerSide::rejectsEarly(const Task& task, const Request& request) const {
  return scope_.fault == PlantedFault::earlyRejection && task.kind == Task::Kind::put &&
         request.request.kind == RegisterRequest::Kind::accept &&
         !hasTag(request.request.value, task.tag);
}

void ProposerSide::advance(State& state, std::size_t place, ProposingNode& proposing,
                           const std::vector<Request>& requests) const {
  for (const auto& request : requests) {
    proposing.round = request.round;
    proposing.accepting = request.request.kind == RegisterRequest::Kind::accept;
    if (rejectsEarly(scope_.tasks[place], request)) {
      proposing.done = true;
      invariants_.recordRejected(state, place);
      return;
    }
    Message message;
    message.sender = place;
    message.voter = scope_.placeOf(request.recipient);
    message.round = request.round;
    message.request = request.request;
    wire_.send(state, std::move(message));
  }
  if (proposing.done || !proposing.proposer->result()) return;
  proposing.done = true;
  finish(state, place, proposing);
}

void ProposerSide::finish(State& state, std::size_t place, const ProposingNode& proposing) const {
  const auto& result = *proposing.proposer->result();
  const auto& task = scope_.tasks[place];
  std::erase_if(state.inFlight, [place](const MessagePtr& message) {
    return message->kind == Message::Kind::reply && message->sender == place;
  });
  if (!result.value) return;
  invariants_.recordReported(state, *result.value);
  if (result.value->sequence < proposing.sequenceAtStart) {
    state.violation = "a later call saw an older value";
  }
  editor_.edit(state.nodes[task.node], [&result](Node& node) {
    if (result.value->sequence > node.known.sequence) node.known = *result.value;
  });
  if (task.kind != Task::Kind::put) return;
  if (result.succeeded) {
    invariants_.recordAcknowledged(state, place, *result.value);
  } else {
    invariants_.recordRejected(state, place);
  }
}

}  // namespace merlingauge::test::explorer
