// fault_sequence: random faults one after the other, never more at once than the voters tolerate.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "simulation/register/config_client.hpp"
#include "simulation/register/fleet.hpp"
#include "simulation/register/network.hpp"
#include "simulation/register/quorum_checker.hpp"

namespace merlingauge::test::register_world {

/// `fault_rounds N`: so many rounds of faults. `catch_up MS`: the time after each to recover in,
/// before the register has to tolerate the loss of as many machines again as it tolerates.
class FaultSequence {
 public:
  FaultSequence(const Scenario& scenario, Clock& clock, Fleet& fleet, Network& network,
                ConfigClient& client, QuorumChecker& checker);

  void start(int rounds);
  /// So many machines more are frozen, and a change must be acknowledged meanwhile.
  void requireTolerates(std::size_t count, double forMs, const std::string& after);
  void report(std::map<std::string, double>& measured) const;

 private:
  /// What is planned for one machine. Times are in milliseconds from now.
  struct PlannedFault {
    std::string what;
    double overAtMs = 0;  ///< when the machine, or its successor, is back
  };
  void beginRound(int roundsLeft);
  PlannedFault planFault(Machine& machine);
  PlannedFault replaceUnplanned(Machine& machine, Machine& successor, double atMs);
  PlannedFault replacePlanned(Machine& machine, Machine& successor, double atMs);
  PlannedFault loseDisk(Machine& machine, double atMs);
  PlannedFault restart(Machine& machine, double atMs);
  PlannedFault freeze(Machine& machine, double atMs);
  PlannedFault cut(Machine& machine, double atMs);

  Clock& clock_;
  Fleet& fleet_;
  Network& network_;
  ConfigClient& client_;
  QuorumChecker& checker_;
  double catchUpMs_;
  int lossesTolerated_ = 0;
};

}  // namespace merlingauge::test::register_world
