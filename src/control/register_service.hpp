// register_service.hpp: this node's part in the replicated register.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>

#include "base/time.hpp"
#include "config/config_text_cache.hpp"
#include "consensus/messages.hpp"
#include "consensus/proposer.hpp"
#include "consensus/register_replica.hpp"
#include "consensus/register_value.hpp"
#include "consensus/staleness_bound.hpp"
#include "consensus/voter_set.hpp"
#include "control/acceptor_host.hpp"
#include "control/acceptor_recovery.hpp"
#include "control/proposal_runner.hpp"
#include "control/proposal_timing.hpp"
#include "control/register_observer.hpp"
#include "control/register_service_options.hpp"
#include "control/value_repair.hpp"
#include "control/voter_set_manager.hpp"
#include "event/event_loop.hpp"
#include "rpc/peer_rpc.hpp"
#include "storage/durable_store.hpp"

namespace merlingauge::control {

/// Owns the committed value and the parts that work on it: the acceptor with its recovery and
/// repair (control nodes only), this node's proposals, and the changes of the voter set. Event-loop
/// thread only; all references must outlive it.
class RegisterService final : public consensus::RegisterReplica {
 public:
  /// `store`: null on a node that holds no acceptor. `seed`: for ballots' authors and incarnations;
  /// must differ from run to run.
  RegisterService(event::EventLoop& loop, rpc::PeerRpc& rpc, storage::DurableStore* store,
                  consensus::StalenessBound& stalenessBound, RegisterObserver& observer,
                  RegisterServiceOptions options, std::uint64_t seed);

  /// Answers a peer's request; nothing where this node holds no acceptor or can't use its disk.
  void handleRequest(const consensus::RegisterRequest& request,
                     AcceptorHost::ReplyCallback onReply);
  /// Changes the register; see ProposalRunner.
  void propose(consensus::Proposer::ChangeFunction change, Duration limit,
               ProposalRunner::ResultCallback onResult);
  /// A quorum read; see ProposalRunner.
  void read(Duration limit, ProposalRunner::ResultCallback onResult);
  /// To be called often (each tenth of a second): recovery, repair, abandoned voter changes.
  void tick();
  /// See VoterSetManager::maintain.
  void maintainVoterSet(const consensus::VoterSetView& view);

  // RegisterReplica
  [[nodiscard]] const consensus::RegisterValue& committedValue() const override {
    return committedValue_;
  }
  [[nodiscard]] const std::string& committedValueJson(std::uint64_t receiverTextId) override;
  [[nodiscard]] consensus::RegisterValue decodeValue(const nlohmann::json& encoded) const override;
  void learn(const consensus::RegisterValue& value) override;
  [[nodiscard]] std::optional<TimePoint> ownAcceptedAsOf() const override;

  /// Texts and histories seen lately, to encode and decode messages that rest on them.
  [[nodiscard]] const config::ConfigTextCache& textCache() const { return textCache_; }
  /// This node has an acceptor and is among the committed voters.
  [[nodiscard]] bool isVoter() const;
  /// This node's acceptor may promise and accept.
  [[nodiscard]] bool recovered() const;
  /// The disk refused a write of this node's acceptor, and none has succeeded in its place yet.
  [[nodiscard]] bool storageFailing() const;
  /// A proposal of this node, a voter change or an accepted value awaits its completion: a node
  /// that shuts down finishes it first.
  [[nodiscard]] bool hasPendingWork() const;

 private:
  void adoptVotersOf(const consensus::RegisterValue& accepted);

  event::EventLoop& loop_;
  consensus::StalenessBound& stalenessBound_;
  RegisterObserver& observer_;
  RegisterServiceOptions options_;
  ProposalTiming timing_;
  std::mt19937_64 random_;
  TimePoint startedAt_;
  consensus::RegisterValue committedValue_;
  /// The committed value encoded, by the text id of the receiver; of one sequence only.
  std::map<std::uint64_t, std::string> committedJson_;
  std::uint64_t committedJsonSequence_ = 0;
  config::ConfigTextCache textCache_;
  std::unique_ptr<AcceptorHost> acceptorHost_;          // null without a store
  ProposalRunner runner_;                               // after acceptorHost_, which it refers to
  std::unique_ptr<AcceptorRecovery> acceptorRecovery_;  // null without a store
  std::unique_ptr<ValueRepair> valueRepair_;            // null without a store
  VoterSetManager voterSetManager_;
};

}  // namespace merlingauge::control
