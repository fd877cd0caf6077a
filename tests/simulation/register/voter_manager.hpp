// voter_manager: each machine keeps the voters by its own view of the others, right or wrong.
#pragma once

#include <functional>
#include <vector>

#include "consensus/voter_set.hpp"
#include "simulation/register/fleet.hpp"
#include "simulation/register/network.hpp"
#include "simulation/register/proposal_runner.hpp"

namespace merlingauge::test::register_world {

class VoterManager {
 public:
  VoterManager(Clock& clock, Fleet& fleet, Network& network, ProposalRunner& proposals,
               PlantedFault fault)
      : clock_(clock), fleet_(fleet), network_(network), proposals_(proposals), fault_(fault) {}

  /// Heartbeats among all machines, from now on, with the newest chosen value that each one knows.
  void sendHeartbeats();
  /// One look at the voters; the machine stops here where it leaves and is not needed any more.
  void tick(Machine& machine);

 private:
  struct Heartbeat {
    NodeId from;
    bool recovered = false;
    bool leaving = false;
    consensus::RegisterValue known;
  };
  using Voters = std::vector<NodeId>;

  void handleHeartbeat(Machine& machine, const Heartbeat& heartbeat);
  [[nodiscard]] consensus::VoterSetView viewOf(const Machine& machine) const;
  [[nodiscard]] consensus::ControlNodeView viewOfNode(const Machine& machine,
                                                      const NodeId& id) const;
  [[nodiscard]] bool mayStop(const Machine& machine, const std::optional<Voters>& next) const;
  void finishChange(Machine& machine);
  /// With no voters: finishes the change that is half done.
  void propose(Machine& machine, const Voters& voters);

  Clock& clock_;
  Fleet& fleet_;
  Network& network_;
  ProposalRunner& proposals_;
  PlantedFault fault_;
};

}  // namespace merlingauge::test::register_world
