#include "simulation/register/fleet.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "consensus/voter_set.hpp"

namespace merlingauge::test::register_world {

Fleet::Fleet(const Scenario& scenario, Clock& clock, PlantedFault fault)
    : clock_(clock), fault_(fault) {
  const int count = static_cast<int>(number(scenario, "nodes", 5));
  started_ = static_cast<int>(number(scenario, "running", count));
  const int voters = static_cast<int>(number(scenario, "voters", started_));
  tolerance_ = static_cast<std::size_t>(number(scenario, "tolerance", 0));
  for (int i = 1; i <= count; ++i) {
    auto machine = std::make_unique<Machine>();
    machine->id = NodeId("n" + std::to_string(i));
    if (i <= voters) firstVoters_.push_back(machine->id);
    machines_.push_back(std::move(machine));
  }
  for (int i = 0; i < std::min(started_, count); ++i) {
    auto& machine = *machines_[static_cast<std::size_t>(i)];
    machine.known.voters = firstVoters_;
    machine.acceptor.emplace(machine.id, consensus::firstIncarnation(clock_.random()), true);
    machine.disk = consensus::encodeState(machine.acceptor->state());
  }
}

Machine& Fleet::at(const std::string& name) const {
  for (const auto& machine : machines_) {
    if (machine->id.str() == name) return *machine;
  }
  throw Broken{"no machine " + name};
}

void Fleet::stop(Machine& machine, bool loseDisk, double downForMs) {
  ++machine.process;
  machine.acceptor.reset();
  machine.diskLost = machine.diskLost || loseDisk;
  if (loseDisk) machine.disk.reset();
  if (downForMs >= kForGoodMs) return;
  clock_.after(downForMs, [this, &machine] {
    if (!machine.acceptor) boot(machine);
  });
}

void Fleet::boot(Machine& machine) {
  ++machine.process;
  machine.known = consensus::RegisterValue{};
  if (!managesVoters()) machine.known.voters = firstVoters_;
  if (machine.disk) {
    machine.acceptor.emplace(machine.id, consensus::decodeState(*machine.disk));
  }
  if (managesVoters()) {
    if (machine.acceptor) {
      const auto& value = machine.acceptor->value();
      machine.known.epoch = value.epoch;
      machine.known.voters = value.epoch == 0 ? firstVoters_ : value.voters;
      machine.known.previousVoters = value.previousVoters;
    }
    machine.peers.clear();
    machine.leavingSinceMs = kNever;
    machine.jointVotersSinceMs = kNever;
    machine.changingVoters = false;
    machine.lastTickMs = clock_.ms();
    machine.listeningSinceMs = clock_.ms();
  }
  if (!machine.acceptor) {
    machine.acceptor.emplace(machine.id, consensus::nextIncarnation(Incarnation{}, clock_.random()),
                             fault_ == PlantedFault::forgottenDisk);
  }
  machine.textCache = config::ConfigTextCache();
  consensus::cacheTexts(machine.textCache, machine.acceptor->value());
  machine.diskLost = false;
  machine.catchingUpSinceMs = clock_.ms();
  machine.catchUpTarget = acknowledgedSequence_;
  ++boots_;
}

void Fleet::leave(Machine& machine, double awayForMs) {
  if (!machine.acceptor) return;
  machine.leavingSinceMs = clock_.ms();
  machine.leavesForMs = awayForMs;
}

void Fleet::heal() {
  for (const auto& machine : machines_) {
    machine->diskHungUntilMs = 0;
    machine->frozenUntilMs = 0;
    machine->diskFull = false;
    if (!machine->acceptor && !machine->diskLost && machine->disk) boot(*machine);
  }
}

Machine& Fleet::pickRunning() {
  constexpr int kDraws = 100;  // enough to find one, as most are up
  for (int draw = 0; draw < kDraws; ++draw) {
    auto& machine = *machines_[static_cast<std::size_t>(clock_.random() % machines_.size())];
    if (machine.acceptor) return machine;
  }
  return *machines_.front();
}

std::vector<Machine*> Fleet::shuffledRunning() {
  std::vector<Machine*> running;
  for (const auto& machine : machines_) {
    if (machine->acceptor && machine->leavingSinceMs < 0) running.push_back(machine.get());
  }
  std::shuffle(running.begin(), running.end(), clock_.random);
  return running;
}

Machine* Fleet::takeUnused() {
  if (started_ >= static_cast<int>(machines_.size())) return nullptr;
  return machines_[static_cast<std::size_t>(started_++)].get();
}

void Fleet::setAcknowledged(std::uint64_t sequence) {
  acknowledgedSequence_ = std::max(acknowledgedSequence_, sequence);
}

void Fleet::watchCatchUp(Machine& machine) {
  if (machine.catchingUpSinceMs < 0 || !machine.acceptor->recovered()) return;
  if (machine.acceptor->value().sequence < machine.catchUpTarget) return;
  slowestCatchUpMs_ = std::max(slowestCatchUpMs_, clock_.ms() - machine.catchingUpSinceMs);
  machine.catchingUpSinceMs = kNever;
}

/// The most that a voter keeps of one node: it must not grow without bound.
std::size_t Fleet::mostIncarnationsKept() const {
  std::size_t most = 0;
  for (const auto& machine : machines_) {
    if (!machine->acceptor) continue;
    const auto stored = consensus::encodeState(machine->acceptor->state());
    const auto head = nlohmann::json::parse(stored.head);
    for (const auto& list : head.at("lives")) most = std::max(most, list.size());
  }
  return most;
}

void Fleet::report(std::map<std::string, double>& measured) const {
  double catchingUp = 0;
  double recovered = 0;
  for (const auto& machine : machines_) {
    if (!machine->acceptor) continue;
    catchingUp += machine->catchingUpSinceMs >= 0 ? 1 : 0;
    recovered += machine->acceptor->recovered() ? 1 : 0;
  }
  measured["recovered"] = recovered;
  measured["catching_up"] = catchingUp;
  measured["most_incarnations"] = static_cast<double>(mostIncarnationsKept());
  measured["boots"] = boots_;
  measured["catch_up_ms"] = slowestCatchUpMs_;
}

}  // namespace merlingauge::test::register_world
