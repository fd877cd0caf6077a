// acceptor_recovery.hpp: brings an acceptor that lost its promises back to voting.
#pragma once

#include <optional>
#include <set>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "config/config_text.hpp"
#include "config/config_text_cache.hpp"
#include "consensus/register_replica.hpp"
#include "control/acceptor_host.hpp"
#include "event/event_loop.hpp"
#include "rpc/peer_rpc.hpp"

namespace merlingauge::control {

/// Asks the other voters for their state until the acceptor has a quorum of them (crash-consistent
/// quorums, docs/register.md). Event-loop thread only; all references must outlive it.
class AcceptorRecovery {
 public:
  AcceptorRecovery(event::EventLoop& loop, rpc::PeerRpc& rpc,
                   const consensus::RegisterReplica& replica, AcceptorHost& acceptorHost,
                   config::ConfigTextCache& textCache, NodeId self);

  /// To be called often while the acceptor is not recovered; asks again now and then.
  void tick();

 private:
  [[nodiscard]] std::set<NodeId> otherVoters() const;
  void ask(const NodeId& voter, const consensus::RegisterRequest& request,
           const config::ConfigText::Ptr& heldText);
  void handleReply(const NodeId& from, const std::optional<nlohmann::json>& response,
                   const config::ConfigText::Ptr& heldText);

  event::EventLoop& loop_;
  rpc::PeerRpc& rpc_;
  const consensus::RegisterReplica& replica_;
  AcceptorHost& acceptorHost_;
  config::ConfigTextCache& textCache_;
  NodeId self_;
  TimePoint nextAttemptAt_;
  /// Voters whose reply is pending. A reply may carry a large text: no second one meanwhile.
  std::set<NodeId> pendingVoters_;
};

}  // namespace merlingauge::control
