// maintenance: what each machine does at every tick besides calls.
#pragma once

#include "simulation/register/acceptor_service.hpp"
#include "simulation/register/fleet.hpp"
#include "simulation/register/network.hpp"
#include "simulation/register/proposal_runner.hpp"
#include "simulation/register/voter_manager.hpp"

namespace merlingauge::test::register_world {

/// `tick MS`: the interval.
class Maintenance {
 public:
  struct Parts {
    Clock& clock;
    Fleet& fleet;
    Network& network;
    AcceptorService& acceptors;
    ProposalRunner& proposals;
    VoterManager& voters;
  };
  Maintenance(const Scenario& scenario, const Parts& parts);

  /// Ticks now and from now on.
  void tick();

 private:
  void tick(Machine& machine);
  /// An acceptor that lost its disk asks the voters before it votes again.
  void askToRejoin(Machine& machine);
  void sendRejoinRequest(Machine& machine, const NodeId& voter);
  /// A value that a proposer left half done is finished by a read.
  void repair(Machine& machine);

  Parts parts_;
  double intervalMs_;
};

}  // namespace merlingauge::test::register_world
