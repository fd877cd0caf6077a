#include "control/proposal_runner.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "consensus/message_codec.hpp"
#include "control/register_rpc.hpp"

namespace merlingauge::control {

using consensus::Proposer;
using consensus::RegisterReply;
using consensus::RegisterValue;
using nlohmann::json;

namespace {
// How long a call to a voter is kept open. Rounds end much earlier; this only frees the call of a
// voter that never replies.
constexpr Duration kVoterCallTimeout = std::chrono::seconds(4);
}  // namespace

/// One change or read under way. Kept alive by its timer and by the calls that wait for replies.
struct ProposalRunner::Proposal {
  Proposal(NodeId self, RegisterValue basis, Proposer::ChangeFunction change, std::uint64_t seed,
           Duration roundTimeout)
      : proposer(std::move(self), std::move(basis), std::move(change), seed, roundTimeout) {}
  Proposer proposer;
  ResultCallback onResult;  // empty once called
  TimePoint startedAt;      // by the clock itself, not the loop's turn: a bound for staleness
  event::EventLoop::TimerId timer = 0;
};

ProposalRunner::ProposalRunner(event::EventLoop& loop, rpc::PeerRpc& rpc,
                               consensus::RegisterReplica& replica, AcceptorHost* localAcceptor,
                               consensus::StalenessBound& stalenessBound,
                               config::ConfigTextCache& textCache, NodeId self,
                               const ProposalTiming& timing, std::mt19937_64& random)
    : loop_(loop),
      rpc_(rpc),
      replica_(replica),
      localAcceptor_(localAcceptor),
      stalenessBound_(stalenessBound),
      textCache_(textCache),
      self_(std::move(self)),
      timing_(timing),
      random_(random) {}

RegisterValue ProposalRunner::proposalBasis() const {
  const auto& committed = replica_.committedValue();
  return localAcceptor_ == nullptr ? committed
                                   : localAcceptor_->acceptor().proposalBasis(committed);
}

void ProposalRunner::propose(Proposer::ChangeFunction change, Duration limit,
                             ResultCallback onResult) {
  auto basis = proposalBasis();
  if (basis.voters.empty()) {
    onResult(Proposer::Result{});
    return;
  }
  const auto proposal = std::make_shared<Proposal>(self_, std::move(basis), std::move(change),
                                                   random_(), timing_.roundTimeout());
  proposal->onResult = std::move(onResult);
  ++activeProposals_;
  const auto localText =
      localAcceptor_ == nullptr ? nullptr : localAcceptor_->acceptor().value().config;
  proposal->proposer.offerCached(localText, textCache_.newestHistory());
  proposal->startedAt = event::EventLoop::readClock();
  sendRequests(proposal, proposal->proposer.start(loop_.now(), limit));
}

void ProposalRunner::read(Duration limit, ResultCallback onResult) {
  const auto keepValue = [](const RegisterValue&, RegisterValue&) { return Proposer::Decision{}; };
  propose(keepValue, limit, std::move(onResult));
}

void ProposalRunner::sendRequests(const ProposalPtr& proposal,
                                  const std::vector<Proposer::OutgoingRequest>& requests) {
  for (const auto& outgoing : requests) {
    if (outgoing.recipient != self_) {
      sendToPeer(proposal, outgoing);
    } else if (localAcceptor_ != nullptr) {
      localAcceptor_->handleRequest(outgoing.request, [this, proposal, round = outgoing.round](
                                                          std::optional<RegisterReply> reply) {
        if (reply) handleReply(proposal, self_, round, *reply);
      });
    }
  }
  finishOrWait(proposal);
}

void ProposalRunner::sendToPeer(const ProposalPtr& proposal,
                                const Proposer::OutgoingRequest& outgoing) {
  const auto timeout = kVoterCallTimeout + consensus::extraRoundTime(outgoing.request.value);
  rpc_.call(outgoing.recipient, kRegisterRpcPath,
            toJson(outgoing.request, outgoing.receiver, &textCache_), timeout,
            [this, proposal, from = outgoing.recipient,
             round = outgoing.round](const std::optional<json>& response) {
              if (!response) return;
              // The request named the texts that the voter need not send.
              proposal->proposer.addTextsTo(textCache_);
              try {
                handleReply(proposal, from, round,
                            consensus::replyFromJson(*response, &textCache_));
              } catch (const std::exception&) {
                // Malformed, or it shows a configuration that the change can't be applied to: it
                // counts as no reply.
              }
            });
}

void ProposalRunner::handleReply(const ProposalPtr& proposal, const NodeId& from,
                                 std::uint64_t round, const RegisterReply& reply) {
  if (proposal->proposer.result()) return;
  consensus::cacheTexts(textCache_, reply.value);
  sendRequests(proposal, proposal->proposer.handleReply(from, round, reply, loop_.now()));
}

void ProposalRunner::finishOrWait(const ProposalPtr& proposal) {
  if (const auto& result = proposal->proposer.result()) {
    // A copy: the callback may drop the last reference to the proposal.
    const Proposer::Result copy = *result;
    finish(proposal, copy);
    return;
  }
  loop_.cancel(proposal->timer);
  const Duration wait = proposal->proposer.nextWakeUp() - loop_.now();
  proposal->timer = loop_.after(wait, [this, proposal] {
    proposal->timer = 0;
    sendRequests(proposal, proposal->proposer.tick(loop_.now()));
  });
}

void ProposalRunner::finish(const ProposalPtr& proposal, const Proposer::Result& result) {
  if (!proposal->onResult) return;
  loop_.cancel(proposal->timer);
  const auto onResult = std::exchange(proposal->onResult, nullptr);
  --activeProposals_;
  if (result.value) {
    replica_.learn(*result.value);
    stalenessBound_.onQuorumRead(proposal->startedAt);
  }
  onResult(result);
}

}  // namespace merlingauge::control
