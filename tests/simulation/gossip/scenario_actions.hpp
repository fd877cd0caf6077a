// scenario_actions: what the `at MS WHAT ...` lines of a gossip scenario do.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "simulation/gossip/claim_checker.hpp"
#include "simulation/gossip/deregistration_checker.hpp"
#include "simulation/gossip/fleet.hpp"
#include "simulation/gossip/instance_traffic.hpp"
#include "simulation/gossip/simulated_network.hpp"
#include "simulation/gossip/simulated_register.hpp"

namespace merlingauge::test {

/// The arguments of each action stand at its function.
class ScenarioActions {
 public:
  struct Parts {
    Clock& clock;
    Fleet& fleet;
    SimulatedNetwork& network;
    SimulatedRegister& replicatedRegister;
    ClaimChecker& claims;
    DeregistrationChecker& deregistrations;
    InstanceTraffic& traffic;
  };
  explicit ScenarioActions(const Parts& parts) : parts_(parts) {}

  /// Schedules all `at` lines.
  void schedule(const Scenario& scenario);
  void report(std::map<std::string, double>& measured) const;

 private:
  using Words = std::vector<std::string>;
  using Action = void (ScenarioActions::*)(const Words&);
  static Action actionOf(const std::string& name);

  /// value NODE SEQUENCE [BYTES]: a node learns a newly chosen value
  void value(const Words& words);
  /// server NODE ID available|draining|gone: a server's own message to a node
  void server(const Words& words);
  /// servers COUNT: so many send heartbeats from now on
  void servers(const Words& words);
  /// kill MS NODE ...: restarted after the time
  void kill(const Words& words);
  /// gone NODE: killed for good
  void gone(const Words& words);
  /// cut MS A B: no message passes between A and B, or between A and all control nodes (`cores`)
  void cut(const Words& words);
  /// cutoff MS both|out|in CORE ...: from the control nodes that are not named
  void cutOff(const Words& words);
  /// leave NODE ID REPLICAS KILL-MS: see DeregistrationChecker::drain
  void leave(const Words& words);
  /// change NODE: an operator's, sent there first
  void change(const Words& words);
  /// join NODE SEED ...
  void join(const Words& words);
  /// forget NODE ID: an item is lost from one registry, as by a fault
  void forget(const Words& words);

  [[nodiscard]] std::vector<SimulatedNetwork::NodePair> pairsOf(const std::string& node,
                                                                const std::string& others) const;

  Parts parts_;
  std::uint64_t updates_ = 0;
};

}  // namespace merlingauge::test
