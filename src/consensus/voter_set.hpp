// voter_set.hpp: which control nodes are to vote, as one of them sees it.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace merlingauge::consensus {

/// A voter that was not heard for so long is unavailable: a long poll is held for 2 s at most, and
/// its answer needs a little.
constexpr Duration kVoterUnresponsiveAfter = std::chrono::milliseconds(2500);
/// One that was not heard for so long is given up: removed without a successor, where the set stays
/// large enough. A node that restarts is back by then.
constexpr Duration kVoterLostAfter = std::chrono::seconds(10);
/// While every voter is available, nodes that were met more recently are waited for, so that those
/// that start together are added by one change.
constexpr Duration kNewNodeSettledAfter = std::chrono::seconds(1);

/// One control node as another sees it.
struct ControlNodeView {
  NodeId id;
  Duration unresponsiveFor{};  ///< since it was last heard, or since it could first have been
  Duration knownFor{};         ///< since it was first known of
  bool heardRecently = false;  ///< within kVoterUnresponsiveAfter
  bool recovered = false;      ///< says that its acceptor may vote
  bool shuttingDown = false;   ///< says that it shuts down
  /// Can't be counted on for a quorum.
  [[nodiscard]] bool unavailable() const {
    return shuttingDown || unresponsiveFor > kVoterUnresponsiveAfter;
  }
};

/// All that the decision depends on. It may be wrong, and another node may see something else: a
/// change of voters names the epoch that it builds on, so a wrong view costs a change too many and
/// never a committed value.
struct VoterSetView {
  std::vector<NodeId> voters;  ///< in the order of their ids
  /// All control nodes that are known; a voter that is missing here is lost.
  std::vector<ControlNodeView> nodes;
  std::size_t faultTolerance = 0;  ///< nodes that may be lost at once (f)
};

/// 2f + 1, and 3 at least. No removal goes below it: then a committed value is on f + 1 disks at
/// least, and outlives f that are lost.
[[nodiscard]] std::size_t minVoters(std::size_t faultTolerance);
/// How many more voters may be lost while the rest are a majority; below 0: there is none now.
[[nodiscard]] int quorumMargin(std::size_t voters, std::size_t unavailable);
[[nodiscard]] int quorumMargin(const VoterSetView& view);
/// The voters to come, sorted; nothing where they are as good as the nodes allow. A pure function;
/// docs/register.md has the rules and the invariant that they keep.
[[nodiscard]] std::optional<std::vector<NodeId>> nextVoterSet(const VoterSetView& view);
/// Whether maintaining the voter set falls to `self`: it does to the first voter that is available;
/// to a node that does not vote only where no voter is left.
[[nodiscard]] bool ownsVoterSetRole(const VoterSetView& view, const NodeId& self);

}  // namespace merlingauge::consensus
