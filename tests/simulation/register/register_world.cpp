// register_world: the register under faults: voters with disks, proposers that may die, a network
// that delays and loses. The history of calls is checked against one order of changes.
#include "simulation/register/acceptor_service.hpp"
#include "simulation/register/config_client.hpp"
#include "simulation/register/fault_sequence.hpp"
#include "simulation/register/fleet.hpp"
#include "simulation/register/history_checker.hpp"
#include "simulation/register/maintenance.hpp"
#include "simulation/register/network.hpp"
#include "simulation/register/operators.hpp"
#include "simulation/register/proposal_runner.hpp"
#include "simulation/register/quorum_checker.hpp"
#include "simulation/register/scenario_actions.hpp"
#include "simulation/register/voter_manager.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test {

namespace register_world {
namespace {
/// Faults and random calls come in this share of the run; the rest is for catching up.
constexpr double kBusyShare = 0.8;
/// After everything has healed, in milliseconds: for calls under way, and for the last read.
constexpr double kSettleMs = 3000;

class RegisterWorld {
 public:
  RegisterWorld(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario),
        plantedFault_(plantedFaultOf(scenario)),
        clock_(seed),
        fleet_(scenario, clock_, plantedFault_),
        network_(scenario, clock_, fleet_),
        quorums_(clock_, fleet_),
        acceptors_(clock_, fleet_, quorums_, plantedFault_),
        proposals_(scenario, clock_, fleet_, network_, acceptors_),
        client_(scenario, proposals_, plantedFault_),
        operators_(scenario, clock_, fleet_, proposals_, client_),
        voters_(clock_, fleet_, network_, proposals_, plantedFault_),
        maintenance_(scenario, {clock_, fleet_, network_, acceptors_, proposals_, voters_}),
        faults_(scenario, clock_, fleet_, network_, client_, quorums_),
        actions_({clock_, fleet_, network_, proposals_, client_, faults_, plantedFault_}) {}

  void play(std::map<std::string, double>& measured) {
    const double lengthMs = number(scenario_, "length", 6000);
    actions_.schedule(scenario_, lengthMs * kBusyShare);
    operators_.start(lengthMs * kBusyShare);
    for (const auto* line : linesOf(scenario_, "fault_rounds")) {
      faults_.start(std::stoi(line->words.at(1)));
    }
    maintenance_.tick();
    if (fleet_.managesVoters()) voters_.sendHeartbeats();
    clock_.runUntil(lengthMs);
    const auto lastRead = readAfterHealing(lengthMs);
    measured["broken"] = isBroken() ? 1 : 0;
    measured["voters"] = static_cast<double>(lastRead->seen.voters.size());
    measured["epoch"] = static_cast<double>(lastRead->seen.epoch);
    fleet_.report(measured);
    proposals_.report(measured);
    operators_.report(measured);
    faults_.report(measured);
    history_.report(measured);
  }

 private:
  /// Everything heals, all changes are sent once more, and a last read must show it all.
  CallPtr readAfterHealing(double lengthMs) {
    fleet_.heal();
    network_.heal();
    clock_.runUntil(lengthMs + kSettleMs);
    operators_.repeatAll();
    auto read = proposals_.read(fleet_.pickRunning());
    clock_.runUntil(clock_.ms() + kSettleMs);
    require(read->outcome == Call::Outcome::acknowledged,
            "the register can't be read after everything has healed");
    return read;
  }

  /// Throws where a check finds a violation. Under a planted fault the checks themselves are under
  /// test: they must see what a broken register does.
  bool isBroken() {
    try {
      quorums_.requireNoProblem();
      history_.check(proposals_.calls());
    } catch (const Broken&) {
      if (plantedFault_ == PlantedFault::none) throw;
      return true;
    }
    return false;
  }

  const Scenario& scenario_;
  PlantedFault plantedFault_;
  Clock clock_;
  Fleet fleet_;
  Network network_;
  QuorumChecker quorums_;
  AcceptorService acceptors_;
  ProposalRunner proposals_;
  ConfigClient client_;
  Operators operators_;
  VoterManager voters_;
  Maintenance maintenance_;
  FaultSequence faults_;
  ScenarioActions actions_;
  HistoryChecker history_;
};
}  // namespace
}  // namespace register_world

void playRegister(const Scenario& scenario, std::uint64_t seed,
                  std::map<std::string, double>& out) {
  register_world::RegisterWorld(scenario, seed).play(out);
}

}  // namespace merlingauge::test
