// gossip_world: gossip among many nodes on a simulated network. How long does an update take to
// reach everybody, through kills, partitions and restarts, and at what cost in bytes between zones?
// With `voters N` the configuration comes out of a real register at the first N control nodes, and
// what nodes claim is held against it: what they know, and whether they have a quorum.
#include "simulation/gossip/claim_checker.hpp"
#include "simulation/gossip/deregistration_checker.hpp"
#include "simulation/gossip/fleet.hpp"
#include "simulation/gossip/instance_traffic.hpp"
#include "simulation/gossip/scenario_actions.hpp"
#include "simulation/gossip/simulated_network.hpp"
#include "simulation/gossip/simulated_register.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test {

namespace {
constexpr double kTickMs = 100;

class GossipWorld {
 public:
  GossipWorld(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario),
        clock_(seed),
        network_(scenario, clock_),
        fleet_(scenario, clock_, network_),
        register_(clock_, fleet_, network_),
        claims_(scenario, clock_, fleet_, network_, register_),
        deregistrations_(scenario, clock_, fleet_),
        traffic_(scenario, clock_, fleet_),
        actions_({clock_, fleet_, network_, register_, claims_, deregistrations_, traffic_}) {
    fleet_.startAll();
  }

  void play(std::map<std::string, double>& measured) {
    actions_.schedule(scenario_);
    tick();
    clock_.runUntil(number(scenario_, "length", 20000));
    fleet_.requireConverged();
    fleet_.report(measured);
    network_.report(measured);
    claims_.report(measured);
    deregistrations_.report(measured);
    actions_.report(measured);
  }

 private:
  void tick() {
    fleet_.tick();
    if (!fleet_.voters().empty()) {
      register_.repairAll();
      claims_.check();
    }
    deregistrations_.check();
    clock_.after(kTickMs, [this] { tick(); });
  }

  const Scenario& scenario_;
  Clock clock_;
  SimulatedNetwork network_;
  Fleet fleet_;
  SimulatedRegister register_;
  ClaimChecker claims_;
  DeregistrationChecker deregistrations_;
  InstanceTraffic traffic_;
  ScenarioActions actions_;
};
}  // namespace

void playNews(const Scenario& scenario, std::uint64_t seed, std::map<std::string, double>& out) {
  GossipWorld(scenario, seed).play(out);
}

}  // namespace merlingauge::test
