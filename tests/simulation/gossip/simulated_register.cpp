#include "simulation/gossip/simulated_register.hpp"

#include <algorithm>
#include <utility>

#include "consensus/acceptor_state_codec.hpp"
#include "consensus/quorum.hpp"

namespace merlingauge::test {

using consensus::Proposer;
using consensus::RegisterReply;
using consensus::RegisterRequest;
using consensus::RegisterValue;

namespace {
constexpr int kMaxChangeAttempts = 30;
constexpr double kChangeRetryMs = 200;
// An accepted value is asked for after this time, unless gossip has told of it.
constexpr double kRepairAfterMs = 250;
constexpr double kSyncMs = 2;
constexpr double kProposalTimeoutMs = 900;
}  // namespace

struct SimulatedRegister::Proposal {
  SimulatedNode& node;
  int run;
  Proposer proposer;
  TimePoint began;
  ResultCallback onResult;
  [[nodiscard]] bool isOver() const { return proposer.result() || node.run != run; }
};

void SimulatedRegister::propose(SimulatedNode& node, const Proposer::ChangeFunction& change,
                                ResultCallback onResult) {
  const auto proposal = std::make_shared<Proposal>(
      Proposal{node, node.run, Proposer(node.id, node.committed, change, clock_.random()),
               clock_.now(), std::move(onResult)});
  send(proposal, proposal->proposer.start(clock_.now(), fromMillis(kProposalTimeoutMs)));
}

void SimulatedRegister::send(const std::shared_ptr<Proposal>& proposal,
                             const std::vector<Proposer::OutgoingRequest>& requests) {
  for (const auto& outgoing : requests) {
    deliver(proposal->node, fleet_.at(outgoing.recipient.str()), outgoing.request,
            [this, proposal, to = outgoing.recipient,
             round = outgoing.round](const RegisterReply& reply) {
              if (proposal->isOver()) return;
              send(proposal, proposal->proposer.handleReply(to, round, reply, clock_.now()));
            });
  }
  if (const auto& result = proposal->proposer.result()) {
    if (!proposal->onResult) return;
    const auto onResult = std::exchange(proposal->onResult, nullptr);
    if (result->value) {
      fleet_.learn(proposal->node, *result->value);
      proposal->node.stalenessBound.onQuorumRead(proposal->began);
    }
    onResult(*result);
    return;
  }
  clock_.at(proposal->proposer.nextWakeUp(), [this, proposal] {
    if (!proposal->isOver()) send(proposal, proposal->proposer.tick(clock_.now()));
  });
}

void SimulatedRegister::deliver(SimulatedNode& from, SimulatedNode& to,
                                const RegisterRequest& request, ReplyCallback onReply) {
  clock_.after(network_.delayMs(), [this, &from, &to, request, onReply = std::move(onReply)] {
    if (!to.isUp() || !to.acceptor) return;
    if (&from != &to && !network_.arrives(from.id, to.id)) return;
    const auto outgoing = to.acceptor->handle(request);
    to.stalenessBound.onAccepted(to.acceptor->value().sequence, clock_.now());
    to.disk = consensus::encodeState(to.acceptor->state());
    recordChosen();
    const double syncMs = outgoing.syncBeforeSend ? kSyncMs : 0;
    clock_.after(network_.delayMs() + syncMs,
                 [this, &from, &to, run = to.run, reply = outgoing.reply, onReply] {
                   if (to.run != run) return;
                   if (&from == &to || network_.arrives(to.id, from.id)) onReply(reply);
                 });
  });
}

// The very moment at which a quorum holds a value under one ballot.
void SimulatedRegister::recordChosen() {
  const auto& voters = fleet_.voters();
  for (const auto& voter : voters) {
    const auto& acceptor = *fleet_.at(voter.str()).acceptor;
    const auto sequence = acceptor.value().sequence;
    if (sequence == 0 || chosenAtMs_.contains(sequence)) continue;
    const auto holders = std::count_if(voters.begin(), voters.end(), [&](const NodeId& node) {
      return fleet_.at(node.str()).acceptor->acceptedBallot() == acceptor.acceptedBallot();
    });
    if (static_cast<std::size_t>(holders) * 2 <= voters.size()) continue;
    chosenAtMs_[sequence] = clock_.ms();
    fleet_.setNewest(sequence);
  }
}

void SimulatedRegister::tryChange(const std::string& recipient, const std::string& text,
                                  int attempts) {
  require(attempts < kMaxChangeAttempts, "a change was never acknowledged");
  auto& node = fleet_.at(recipient);
  const auto next = "c" + std::to_string(clock_.random() % fleet_.voters().size());
  const auto retry = [this, next, text, attempts] {
    clock_.after(kChangeRetryMs, [=, this] { tryChange(next, text, attempts + 1); });
  };
  if (!node.isUp()) {
    retry();
    return;
  }
  const auto write = [text](const RegisterValue& current, RegisterValue& wanted) {
    Proposer::Decision decision;
    if (current.config && current.config->text() == text) return decision;
    wanted.config = config::ConfigText::create(text);
    decision.kind = Proposer::Decision::Kind::write;
    return decision;
  };
  propose(node, write, [this, retry](const Proposer::Result& result) {
    if (!result.succeeded) {
      retry();
      return;
    }
    fleet_.setNewest(result.value->sequence);
    acknowledgedAtMs_[result.value->sequence] = clock_.ms();
  });
}

void SimulatedRegister::repairAll() {
  for (const auto& node : fleet_.nodes()) {
    if (node->isUp()) repair(*node);
  }
}

void SimulatedRegister::repair(SimulatedNode& node) {
  auto& state = repairs_[node.id];
  if (state.run != node.run) state = {node.run};
  if (!node.acceptor || node.acceptor->value().sequence <= node.committed.sequence) {
    state.aheadSinceMs = -1;
    return;
  }
  if (state.aheadSinceMs < 0) state.aheadSinceMs = clock_.ms();
  if (state.reading || clock_.ms() - state.aheadSinceMs < kRepairAfterMs) return;
  state.reading = true;
  propose(
      node, [](const RegisterValue&, RegisterValue&) { return Proposer::Decision{}; },
      [this, &state](const Proposer::Result&) {
        state.reading = false;
        state.aheadSinceMs = clock_.ms();
      });
}

std::set<NodeId> SimulatedRegister::nodesInQuorum() const {
  std::set<NodeId> inQuorum;
  for (const auto& node : fleet_.nodes()) {
    if (!node->isControlNode || !node->isUp()) continue;
    std::set<NodeId> linked;
    for (const auto& other : fleet_.nodes()) {
      if (!other->isUp() || !other->acceptor) continue;
      if (network_.isLinked(node->id, other->id)) linked.insert(other->id);
    }
    if (consensus::hasMajority(fleet_.voters(), linked)) inQuorum.insert(node->id);
  }
  return inQuorum;
}

}  // namespace merlingauge::test
