// acceptor_host.hpp: runs this node's acceptor and keeps it on disk.
#pragma once

#include <functional>
#include <optional>
#include <random>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "config/config_text_cache.hpp"
#include "consensus/acceptor.hpp"
#include "consensus/messages.hpp"
#include "consensus/staleness_bound.hpp"
#include "control/register_service_options.hpp"
#include "event/event_loop.hpp"
#include "storage/durable_store.hpp"

namespace merlingauge::control {

/// Owns the acceptor of a control node. Invariant (Paxos): no reply leaves before the state that it
/// rests on is synced to disk. Event-loop thread only; the store calls back on that thread. All
/// references must outlive it.
class AcceptorHost {
 public:
  /// `reply`: nothing where this node can't answer, because the disk failed or would.
  using ReplyCallback = std::function<void(std::optional<consensus::RegisterReply> reply)>;

  /// Loads the acceptor from `store` and starts the store. Where the store is empty or corrupt the
  /// acceptor gets a new incarnation and, except on the first start of the deployment, must recover
  /// before it votes.
  AcceptorHost(event::EventLoop& loop, storage::DurableStore& store,
               consensus::StalenessBound& stalenessBound, config::ConfigTextCache& textCache,
               const RegisterServiceOptions& options, std::mt19937_64& random);

  /// Answers a request of any proposer or recovering acceptor, this node's own included.
  void handleRequest(const consensus::RegisterRequest& request, ReplyCallback onReply);

  /// Counts a reply to `Acceptor::rejoinRequest`. Returns true where it ends the recovery; the
  /// recovered state is then handed to the disk.
  bool handleRejoinReply(const NodeId& from, const consensus::RegisterReply& reply,
                         const consensus::RegisterValue& committed);

  [[nodiscard]] const consensus::Acceptor& acceptor() const { return acceptor_; }
  /// False while the acceptor has lost its promises and must neither promise nor accept.
  [[nodiscard]] bool recovered() const { return acceptor_.recovered(); }
  /// The acceptor's state in memory is ahead of the disk because a write failed.
  [[nodiscard]] bool storageFailing() const { return unsaved_; }
  /// When another node last ran a round here; nothing where none ever did.
  [[nodiscard]] std::optional<TimePoint> lastRivalRound() const { return lastRivalRound_; }

 private:
  consensus::Acceptor loadAcceptor(const RegisterServiceOptions& options, std::mt19937_64& random);
  [[nodiscard]] bool exceedsDisk(const consensus::RegisterRequest& request) const;
  void persistThenReply(bool mustSync, const consensus::RegisterReply& reply,
                        ReplyCallback onReply);
  [[nodiscard]] storage::StateRecord persistedRecord() const;

  event::EventLoop& loop_;
  storage::DurableStore& store_;
  consensus::StalenessBound& stalenessBound_;
  config::ConfigTextCache& textCache_;
  NodeId self_;
  consensus::Acceptor acceptor_;
  std::optional<TimePoint> lastRivalRound_;
  bool unsaved_ = false;
};

}  // namespace merlingauge::control
