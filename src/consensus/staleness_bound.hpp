// staleness_bound.hpp: up to which time this node is known to know everything that was committed.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "consensus/register_value.hpp"

namespace merlingauge::consensus {

/// Keeps the time up to which everything committed is known here, and the time of the last contact
/// with a quorum of the voters. All times are of this node's own monotonic clock: what others tell
/// of theirs comes as durations, so neither clock skew nor message delay makes a bound newer than
/// it is. It reads no clock itself. docs/register.md ("How current a node is") has the argument.
class StalenessBound {
 public:
  /// Before everything, and far enough from both ends of the range to be subtracted.
  static constexpr TimePoint kNever = TimePoint(Duration::min() / 4);

  /// This node's own acceptor holds, as of `at`, an accepted value of that sequence.
  void onAccepted(std::uint64_t sequence, TimePoint at);
  /// Values up to that sequence are known to be committed, or overtaken by one that is.
  void onLearned(std::uint64_t sequence);
  /// Everything that this node's own acceptor had accepted by this time is covered by what is known
  /// here. Never after `now`.
  [[nodiscard]] TimePoint ownAsOf(TimePoint now) const;

  /// The same of another voter, whose known value is known here as well.
  void onVoterContact(const NodeId& voter, TimePoint asOf);
  /// A peer knew everything that was committed by `asOf`, and has handed it on.
  void onPeerBound(TimePoint asOf) { peerBound_ = std::max(peerBound_, asOf); }
  /// A read that began then has found what is committed: a quorum has promised its ballot.
  void onQuorumRead(TimePoint began) { quorumRead_ = std::max(quorumRead_, began); }

  /// The last time of contact with a quorum: with majorities of every set of voters that `known`,
  /// the newest value known here, names. `ownAsOf`: what counts for `self` where that one votes;
  /// nothing where its acceptor has not recovered.
  [[nodiscard]] TimePoint quorumContact(const RegisterValue& known, const NodeId& self,
                                        const std::optional<TimePoint>& ownAsOf) const;
  /// Everything committed before this time is known here. `quorumContact`: as above.
  [[nodiscard]] TimePoint knownUpTo(TimePoint quorumContact) const {
    return std::max(quorumContact, peerBound_);
  }

 private:
  struct AcceptedAhead {
    std::uint64_t sequence;
    TimePoint since;
  };
  [[nodiscard]] TimePoint majorityContact(const std::vector<NodeId>& voters, const NodeId& self,
                                          const std::optional<TimePoint>& ownAsOf) const;

  /// Accepted here and not known to be committed, with the first time of each. Sequences rise, all
  /// above `knownSequence_`: one under a lower sequence, by a higher ballot, shows that those above
  /// it were not committed and never will be (CASPaxos: one committed value a sequence).
  std::vector<AcceptedAhead> acceptedAhead_;
  /// The sequence of the newest value known to be committed. Only rises.
  std::uint64_t knownSequence_ = 0;
  /// By voter, the newest time up to which what it accepted is covered here. Each only rises: what
  /// a voter had accepted by a time never becomes more.
  std::map<NodeId, TimePoint> voterContacts_;
  TimePoint peerBound_ = kNever;   ///< only rises
  TimePoint quorumRead_ = kNever;  ///< only rises
};

}  // namespace merlingauge::consensus
