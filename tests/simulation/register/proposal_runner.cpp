#include "simulation/register/proposal_runner.hpp"

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

#include "base/errors.hpp"
#include "consensus/message_codec.hpp"

namespace merlingauge::test::register_world {

using consensus::Proposer;
using consensus::RegisterReply;
using consensus::RegisterValue;

namespace {
/// Below the time that the simulated operators wait for an answer.
constexpr auto kProposalLimit = std::chrono::milliseconds(900);
// How long a committed value is on its way to the other machines, in milliseconds.
constexpr double kFastestPassOnMs = 5;
constexpr double kSlowestPassOnMs = 100;
constexpr double kBytesPerKilobyte = 1024;
constexpr int kFirstServerError = 500;  // from this HTTP status on the outcome is unclear
}  // namespace

ProposalRunner::ProposalRunner(const Scenario& scenario, Clock& clock, Fleet& fleet,
                               Network& network, AcceptorService& acceptors)
    : clock_(clock),
      fleet_(fleet),
      network_(network),
      acceptors_(acceptors),
      passOnChance_(number(scenario, "gossip", 0)) {}

void ProposalRunner::run(Machine& machine, const CallPtr& call, Proposer::ChangeFunction change,
                         std::function<void()> onCommitted) {
  if (!machine.acceptor) return;
  call->onCommitted = std::move(onCommitted);
  call->beganAtMs = clock_.ms();
  calls_.push_back(call);
  const auto proposal = std::make_shared<Proposal>(
      Proposal{machine, machine.process, call,
               Proposer(machine.id, machine.acceptor->proposalBasis(machine.known),
                        std::move(change), clock_.random() >> 1)});
  if (passOnChance_ > 0) {
    proposal->proposer.offerCached(nullptr, machine.textCache.newestHistory());
  }
  advance(proposal, proposal->proposer.start(clock_.now(), kProposalLimit));
}

CallPtr ProposalRunner::read(Machine& machine) {
  auto call = std::make_shared<Call>();
  call->isRead = true;
  run(machine, call, [](const RegisterValue&, RegisterValue&) { return Proposer::Decision{}; });
  return call;
}

void ProposalRunner::advance(const ProposalPtr& proposal, const std::vector<Request>& requests) {
  for (const auto& request : requests) sendRequest(proposal, request);
  if (proposal->proposer.result()) {
    finish(proposal->machine, *proposal->call, *proposal->proposer.result());
    return;
  }
  clock_.at(proposal->proposer.nextWakeUp(), [this, proposal] {
    if (!proposal->isOver()) advance(proposal, proposal->proposer.tick(clock_.now()));
  });
}

void ProposalRunner::sendRequest(const ProposalPtr& proposal, const Request& request) {
  auto& machine = proposal->machine;
  const auto text = toJson(request.request, request.receiver, &machine.textCache).dump();
  sentBytes_ += static_cast<double>(text.size());
  network_.deliver(machine.id, request.recipient, [this, proposal, request, text] {
    auto& voter = fleet_.at(request.recipient.str());
    acceptors_.handle(voter, text, [this, proposal, request, &voter](const RegisterReply& reply) {
      sendReply(proposal, request, voter, reply);
    });
  });
}

void ProposalRunner::sendReply(const ProposalPtr& proposal, const Request& request,
                               const Machine& voter, const RegisterReply& reply) {
  const auto text =
      toJson(reply, consensus::receiverStateOf(request.request), &voter.textCache).dump();
  sentBytes_ += static_cast<double>(text.size());
  network_.deliver(voter.id, proposal->machine.id, [this, proposal, request, text] {
    if (!proposal->isOver()) handleReply(proposal, request, text);
  });
}

void ProposalRunner::handleReply(const ProposalPtr& proposal, const Request& request,
                                 const std::string& text) {
  auto& textCache = proposal->machine.textCache;
  proposal->proposer.addTextsTo(textCache);
  RegisterReply reply;
  try {
    // Messages cross the wire as text: what JSON drops must not be missed.
    reply = consensus::replyFromJson(nlohmann::json::parse(text), &textCache);
  } catch (const std::exception&) {
    return;  // the text that it rests on has gone from the cache since
  }
  consensus::cacheTexts(textCache, reply.value);
  advance(proposal,
          proposal->proposer.handleReply(request.recipient, request.round, reply, clock_.now()));
}

void ProposalRunner::finish(Machine& machine, Call& call, const Proposer::Result& result) {
  if (call.endedAtMs >= 0) return;
  call.endedAtMs = clock_.ms();
  if (!result.value) {
    call.outcome = Call::Outcome::unclear;
    if (const auto onEnded = std::exchange(call.onEnded, {})) onEnded();
    return;
  }
  call.seen = *result.value;
  const bool isClear = responseFor(result.error).status < kFirstServerError;
  call.outcome = result.succeeded ? Call::Outcome::acknowledged
                 : isClear        ? Call::Outcome::rejected
                                  : Call::Outcome::unclear;
  if (call.isRead) call.revision = result.value->configRevision.value;
  if (call.onCommitted) clock_.after(0, std::exchange(call.onCommitted, {}));
  if (result.value->sequence > machine.known.sequence) machine.known = *result.value;
  consensus::cacheTexts(machine.textCache, machine.known);
  machine.acceptorAheadSinceMs = kNever;
  machine.jointVotersSinceMs = kNever;
  const bool isAcknowledged = call.outcome == Call::Outcome::acknowledged;
  if (isAcknowledged) fleet_.setAcknowledged(result.value->sequence);
  passOn(machine.known);
  if (isAcknowledged) newestRevision_ = std::max(newestRevision_, call.revision);
  if (const auto onEnded = std::exchange(call.onEnded, {})) onEnded();
}

/// As gossip does it: what was chosen, without its history.
void ProposalRunner::passOn(RegisterValue value) {
  if (passOnChance_ == 0) return;
  value.history = nullptr;
  for (const auto& owned : fleet_.machines()) {
    if (!clock_.chance(passOnChance_)) continue;
    auto& machine = *owned;
    clock_.after(clock_.uniform(kFastestPassOnMs, kSlowestPassOnMs), [this, &machine, value] {
      if (!machine.acceptor || machine.frozenUntilMs > clock_.ms()) return;
      if (value.sequence <= machine.known.sequence) return;
      machine.known = value;
      consensus::cacheTexts(machine.textCache, machine.known);
    });
  }
}

void ProposalRunner::report(std::map<std::string, double>& measured) const {
  double acknowledged = 0;
  double reads = 0;
  double rejected = 0;
  double unclear = 0;
  for (const auto& call : calls_) {
    const bool succeeded = call->outcome == Call::Outcome::acknowledged;
    acknowledged += succeeded && !call->isRead ? 1 : 0;
    reads += succeeded && call->isRead ? 1 : 0;
    rejected += call->outcome == Call::Outcome::rejected ? 1 : 0;
    unclear += call->outcome == Call::Outcome::unclear ? 1 : 0;
  }
  measured["acked"] = acknowledged;
  measured["reads"] = reads;
  measured["rejected"] = rejected;
  measured["unclear"] = unclear;
  measured["kilobytes"] = sentBytes_ / kBytesPerKilobyte;
}

}  // namespace merlingauge::test::register_world
