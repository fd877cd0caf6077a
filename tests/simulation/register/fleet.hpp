// fleet: the machines with their starts and stops, and how long they take to catch up.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "simulation/register/machine.hpp"
#include "simulation/register/planted_fault.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test::register_world {

/// `nodes N` machines n1.., of which the first `running N` start at once, and of these the first
/// `voters N` vote. `tolerance F`: the voters are managed automatically, for F lost at once.
class Fleet {
 public:
  Fleet(const Scenario& scenario, Clock& clock, PlantedFault fault);

  [[nodiscard]] const std::vector<std::unique_ptr<Machine>>& machines() const { return machines_; }
  [[nodiscard]] Machine& at(const std::string& name) const;
  [[nodiscard]] bool managesVoters() const { return tolerance_ > 0; }
  [[nodiscard]] std::size_t tolerance() const { return tolerance_; }

  void boot(Machine& machine);
  /// As by SIGKILL; the disk is lost too where `loseDisk`.
  void stop(Machine& machine, bool loseDisk, double downForMs);
  /// Stops once its vote is not needed any more; see VoterManager.
  void leave(Machine& machine, double awayForMs);
  /// All disks work again, nothing is frozen, and what has a disk runs.
  void heal();

  /// A machine that is up, by chance.
  Machine& pickRunning();
  /// Those that are up and not leaving, in random order.
  std::vector<Machine*> shuffledRunning();
  /// One that was never started; null where there is none left.
  Machine* takeUnused();

  /// A value was acknowledged: machines that boot later have to catch up with it.
  void setAcknowledged(std::uint64_t sequence);
  void watchCatchUp(Machine& machine);
  void report(std::map<std::string, double>& measured) const;

 private:
  [[nodiscard]] std::size_t mostIncarnationsKept() const;

  Clock& clock_;
  PlantedFault fault_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<NodeId> firstVoters_;
  std::size_t tolerance_ = 0;
  int started_ = 0;  ///< machines from this place on were never started
  std::uint64_t acknowledgedSequence_ = 0;
  double boots_ = 0;
  double slowestCatchUpMs_ = 0;
};

/// A machine that is stopped for this long or longer never comes back.
constexpr double kForGoodMs = 1e8;

}  // namespace merlingauge::test::register_world
