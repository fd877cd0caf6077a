// acceptor_service: the voter's side of a call, with its disk.
#pragma once

#include <functional>
#include <string>

#include "consensus/messages.hpp"
#include "simulation/register/fleet.hpp"
#include "simulation/register/quorum_checker.hpp"

namespace merlingauge::test::register_world {

class AcceptorService {
 public:
  using ReplyHandler = std::function<void(consensus::RegisterReply)>;

  AcceptorService(Clock& clock, const Fleet& fleet, QuorumChecker& checker, PlantedFault fault)
      : clock_(clock), fleet_(fleet), checker_(checker), fault_(fault) {}

  /// Handles a request, given as its JSON text. The reply waits for the sync of the state that it
  /// rests on; there is none where the process stops or the disk is full before that.
  void handle(Machine& machine, const std::string& request, ReplyHandler onReply);

 private:
  Clock& clock_;
  const Fleet& fleet_;
  QuorumChecker& checker_;
  PlantedFault fault_;
};

}  // namespace merlingauge::test::register_world
