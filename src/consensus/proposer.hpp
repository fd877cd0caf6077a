// proposer.hpp: one change or one read of the register.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/errors.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "config/change_history.hpp"
#include "config/config_text.hpp"
#include "config/config_text_cache.hpp"
#include "consensus/ballot.hpp"
#include "consensus/messages.hpp"

namespace merlingauge::consensus {

/// Runs the prepare and the accept phase at a quorum of acceptors (CASPaxos), again under a higher
/// ballot where another proposer is in the way, until the outcome is known or the time is up. It
/// touches no clock, socket or disk: its owner hands in replies and the time, and sends the
/// requests that each call returns. docs/register.md has the argument why it is safe.
class Proposer {
 public:
  /// How long acceptors may take to answer where nothing large is sent: a round trip and a write to
  /// disk, with room. Grows with each round in which too few answered.
  static constexpr Duration kRoundTimeout = std::chrono::milliseconds(200);

  /// What becomes of the current value.
  struct Decision {
    enum class Kind : std::uint8_t {
      write,   ///< the next value replaces it
      keep,    ///< it stays; the proposal succeeds (a read, or a change made before)
      reject,  ///< it stays; the proposal fails with `error` and `detail`
    };
    Kind kind = Kind::keep;
    ErrorKind error = ErrorKind::versionConflict;
    std::string detail;
  };
  /// Decides on the value that the prepare phase read; `next` starts as a copy of it. Called once a
  /// round, so it must depend on nothing but its arguments.
  using ChangeFunction = std::function<Decision(const RegisterValue& current, RegisterValue& next)>;

  struct OutgoingRequest {
    NodeId recipient;
    RegisterRequest request;
    std::uint64_t round = 0;  ///< to be handed back with the reply
    ReceiverState receiver;   ///< what the recipient has of the request's value, for its encoding
  };

  struct Result {
    bool succeeded = false;
    ErrorKind error = ErrorKind::noQuorum;  ///< where it did not succeed
    std::string detail;                     ///< of a rejection
    /// The committed value that the register now holds. Nothing where too few acceptors answered in
    /// time: then the change may have been made or not. Set whenever `succeeded`.
    std::optional<RegisterValue> value;
  };

  /// `basis`: the newest committed value that the node knows. `seed` makes the ballots unique, so
  /// it must be drawn anew for each proposal. `roundTimeout`: see kRoundTimeout.
  Proposer(NodeId self, RegisterValue basis, ChangeFunction change, std::uint64_t seed,
           Duration roundTimeout = kRoundTimeout);

  std::vector<OutgoingRequest> start(TimePoint now, Duration limit);
  /// `round`: that of the request. A reply to an earlier round changes nothing.
  std::vector<OutgoingRequest> handleReply(const NodeId& from, std::uint64_t round,
                                           const RegisterReply& reply, TimePoint now);
  std::vector<OutgoingRequest> tick(TimePoint now);
  /// Set once the outcome is known, or known to stay unknown.
  [[nodiscard]] const std::optional<Result>& result() const { return result_; }
  /// When `tick` is to be called next.
  [[nodiscard]] TimePoint nextWakeUp() const { return std::min(roundDeadline_, deadline_); }
  /// A text and a history at hand besides those of the basis, so that acceptors need not send them.
  void offerCached(const config::ConfigText::Ptr& text, const config::ChangeHistory::Ptr& history) {
    cachedText_ = text;
    cachedHistory_ = history;
  }
  /// Adds to the cache what acceptors were told is at hand: their replies rest on it.
  void addTextsTo(config::ConfigTextCache& textCache) const;
  /// For diagnostics: everything that decides what it does next, but times and texts.
  [[nodiscard]] nlohmann::json debugState() const;

 private:
  enum class Phase : std::uint8_t {
    prepare,    // collecting promises
    fetchText,  // a quorum has promised; the text of the value read is on its way
    accept,     // collecting acceptances
    backOff,    // rejected: waiting before the next round
  };

  std::vector<OutgoingRequest> startRound(TimePoint now);
  std::vector<OutgoingRequest> prepareRemaining();
  std::vector<OutgoingRequest> backOff(TimePoint now);
  std::vector<OutgoingRequest> handlePromise(const NodeId& from, const RegisterReply& reply,
                                             TimePoint now);
  std::vector<OutgoingRequest> handleFetchedText(const RegisterReply& reply, TimePoint now);
  void handleAcceptance(const NodeId& from, const RegisterReply& reply);
  std::vector<OutgoingRequest> fetchText(TimePoint now);
  std::vector<OutgoingRequest> onPromiseQuorum(TimePoint now);
  void decide();
  std::vector<OutgoingRequest> startAcceptPhase(TimePoint now);
  void succeedWithNextValue();
  void learnIncarnations(const RegisterReply& reply);
  void adoptBestValue(const NodeId& from, const RegisterReply& reply);
  [[nodiscard]] bool allPromisesShowBestValue() const;
  [[nodiscard]] std::uint64_t ownTextId() const;
  [[nodiscard]] const config::ChangeHistory::Ptr& ownHistory() const {
    return basis_.history ? basis_.history : cachedHistory_;
  }
  [[nodiscard]] std::uint64_t historyIdAt(const NodeId& acceptor) const;
  [[nodiscard]] ReceiverState receiverStateAt(const NodeId& acceptor) const;

  // For the whole proposal.
  NodeId self_;
  /// The author of all its ballots: no two proposals share one (Ballot).
  NodeId author_;
  /// A committed value. So every quorum of promises shows it or a later one (Paxos, phase 1b).
  RegisterValue basis_;
  ChangeFunction change_;
  config::ConfigText::Ptr cachedText_;
  config::ChangeHistory::Ptr cachedHistory_;
  std::uint64_t random_;  // state of the pause's random numbers
  Duration roundTimeout_;
  TimePoint deadline_;
  TimePoint roundDeadline_;
  /// Rises with every round and every phase within one: a promise that comes late must not count as
  /// an acceptance.
  std::uint64_t round_ = 0;
  /// The highest ballot number seen or used: the next ballot is above it.
  std::uint64_t highestBallotNumber_ = 0;
  int rejections_ = 0;
  /// The newest incarnation that any reply has told of. Kept from round to round, and only rises:
  /// replies of an older one do not count (crash-consistent quorum).
  IncarnationMap incarnations_;
  /// Which history an acceptor last said that it has.
  std::map<NodeId, std::uint64_t> historyIds_;
  /// In one accept phase, acceptors that have not answered were taken to have the history read.
  /// Only once: one that has another can't decode the value, does not answer, and then gets it
  /// whole.
  bool historyAssumedOnce_ = false;
  std::optional<Result> result_;

  // For one round.
  Phase phase_ = Phase::prepare;
  Ballot ballot_;
  std::set<NodeId> asked_;  // to promise `ballot_`
  /// Phase 1b: the replies of this round that promise `ballot_`, each of an incarnation that is not
  /// known to be superseded.
  std::map<NodeId, RegisterReply> promises_;
  /// Phase 2b: the incarnations that accepted `nextValue_` under `ballot_`, none of them known to
  /// be superseded.
  std::map<NodeId, Incarnation> acceptances_;
  /// The value accepted under the highest ballot that a promise shows, and that ballot and acceptor
  /// (phase 1b: the only value that may have been committed last). Else the basis, ballot 0.
  RegisterValue bestValue_;
  Ballot bestBallot_;
  NodeId bestFrom_;
  /// `bestValue_` at a quorum of promises, and what the change makes of it; the quorums of phase 2b
  /// count for the voters of both.
  RegisterValue currentValue_;
  RegisterValue nextValue_;
  Decision decision_;
};

}  // namespace merlingauge::consensus
