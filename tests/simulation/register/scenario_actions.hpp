// scenario_actions: what the `at MS WHAT ...` and `every MS WHAT ...` lines of a scenario do.
#pragma once

#include <string>
#include <vector>

#include "simulation/register/config_client.hpp"
#include "simulation/register/fault_sequence.hpp"
#include "simulation/register/fleet.hpp"
#include "simulation/register/network.hpp"
#include "simulation/register/proposal_runner.hpp"

namespace merlingauge::test::register_world {

/// The arguments of each action stand at its function.
class ScenarioActions {
 public:
  struct Parts {
    Clock& clock;
    Fleet& fleet;
    Network& network;
    ProposalRunner& proposals;
    ConfigClient& client;
    FaultSequence& faults;
    PlantedFault plantedFault;
  };
  explicit ScenarioActions(const Parts& parts) : parts_(parts) {}

  /// `every` lines recur until the given time.
  void schedule(const Scenario& scenario, double untilMs);

 private:
  using Words = std::vector<std::string>;
  using Action = void (ScenarioActions::*)(const Words&);
  static Action actionOf(const std::string& name);
  void scheduleOnce(double atMs, const Words& words);
  [[nodiscard]] Machine& machineOf(const Words& words) const;

  /// put NODE BASE REVISION [NAME]: a change; with a name, one that may be sent more than once
  void put(const Words& words);
  /// previous_format: all disks hold the state as the version of the program before wrote it
  void previousFormat(const Words& words);
  /// read NODE
  void read(const Words& words);
  /// kill NODE MS, power_loss NODE MS: down for so long
  void kill(const Words& words);
  /// lose_disk NODE MS: down for so long, and its disk is lost
  void loseDisk(const Words& words);
  /// snapshot NODE: a snapshot of its disk
  void snapshot(const Words& words);
  /// restore NODE MS: down for so long, and its disk is restored from the snapshot
  void restore(const Words& words);
  /// hang NODE MS: its disk answers nothing for so long
  void hang(const Words& words);
  /// full NODE MS
  void full(const Words& words);
  /// freeze NODE MS: the whole machine
  void freeze(const Words& words);
  /// cut NODE MS: from all others
  void cut(const Words& words);
  /// voters NODE n1 n2 ...
  void voters(const Words& words);
  /// remove NODE: for good
  void remove(const Words& words);
  /// start NODE: one that was never started
  void start(const Words& words);
  /// leave NODE MS: for so long; 0: for good
  void leave(const Words& words);
  /// tolerate COUNT MS: so many are frozen, and a change must be acknowledged
  void tolerate(const Words& words);

  Parts parts_;
};

}  // namespace merlingauge::test::register_world
