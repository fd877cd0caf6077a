// voter_set_manager.hpp: changes of the voter set, and the completion of those left half done.
#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "consensus/register_replica.hpp"
#include "consensus/voter_set.hpp"
#include "control/proposal_runner.hpp"
#include "control/proposal_timing.hpp"
#include "event/event_loop.hpp"

namespace merlingauge::control {

/// A change of the voter set takes two values of the register. The first names the new voters
/// beside the old ones, and needs a quorum of both; the second names the new ones alone. Each
/// builds on one epoch, so of two managers at most one succeeds. Event-loop thread only; all
/// references must outlive it.
class VoterSetManager {
 public:
  VoterSetManager(event::EventLoop& loop, ProposalRunner& runner,
                  const consensus::RegisterReplica& replica, const ProposalTiming& timing);

  /// Brings the voter set in line with the control nodes that live, one change at a time. For the
  /// node that owns the role only (`consensus::ownsVoterSetRole`).
  void maintain(const consensus::VoterSetView& view);

  /// Finishes a change that its owner seems to have abandoned. To be called often on a voter: the
  /// second value needs no decision, so any voter may write it, in turn.
  void finishAbandonedChange();

 private:
  /// `voters`: the new ones of the first value; empty for the second value.
  void proposeChange(const std::vector<NodeId>& voters);
  void onChangeResult(const consensus::Proposer::Result& result);

  event::EventLoop& loop_;
  ProposalRunner& runner_;
  const consensus::RegisterReplica& replica_;
  const ProposalTiming& timing_;
  bool proposing_ = false;
  std::uint64_t unfinishedEpoch_ = 0;  ///< the epoch last seen with previous voters
  TimePoint unfinishedSince_;          ///< when it was first seen
};

}  // namespace merlingauge::control
