// evidence: up to which moment this node is known to know everything that was chosen, and when it
// last was in touch with a majority of the voters. It rests on the steady clock of this node alone:
// moments of others come as spans. No clock of its own. docs/register.md has the argument.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "units.hpp"
#include "version/register.hpp"

namespace merlin::cairn {

class Evidence {
 public:
  // Before everything, and far enough from both ends to be subtracted.
  static constexpr Instant kNever = Instant(Span::min() / 4);

  // What this node's own voter holds as accepted, since then, is of that sequence.
  void accepted(std::uint64_t sequence, Instant at);
  // Values up to that sequence are known to be chosen, or overtaken by one that is.
  void learned(std::uint64_t sequence);
  // All that this node's own voter had accepted by then is covered by what is known here.
  [[nodiscard]] Instant own(Instant now) const;

  // The same of another voter, whose known value is known here as well.
  void voter(const NodeId& node, Instant asOf);
  // A neighbour knew by then all that was chosen, and has handed it on.
  void neighbour(Instant asOf) { chain_ = std::max(chain_, asOf); }
  // A read that began then has found what is chosen: majorities have promised it.
  void read(Instant began) { read_ = std::max(read_, began); }

  // The last contact with majorities of every set of voters named in the newest value known.
  // `self` is the moment for this node where it votes itself.
  [[nodiscard]] Instant quorum(const Value& known, const NodeId& self,
                               const std::optional<Instant>& own) const;
  // All that was chosen before that moment is known here. `quorum`: as above.
  [[nodiscard]] Instant knownUpTo(Instant quorum) const { return std::max(quorum, chain_); }

 private:
  struct Ahead {
    std::uint64_t sequence;
    Instant since;
  };
  std::vector<Ahead> ahead_;  // accepted, not known: rising, the first moment of each; few
  std::uint64_t known_ = 0;
  std::map<NodeId, Instant> voters_;
  Instant chain_ = kNever;
  Instant read_ = kNever;
};

}  // namespace merlin::cairn
