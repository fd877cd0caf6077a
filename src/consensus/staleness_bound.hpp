// evidence: up to which moment this node is known to know everything that was chosen, and when it
// last was in touch with a majority of the voters. It rests on the steady clock of this node alone:
// moments of others come as spans. No clock of its own. docs/register.md has the argument.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "consensus/register_value.hpp"

namespace merlingauge::consensus {

class StalenessBound {
 public:
  // Before everything, and far enough from both ends to be subtracted.
  static constexpr TimePoint kNever = TimePoint(Duration::min() / 4);

  // What this node's own voter holds as accepted, since then, is of that sequence.
  void onAccepted(std::uint64_t sequence, TimePoint at);
  // Values up to that sequence are known to be chosen, or overtaken by one that is.
  void onLearned(std::uint64_t sequence);
  // All that this node's own voter had accepted by then is covered by what is known here.
  [[nodiscard]] TimePoint ownAsOf(TimePoint now) const;

  // The same of another voter, whose known value is known here as well.
  void onVoterContact(const NodeId& node, TimePoint asOf);
  // A neighbour knew by then all that was chosen, and has handed it on.
  void onPeerBound(TimePoint asOf) { peerBound_ = std::max(peerBound_, asOf); }
  // A read that began then has found what is chosen: majorities have promised it.
  void onQuorumRead(TimePoint began) { quorumRead_ = std::max(quorumRead_, began); }

  // The last contact with majorities of every set of voters named in the newest value known.
  // `self` is the moment for this node where it votes itself.
  [[nodiscard]] TimePoint quorumContact(const RegisterValue& known, const NodeId& self,
                                        const std::optional<TimePoint>& own) const;
  // All that was chosen before that moment is known here. `quorum`: as above.
  [[nodiscard]] TimePoint knownUpTo(TimePoint quorum) const { return std::max(quorum, peerBound_); }

 private:
  struct AcceptedAhead {
    std::uint64_t sequence;
    TimePoint since;
  };
  std::vector<AcceptedAhead>
      acceptedAhead_;  // accepted, not known: rising, the first moment of each; few
  std::uint64_t knownSequence_ = 0;
  std::map<NodeId, TimePoint> voterContacts_;
  TimePoint peerBound_ = kNever;
  TimePoint quorumRead_ = kNever;
};

}  // namespace merlingauge::consensus
