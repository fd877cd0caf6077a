// voters: which core machines are to vote, as one of them sees it. A pure function; whoever holds
// the duty proposes its answer as a change of the register that names the epoch it builds on, so a
// wrong view costs a change too many at worst. docs/register.md has the invariant.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace merlingauge::consensus {

constexpr Duration kVoterUnresponsiveAfter =
    std::chrono::milliseconds(2500);  // the longest hang and a little
constexpr Duration kVoterLostAfter = std::chrono::seconds(10);
constexpr Duration kNewNodeSettledAfter = std::chrono::seconds(1);

// One core machine as another sees it.
struct ControlNodeView {
  NodeId id;
  Duration silentFor{};        // since its last sign of life, or since there could have been one
  Duration knownFor{};         // since it was first known of
  bool heardRecently = false;  // there was a sign of life within kVoterGone
  bool recovered = false;      // it says that it has read what a voter must hold
  bool shuttingDown = false;   // it has been told to stop
  // Lost for now: it can't be counted on for a majority.
  [[nodiscard]] bool unavailable() const {
    return shuttingDown || silentFor > kVoterUnresponsiveAfter;
  }
};

struct VoterSetView {
  std::vector<NodeId> voters;
  std::vector<ControlNodeView> nodes;  // all core machines; a voter that is missing here is lost
  std::size_t faultTolerance = 0;      // machines that may be lost at once (f)
};

// Never fewer voters than this by a removal: what was acknowledged must outlive f wiped disks.
[[nodiscard]] std::size_t minVoters(std::size_t tolerance);
// How many more may be lost while the rest are a majority; below 0 there is none.
[[nodiscard]] int quorumMargin(std::size_t voters, std::size_t gone);
[[nodiscard]] int quorumMargin(const VoterSetView& view);
// The voters to come, sorted, or nothing where they are as good as the machines allow.
[[nodiscard]] std::optional<std::vector<NodeId>> nextVoterSet(const VoterSetView& view);
// Does the duty of keeping the voters fall to `self`? To the first voter that isn't gone, in the
// order of names; to a machine that doesn't vote only where no voter is left.
[[nodiscard]] bool ownsVoterSetRole(const VoterSetView& view, const NodeId& self);

}  // namespace merlingauge::consensus
