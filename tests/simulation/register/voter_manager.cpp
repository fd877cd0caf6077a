#include "simulation/register/voter_manager.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>

namespace merlingauge::test::register_world {

using consensus::ControlNodeView;
using consensus::Proposer;
using consensus::RegisterValue;
using consensus::VoterSetView;

namespace {
constexpr double kHeartbeatIntervalMs = 500;
/// A longer gap between two ticks: the machine stood still and has heard nobody meanwhile.
constexpr double kStandstillMs = 1000;
/// A leaving machine does not wait longer for others to take over its vote.
constexpr double kLongestLeaveMs = 3000;
/// Voters finish a half-done change one after the other, so that they do not compete.
constexpr double kFinishChangeAfterMs = 250;
constexpr double kFinishChangeStepMs = 40;
/// Another attempt may start after this, also where the one before has no answer.
constexpr double kChangeTimeoutMs = 1000;

bool contains(const std::vector<NodeId>& nodes, const NodeId& id) {
  return std::find(nodes.begin(), nodes.end(), id) != nodes.end();
}

/// The rule that was replaced: newcomers are added first, and an unresponsive one is removed after
/// ten seconds.
std::optional<std::vector<NodeId>> nextVotersByOldRule(const VoterSetView& view) {
  auto next = view.voters;
  for (const auto& node : view.nodes) {
    const bool isSettled = node.knownFor >= consensus::kNewNodeSettledAfter;
    if (!node.heardRecently || node.shuttingDown || !isSettled) continue;
    if (!contains(next, node.id)) next.push_back(node.id);
  }
  for (const auto& node : view.nodes) {
    if (next != view.voters || next.size() <= consensus::minVoters(view.faultTolerance)) break;
    if (node.unresponsiveFor > consensus::kVoterLostAfter) std::erase(next, node.id);
  }
  std::sort(next.begin(), next.end());
  return next == view.voters ? std::nullopt : std::make_optional(next);
}
}  // namespace

void VoterManager::sendHeartbeats() {
  for (const auto& from : fleet_.machines()) {
    if (!from->acceptor || from->frozenUntilMs > clock_.ms()) continue;
    const Heartbeat heartbeat{from->id, from->acceptor->recovered(), from->leavingSinceMs >= 0,
                              from->known};
    for (const auto& owned : fleet_.machines()) {
      if (owned == from) continue;
      auto& machine = *owned;
      network_.deliver(from->id, machine.id,
                       [this, &machine, heartbeat] { handleHeartbeat(machine, heartbeat); });
    }
  }
  clock_.after(kHeartbeatIntervalMs, [this] { sendHeartbeats(); });
}

void VoterManager::handleHeartbeat(Machine& machine, const Heartbeat& heartbeat) {
  if (!machine.acceptor) return;
  auto& peer = machine.peers[heartbeat.from];
  if (peer.heardAtMs < 0) peer.knownSinceMs = clock_.ms();
  peer.heardAtMs = clock_.ms();
  peer.recovered = heartbeat.recovered;
  peer.leaving = heartbeat.leaving;
  const bool isNewer = heartbeat.known.sequence > machine.known.sequence;
  if (!isNewer && !machine.known.voters.empty()) return;
  machine.known = heartbeat.known;
  machine.textCache.add(heartbeat.known.config);
  machine.jointVotersSinceMs = kNever;
  machine.acceptorAheadSinceMs = kNever;
}

VoterSetView VoterManager::viewOf(const Machine& machine) const {
  VoterSetView view{machine.known.voters, {}, fleet_.tolerance()};
  std::set<NodeId> all(machine.known.voters.begin(), machine.known.voters.end());
  for (const auto& [id, peer] : machine.peers) all.insert(id);
  all.insert(machine.id);
  for (const auto& id : all) view.nodes.push_back(viewOfNode(machine, id));
  return view;
}

ControlNodeView VoterManager::viewOfNode(const Machine& machine, const NodeId& id) const {
  const auto since = [now = clock_.ms()](double atMs) { return fromMillis(now - atMs); };
  ControlNodeView node;
  node.id = id;
  if (id == machine.id) {
    node.knownFor = Duration::max();
    node.heardRecently = true;
    node.recovered = machine.acceptor->recovered();
    node.shuttingDown = machine.leavingSinceMs >= 0;
    return node;
  }
  const auto found = machine.peers.find(id);
  if (found == machine.peers.end()) {
    node.unresponsiveFor = since(machine.listeningSinceMs);
    return node;
  }
  const auto& peer = found->second;
  node.knownFor = since(peer.knownSinceMs);
  node.unresponsiveFor = since(std::max(peer.heardAtMs, machine.listeningSinceMs));
  node.heardRecently = since(peer.heardAtMs) <= consensus::kVoterUnresponsiveAfter;
  node.recovered = peer.recovered;
  node.shuttingDown = peer.leaving;
  return node;
}

void VoterManager::tick(Machine& machine) {
  const double now = clock_.ms();
  if (now - machine.lastTickMs > kStandstillMs) machine.listeningSinceMs = now;
  machine.lastTickMs = now;
  const auto view = viewOf(machine);
  const auto next = fault_ == PlantedFault::oldVoterRule ? nextVotersByOldRule(view)
                                                         : consensus::nextVoterSet(view);
  if (machine.leavingSinceMs >= 0 && mayStop(machine, next)) {
    const bool isForGood = machine.leavesForMs == 0;
    fleet_.stop(machine, isForGood, isForGood ? kForGoodMs : machine.leavesForMs);
    return;
  }
  if (!machine.acceptor->recovered() || machine.changingVoters) return;
  if (machine.known.voters.empty()) return;
  if (!machine.known.previousVoters.empty()) {
    finishChange(machine);
  } else if (machine.leavingSinceMs < 0 && next && consensus::ownsVoterSetRole(view, machine.id)) {
    propose(machine, *next);
  }
}

bool VoterManager::mayStop(const Machine& machine, const std::optional<Voters>& next) const {
  const bool isChanging = !machine.known.previousVoters.empty();
  const bool isToBeReplaced = next && !contains(*next, machine.id);
  if (!isChanging && !isToBeReplaced) return true;
  if (fault_ == PlantedFault::oldVoterRule) return true;
  return clock_.ms() - machine.leavingSinceMs > kLongestLeaveMs;
}

void VoterManager::finishChange(Machine& machine) {
  if (machine.jointVotersSinceMs < 0) machine.jointVotersSinceMs = clock_.ms();
  const auto& voters = machine.known.voters;
  const auto place = std::find(voters.begin(), voters.end(), machine.id) - voters.begin();
  const double turnMs = kFinishChangeAfterMs + kFinishChangeStepMs * static_cast<double>(place);
  if (clock_.ms() - machine.jointVotersSinceMs > turnMs) propose(machine, {});
}

void VoterManager::propose(Machine& machine, const Voters& voters) {
  machine.changingVoters = true;
  auto call = std::make_shared<Call>();
  call->isRead = true;
  clock_.after(kChangeTimeoutMs, [&machine, process = machine.process] {
    if (machine.process == process) machine.changingVoters = false;
  });
  const auto decide = [epoch = machine.known.epoch, voters, fault = fault_](
                          const RegisterValue& current, RegisterValue& next) {
    Proposer::Decision decision;
    const bool isOutOfTurn = current.previousVoters.empty() == voters.empty();
    if (current.epoch != epoch || isOutOfTurn) return decision;
    decision.kind = Proposer::Decision::Kind::write;
    next.epoch = current.epoch + 1;
    next.previousVoters = current.previousVoters.empty() ? current.voters : Voters{};
    if (fault == PlantedFault::oneMajority) next.previousVoters.clear();
    if (!voters.empty()) next.voters = voters;
    return decision;
  };
  const auto onCommitted = [this, &machine] {
    machine.changingVoters = false;
    if (!machine.known.previousVoters.empty() && machine.acceptor) propose(machine, {});
  };
  proposals_.run(machine, call, decide, onCommitted);
}

}  // namespace merlingauge::test::register_world
