// council: this node's part in the register: it answers as a voter, climbs for changes and reads,
// wakes a voter that lost its disk, finishes what others left half done, and keeps the voters.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "consensus/register.hpp"
#include "consensus/staleness_bound.hpp"
#include "consensus/voter_set.hpp"
#include "event/event_loop.hpp"
#include "node/settings.hpp"
#include "rpc/peer_rpc.hpp"
#include "storage/durable_store.hpp"

namespace merlingauge::control {

class RegisterService {
 public:
  struct Dependencies {
    event::EventLoop& loop;
    rpc::PeerRpc& rpc;
    const node::Settings& settings;
    storage::DurableStore* store;  // null: this node holds no state
    consensus::StalenessBound& stalenessBound;
    std::function<void(const consensus::RegisterValue&)> onCommitted;
    std::function<void(const std::string&)> log;
  };
  using ProposalCallback = std::function<void(const consensus::Proposer::Result&)>;

  RegisterService(Dependencies parts, std::uint64_t seed);

  void handleRequest(const consensus::RegisterRequest& ask,
                     std::function<void(std::optional<consensus::RegisterReply>)> answer);
  void propose(consensus::Proposer::ChangeFunction change, Duration limit, ProposalCallback told);
  // A chosen value, from wherever.
  void learn(const consensus::RegisterValue& value);
  void tick();
  // Duty of the first live voter: brings the voters in line with the core machines that live.
  void maintainVoterSet(const consensus::VoterSetView& view);
  // Is there anything here that only this node can bring to its end?
  [[nodiscard]] bool hasPendingWork() const;

  [[nodiscard]] const consensus::RegisterValue& committedValue() const { return committedValue_; }
  // The same as JSON for a reader that has the text `has`; made once.
  [[nodiscard]] const std::string& committedValueJson(std::uint64_t has);
  [[nodiscard]] std::uint64_t textId() const;
  [[nodiscard]] const config::ConfigTextCache& textCache() const { return textCache_; }
  [[nodiscard]] bool isVoter() const {
    return acceptor_ && committedValue_.isVoter(dependencies_.settings.nodeId);
  }
  [[nodiscard]] bool recovered() const { return acceptor_ && acceptor_->recovered(); }
  [[nodiscard]] bool storageFailing() const { return unsaved_; }
  // Up to when all that the voter here has accepted is known; none where no voter is awake.
  [[nodiscard]] std::optional<TimePoint> ownAcceptedAsOf() const;

 private:
  struct Proposal;
  void sendRequests(const std::shared_ptr<Proposal>& climb,
                    const std::vector<consensus::Proposer::OutgoingRequest>& sends);
  void finishProposal(const std::shared_ptr<Proposal>& climb);
  void rejoin();
  void repair();
  void finishVoterChange();
  void changeVoters(const std::vector<NodeId>& voters);
  [[nodiscard]] Duration turn() const;
  consensus::RegisterValue basis() const;
  [[nodiscard]] Duration roundTimeout() const;
  [[nodiscard]] Duration ownProposalTimeout() const;

  Dependencies dependencies_;
  std::mt19937_64 random_;
  TimePoint startedAt_;
  std::optional<consensus::Acceptor> acceptor_;
  consensus::RegisterValue committedValue_;
  std::map<std::uint64_t, std::string> committedJson_;
  config::ConfigTextCache textCache_;
  std::uint64_t committedJsonSequence_ = 0;
  TimePoint rivalSeenAt_;  // when another node's round last came by
  bool unsaved_ = false;   // the state in memory is ahead of the disk
  bool repairing_ = false;
  Duration repairPause_{};  // longer after each read that reached no majority
  bool changingVoters_ = false;
  int activeProposals_ = 0;
  TimePoint halfSince_;  // a change of voters has been seen half done since
  std::uint64_t halfEpoch_ = 0;
  std::optional<TimePoint> aheadSince_;
  TimePoint rejoinAt_;
  std::set<NodeId> rejoinAsked_;  // who has not answered yet
};

}  // namespace merlingauge::control
