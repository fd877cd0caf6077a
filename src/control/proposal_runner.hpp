// proposal_runner.hpp: runs this node's proposals against the voters until each has its result.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "base/time.hpp"
#include "config/config_text_cache.hpp"
#include "consensus/messages.hpp"
#include "consensus/proposer.hpp"
#include "consensus/register_replica.hpp"
#include "consensus/staleness_bound.hpp"
#include "control/acceptor_host.hpp"
#include "control/proposal_timing.hpp"
#include "event/event_loop.hpp"
#include "rpc/peer_rpc.hpp"

namespace merlingauge::control {

/// Carries the requests of each proposer to the voters, its replies back, and wakes it when a round
/// times out. A value that a proposal reads or writes is learned by the replica before the caller
/// hears of it. Event-loop thread only; all references must outlive it.
class ProposalRunner {
 public:
  using ResultCallback = std::function<void(const consensus::Proposer::Result& result)>;

  /// `localAcceptor`: null where this node holds no acceptor.
  ProposalRunner(event::EventLoop& loop, rpc::PeerRpc& rpc, consensus::RegisterReplica& replica,
                 AcceptorHost* localAcceptor, consensus::StalenessBound& stalenessBound,
                 config::ConfigTextCache& textCache, NodeId self, const ProposalTiming& timing,
                 std::mt19937_64& random);

  /// Changes the register. `onResult` is called exactly once, within `limit` or a timer
  /// turn of it; before this function returns where no voter is known.
  void propose(consensus::Proposer::ChangeFunction change, Duration limit, ResultCallback onResult);

  /// Reads the register: a proposal that keeps the current value, and commits it where that was
  /// open. `onResult` as above.
  void read(Duration limit, ResultCallback onResult);

  /// Proposals that have no result yet.
  [[nodiscard]] int activeProposals() const { return activeProposals_; }

 private:
  struct Proposal;
  using ProposalPtr = std::shared_ptr<Proposal>;

  [[nodiscard]] consensus::RegisterValue proposalBasis() const;
  void sendRequests(const ProposalPtr& proposal,
                    const std::vector<consensus::Proposer::OutgoingRequest>& requests);
  void sendToPeer(const ProposalPtr& proposal,
                  const consensus::Proposer::OutgoingRequest& outgoing);
  void handleReply(const ProposalPtr& proposal, const NodeId& from, std::uint64_t round,
                   const consensus::RegisterReply& reply);
  void finishOrWait(const ProposalPtr& proposal);
  void finish(const ProposalPtr& proposal, const consensus::Proposer::Result& result);

  event::EventLoop& loop_;
  rpc::PeerRpc& rpc_;
  consensus::RegisterReplica& replica_;
  AcceptorHost* localAcceptor_;
  consensus::StalenessBound& stalenessBound_;
  config::ConfigTextCache& textCache_;
  NodeId self_;
  const ProposalTiming& timing_;
  std::mt19937_64& random_;
  int activeProposals_ = 0;
};

}  // namespace merlingauge::control
