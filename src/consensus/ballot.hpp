// ballot.hpp: the number under which a proposer runs its two phases.
#pragma once

#include <compare>
#include <cstdint>

#include "base/ids.hpp"

namespace merlingauge::consensus {

/// Ballots are totally ordered, by number first. Two proposals never share one, not even two of one
/// node or across its restarts: `author` is the node's id with a random number drawn for each
/// proposal (CASPaxos: ballots are unique to a proposer).
struct Ballot {
  std::uint64_t number = 0;  ///< 0: no ballot
  NodeId author;
  auto operator<=>(const Ballot&) const = default;
};

}  // namespace merlingauge::consensus
