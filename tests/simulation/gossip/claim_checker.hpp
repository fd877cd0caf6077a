// claim_checker: holds what nodes claim of their knowledge and leases against what is so.
#pragma once

#include <map>
#include <set>
#include <string>

#include "simulation/gossip/simulated_register.hpp"

namespace merlingauge::test {

/// A control node without a quorum must lose its lease in time; no node may claim to know values
/// that it does not; and whoever is linked to the quorum must learn of a change soon.
class ClaimChecker {
 public:
  ClaimChecker(const Scenario& scenario, Clock& clock, const Fleet& fleet,
               const SimulatedNetwork& network, const SimulatedRegister& replicatedRegister)
      : scenario_(scenario),
        clock_(clock),
        fleet_(fleet),
        network_(network),
        register_(replicatedRegister) {}

  void check();
  /// Partitions last until then: claims are calm again only well after it.
  void disturbUntil(double atMs) { disturbedUntilMs_ = atMs; }
  void report(std::map<std::string, double>& measured) const;

 private:
  struct NodeState {
    double linkedSinceMs = 0;    ///< to all control nodes of the quorum, and up
    double inQuorumSinceMs = 0;  ///< a control node
    double outOfQuorumSinceMs = -1;
    int run = 0;
    bool wasUpToDate = false;  ///< within the run
  };
  void checkLease(const SimulatedNode& node, NodeState& state, bool inQuorum);
  void checkStaleness(const SimulatedNode& node, bool linked);
  void checkJoin(const SimulatedNode& node, NodeState& state);
  void checkLateness(const SimulatedNode& node, const NodeState& state);
  [[nodiscard]] bool isCalm() const;

  const Scenario& scenario_;
  Clock& clock_;
  const Fleet& fleet_;
  const SimulatedNetwork& network_;
  const SimulatedRegister& register_;
  std::map<NodeId, NodeState> states_;
  double disturbedUntilMs_ = -1e9;  ///< before every scenario
  double falseClaims_ = 0;
  double falseLeases_ = 0;
  double late_ = 0;
  double calmLosses_ = 0;
  double slowestChangeMs_ = 0;
  double slowestLossMs_ = 0;
  double slowestRegainMs_ = 0;
  double slowestJoinMs_ = 0;
  double calmContactAgeMs_ = 0;
  double calmStalenessMs_ = 0;
};

}  // namespace merlingauge::test
