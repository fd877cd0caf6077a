#include "simulation/register/maintenance.hpp"

#include "consensus/message_codec.hpp"

namespace merlingauge::test::register_world {

namespace {
/// For so long the proposer itself may still finish the value.
constexpr double kRepairAfterMs = 300;
}  // namespace

Maintenance::Maintenance(const Scenario& scenario, const Parts& parts)
    : parts_(parts), intervalMs_(number(scenario, "tick", 100)) {}

void Maintenance::tick() {
  for (const auto& machine : parts_.fleet.machines()) tick(*machine);
  parts_.clock.after(intervalMs_, [this] { tick(); });
}

void Maintenance::tick(Machine& machine) {
  if (!machine.acceptor || machine.frozenUntilMs > parts_.clock.ms()) return;
  if (parts_.fleet.managesVoters()) parts_.voters.tick(machine);
  if (!machine.acceptor) return;  // it has left
  parts_.fleet.watchCatchUp(machine);
  if (!machine.acceptor->recovered()) {
    askToRejoin(machine);
  } else if (machine.acceptor->value().sequence > machine.known.sequence) {
    repair(machine);
  }
}

void Maintenance::askToRejoin(Machine& machine) {
  for (const auto& voter : machine.known.voters) {
    if (voter != machine.id) sendRejoinRequest(machine, voter);
  }
}

void Maintenance::sendRejoinRequest(Machine& machine, const NodeId& voter) {
  const auto request = machine.acceptor->rejoinRequest();
  const int process = machine.process;
  const auto onReply = [this, &machine, voter, process](const consensus::RegisterReply& reply) {
    parts_.network.deliver(voter, machine.id, [&machine, voter, process, reply] {
      if (machine.process != process || !machine.acceptor) return;
      if (!machine.acceptor->handleRejoinReply(voter, reply, machine.known)) return;
      consensus::cacheTexts(machine.textCache, machine.acceptor->value());
    });
  };
  parts_.network.deliver(machine.id, voter, [this, voter, request, onReply] {
    auto& recipient = parts_.fleet.at(voter.str());
    parts_.acceptors.handle(recipient, toJson(*request).dump(), onReply);
  });
}

void Maintenance::repair(Machine& machine) {
  const double now = parts_.clock.ms();
  if (machine.acceptorAheadSinceMs < 0) machine.acceptorAheadSinceMs = now;
  if (now - machine.acceptorAheadSinceMs <= kRepairAfterMs) return;
  machine.acceptorAheadSinceMs = now;
  parts_.proposals.read(machine);
}

}  // namespace merlingauge::test::register_world
