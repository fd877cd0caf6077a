// value_repair.hpp: finishes values that were accepted here but never reported as committed.
#pragma once

#include <optional>

#include "base/time.hpp"
#include "consensus/register_replica.hpp"
#include "control/acceptor_host.hpp"
#include "control/proposal_runner.hpp"
#include "control/proposal_timing.hpp"
#include "event/event_loop.hpp"

namespace merlingauge::control {

/// A proposer that died between its two rounds leaves a value that may or may not be committed. A
/// read settles it: Paxos makes a reader finish what it finds accepted. Event-loop thread only; all
/// references must outlive it.
class ValueRepair {
 public:
  ValueRepair(event::EventLoop& loop, ProposalRunner& runner,
              const consensus::RegisterReplica& replica, const AcceptorHost& acceptorHost,
              const ProposalTiming& timing);

  /// To be called often while the acceptor is recovered.
  void tick();

 private:
  [[nodiscard]] bool acceptorIsAhead() const;
  [[nodiscard]] bool rivalIsActive(TimePoint now) const;
  void startRead();

  event::EventLoop& loop_;
  ProposalRunner& runner_;
  const consensus::RegisterReplica& replica_;
  const AcceptorHost& acceptorHost_;
  const ProposalTiming& timing_;
  /// Since when the accepted value has been newer than the committed one, or since the last read.
  std::optional<TimePoint> aheadSince_;
  bool reading_ = false;
  Duration backoff_{};  ///< extra wait; grows with each read that reached no quorum
};

}  // namespace merlingauge::control
