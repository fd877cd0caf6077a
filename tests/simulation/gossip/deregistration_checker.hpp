// deregistration_checker: a server's leaving, once acknowledged, is never forgotten.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "simulation/gossip/fleet.hpp"

namespace merlingauge::test {

class DeregistrationChecker {
 public:
  DeregistrationChecker(const Scenario& scenario, Clock& clock, Fleet& fleet)
      : scenario_(scenario), clock_(clock), fleet_(fleet) {}

  /// The node hears that an instance drains. Once `replicas` other control nodes hold the update,
  /// by their pulls at a control node and by replication requests of any other, it is acknowledged,
  /// and the node is lost for `killMs` (0: it is not lost).
  void drain(SimulatedNode& node, const InstanceId& instance, std::size_t replicas, double killMs);
  /// Nobody who has been up for a while may take an instance for available whose draining was
  /// acknowledged.
  void check() const;
  void report(std::map<std::string, double>& measured) const;

 private:
  void awaitReplicas(SimulatedNode& node, int run, const InstanceId& instance, std::size_t replicas,
                     double killMs);

  void replicate(SimulatedNode& node, int run, const InstanceId& instance, std::size_t replicas,
                 double killMs);
  void acknowledge(SimulatedNode& node, const InstanceId& instance, double killMs);

  const Scenario& scenario_;
  Clock& clock_;
  Fleet& fleet_;
  std::map<InstanceId, double> acknowledgedAtMs_;
};

}  // namespace merlingauge::test
