// instance_traffic: server instances that send heartbeats to control nodes.
#pragma once

#include <cstddef>
#include <cstdint>

#include "simulation/gossip/fleet.hpp"

namespace merlingauge::test {

class InstanceTraffic {
 public:
  InstanceTraffic(const Scenario& scenario, Clock& clock, Fleet& fleet)
      : scenario_(scenario), clock_(clock), fleet_(fleet) {}

  /// So many instances send heartbeats from now on.
  void start(int instances);

 private:
  /// One heartbeat: to one control node until that fails, then at once to another.
  void sendHeartbeat(int instance, std::size_t controlNode, std::uint64_t sequence);

  const Scenario& scenario_;
  Clock& clock_;
  Fleet& fleet_;
};

}  // namespace merlingauge::test
