#include "simulation/register/fault_sequence.hpp"

#include <algorithm>
#include <memory>
#include <vector>

namespace merlingauge::test::register_world {

namespace {
// Times are in milliseconds.
constexpr double kFirstFaultAfter = 2000;
constexpr double kFaultsWithin = 300;  // those of one round begin
constexpr double kLossLasts = 2000;    // of the machines frozen after each round
/// A planned replacement: the new machine has joined by then. Also the longest that a leaving
/// machine waits for others to take over its vote.
constexpr double kPlannedLeaveAfter = 3000;
constexpr double kJoining = 200;  // a successor is still joining then
constexpr double kJoined = 400;
constexpr double kDiskLossWhileJoining = 0.3;  // chance
constexpr std::uint64_t kKinds = 6;
// The changes sent while machines are lost.
constexpr int kChanges = 3;
constexpr double kFirstChangeAfter = 50;
constexpr double kChangeInterval = 500;
}  // namespace

FaultSequence::FaultSequence(const Scenario& scenario, Clock& clock, Fleet& fleet, Network& network,
                             ConfigClient& client, QuorumChecker& checker)
    : clock_(clock),
      fleet_(fleet),
      network_(network),
      client_(client),
      checker_(checker),
      catchUpMs_(number(scenario, "catch_up", 4000)) {}

void FaultSequence::start(int rounds) {
  clock_.after(kFirstFaultAfter, [this, rounds] { beginRound(rounds); });
}

void FaultSequence::beginRound(int roundsLeft) {
  if (roundsLeft == 0) return;
  const auto machines = fleet_.shuffledRunning();
  const std::size_t count = 1 + clock_.random() % fleet_.tolerance();
  double overAtMs = 0;
  std::string what;
  for (std::size_t i = 0; i < count; ++i) {
    const auto planned = planFault(*machines.at(i));
    what += planned.what;
    overAtMs = std::max(overAtMs, planned.overAtMs);
  }
  clock_.after(overAtMs + catchUpMs_, [this, what, roundsLeft] {
    requireTolerates(fleet_.tolerance(), kLossLasts, what);
    clock_.after(kLossLasts + catchUpMs_, [this, roundsLeft] { beginRound(roundsLeft - 1); });
  });
}

FaultSequence::PlannedFault FaultSequence::planFault(Machine& machine) {
  const double atMs = clock_.uniform(0, kFaultsWithin);
  const auto kind = clock_.random() % kKinds;
  Machine* successor = kind < 2 ? fleet_.takeUnused() : nullptr;
  if (successor != nullptr && kind == 0) return replaceUnplanned(machine, *successor, atMs);
  if (successor != nullptr) return replacePlanned(machine, *successor, atMs);
  if (kind == 2) return loseDisk(machine, atMs);
  if (kind == 3) return restart(machine, atMs);
  if (kind == 4) return freeze(machine, atMs);
  return cut(machine, atMs);
}

/// Gone for good; its successor starts a little later, and may lose its disk while it joins.
FaultSequence::PlannedFault FaultSequence::replaceUnplanned(Machine& machine, Machine& successor,
                                                            double atMs) {
  const double gapMs = clock_.uniform(300, 1500);
  clock_.after(atMs, [this, &machine] { fleet_.stop(machine, true, kForGoodMs); });
  clock_.after(atMs + gapMs, [this, &successor] { fleet_.boot(successor); });
  if (clock_.chance(kDiskLossWhileJoining)) {
    clock_.after(atMs + gapMs + kJoining,
                 [this, &successor] { fleet_.stop(successor, true, kJoining); });
  }
  return {" replace " + machine.id.str(), atMs + gapMs + kJoined};
}

/// The successor starts first.
FaultSequence::PlannedFault FaultSequence::replacePlanned(Machine& machine, Machine& successor,
                                                          double atMs) {
  clock_.after(atMs, [this, &successor] { fleet_.boot(successor); });
  clock_.after(atMs + kPlannedLeaveAfter, [this, &machine] { fleet_.leave(machine, 0); });
  return {" planned " + machine.id.str(), atMs + kPlannedLeaveAfter};
}

FaultSequence::PlannedFault FaultSequence::loseDisk(Machine& machine, double atMs) {
  const double awayMs = clock_.uniform(100, 2000);
  clock_.after(atMs, [this, &machine, awayMs] { fleet_.stop(machine, true, awayMs); });
  return {" lose disk " + machine.id.str(), atMs + awayMs};
}

FaultSequence::PlannedFault FaultSequence::restart(Machine& machine, double atMs) {
  const double awayMs = clock_.uniform(300, 4000);
  clock_.after(atMs, [this, &machine, awayMs] { fleet_.leave(machine, awayMs); });
  return {" restart " + machine.id.str(), atMs + kPlannedLeaveAfter + awayMs};
}

FaultSequence::PlannedFault FaultSequence::freeze(Machine& machine, double atMs) {
  const double awayMs = clock_.uniform(1000, 14000);
  clock_.after(atMs, [this, &machine, awayMs] { machine.frozenUntilMs = clock_.ms() + awayMs; });
  return {" freeze " + machine.id.str(), atMs + awayMs};
}

FaultSequence::PlannedFault FaultSequence::cut(Machine& machine, double atMs) {
  const double awayMs = clock_.uniform(1000, 20000);
  clock_.after(atMs, [this, &machine, awayMs] { network_.cut(machine.id, awayMs); });
  return {" cut " + machine.id.str(), atMs + awayMs};
}

void FaultSequence::requireTolerates(std::size_t count, double forMs, const std::string& after) {
  const auto machines = fleet_.shuffledRunning();
  for (std::size_t i = 0; i < count; ++i) {
    machines.at(i)->frozenUntilMs = clock_.ms() + forMs;
  }
  const auto calls = std::make_shared<std::vector<CallPtr>>();
  for (int i = 0; i < kChanges; ++i) {
    const auto place = count + static_cast<std::size_t>(i) % (machines.size() - count);
    auto& machine = *machines.at(place);
    clock_.after(kFirstChangeAfter + i * kChangeInterval,
                 [this, &machine, calls] { calls->push_back(client_.append(machine)); });
  }
  ++lossesTolerated_;
  clock_.after(forMs - 1, [this, calls, after] {
    const bool isAcknowledged = std::any_of(calls->begin(), calls->end(), [](const CallPtr& call) {
      return call->outcome == Call::Outcome::acknowledged;
    });
    if (!isAcknowledged)
      checker_.addProblem("no change acknowledged with f more lost, after" + after);
  });
}

void FaultSequence::report(std::map<std::string, double>& measured) const {
  measured["losses_tolerated"] = lossesTolerated_;
}

}  // namespace merlingauge::test::register_world
