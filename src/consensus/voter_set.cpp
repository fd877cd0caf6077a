#include "consensus/voter_set.hpp"

#include <algorithm>
#include <utility>

namespace merlingauge::consensus {

namespace {
// With fewer, the loss of one stops every change.
constexpr std::size_t kMinVoters = 3;

bool contains(const std::vector<NodeId>& nodes, const NodeId& node) {
  return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

const ControlNodeView* find(const VoterSetView& view, const NodeId& id) {
  const auto found = std::find_if(view.nodes.begin(), view.nodes.end(),
                                  [&](const ControlNodeView& node) { return node.id == id; });
  return found == view.nodes.end() ? nullptr : &*found;
}

// The voters that are unavailable, the one unresponsive for longest first.
std::vector<ControlNodeView> unavailableVoters(const VoterSetView& view) {
  std::vector<ControlNodeView> unavailable;
  for (const auto& voter : view.voters) {
    const auto* node = find(view, voter);
    if (node == nullptr) {
      ControlNodeView lost;
      lost.id = voter;
      lost.unresponsiveFor = Duration::max();
      unavailable.push_back(lost);
    } else if (node->unavailable()) {
      unavailable.push_back(*node);
    }
  }
  std::stable_sort(unavailable.begin(), unavailable.end(),
                   [](const ControlNodeView& left, const ControlNodeView& right) {
                     return left.unresponsiveFor > right.unresponsiveFor;
                   });
  return unavailable;
}

// Nodes that could vote and don't, sorted. `urgent`: those that were just met are not waited for.
std::vector<NodeId> candidates(const VoterSetView& view, bool urgent) {
  std::vector<NodeId> found;
  for (const auto& node : view.nodes) {
    if (contains(view.voters, node.id) || !node.heardRecently || node.unavailable()) continue;
    if (!urgent && node.knownFor <= kNewNodeSettledAfter) return {};
    if (node.recovered) found.push_back(node.id);
  }
  std::sort(found.begin(), found.end());
  return found;
}

// How many unavailable voters are best removed without a successor: the fewest that bring the
// margin to f, or else as far as it goes.
std::size_t removalsForMargin(std::size_t voters, std::size_t unavailable,
                              std::size_t faultTolerance) {
  std::size_t best = 0;
  for (std::size_t removed = 1;
       removed <= unavailable && voters - removed >= minVoters(faultTolerance); ++removed) {
    const int margin = quorumMargin(voters - best, unavailable - best);
    if (margin >= static_cast<int>(faultTolerance)) break;
    if (quorumMargin(voters - removed, unavailable - removed) > margin) best = removed;
  }
  return best;
}

// The voter set to come, made step by step from that of the view.
class VoterSetPlan {
 public:
  VoterSetPlan(const VoterSetView& view, std::vector<ControlNodeView> toReplace)
      : faultTolerance_(view.faultTolerance),
        voters_(view.voters),
        candidates_(candidates(view, !toReplace.empty())),
        toReplace_(std::move(toReplace)) {}

  void replaceUnavailable() {
    while (!toReplace_.empty() && !candidates_.empty()) {
      removeFirstUnavailable();
      voters_.push_back(candidates_.front());
      candidates_.erase(candidates_.begin());
    }
  }

  // An even set bears no more losses than one with a voter less: the last candidate stays a spare,
  // to replace the next voter that is lost.
  void addCandidates() {
    std::size_t added = candidates_.size();
    const std::size_t size = voters_.size() + added;
    if (added > 0 && size > minVoters(faultTolerance_) && size % 2 == 0) --added;
    voters_.insert(voters_.end(), candidates_.begin(),
                   candidates_.begin() + static_cast<std::ptrdiff_t>(added));
  }

  void removeForMargin() {
    remove(removalsForMargin(voters_.size(), toReplace_.size(), faultTolerance_));
  }

  // Again so that no even set is left.
  void removeLost() {
    const auto isLost = [](const ControlNodeView& voter) {
      return voter.unresponsiveFor > kVoterLostAfter;
    };
    auto lost =
        static_cast<std::size_t>(std::count_if(toReplace_.begin(), toReplace_.end(), isLost));
    const std::size_t fewest = minVoters(faultTolerance_);
    lost = std::min(lost, voters_.size() > fewest ? voters_.size() - fewest : 0);
    if (lost > 0 && (voters_.size() - lost) % 2 == 0) --lost;
    remove(lost);
  }

  [[nodiscard]] const std::vector<NodeId>& voters() const { return voters_; }

 private:
  void remove(std::size_t count) {
    for (; count > 0; --count) removeFirstUnavailable();
  }
  void removeFirstUnavailable() {
    std::erase(voters_, toReplace_.front().id);
    toReplace_.erase(toReplace_.begin());
  }

  std::size_t faultTolerance_;
  std::vector<NodeId> voters_;
  std::vector<NodeId> candidates_;          // may be added yet
  std::vector<ControlNodeView> toReplace_;  // of `voters_`, the one unresponsive for longest first
};
}  // namespace

std::size_t minVoters(std::size_t faultTolerance) {
  return std::max(kMinVoters, 2 * faultTolerance + 1);
}

int quorumMargin(std::size_t voters, std::size_t unavailable) {
  const std::size_t majority = voters / 2 + 1;
  return static_cast<int>(voters) - static_cast<int>(unavailable) - static_cast<int>(majority);
}

int quorumMargin(const VoterSetView& view) {
  return quorumMargin(view.voters.size(), unavailableVoters(view).size());
}

std::optional<std::vector<NodeId>> nextVoterSet(const VoterSetView& view) {
  auto toReplace = unavailableVoters(view);
  const int margin = quorumMargin(view.voters.size(), toReplace.size());
  // With margin to spare, one that shuts down is waited for: a restart is over before it is missed.
  if (margin >= static_cast<int>(view.faultTolerance)) {
    std::erase_if(toReplace, [](const ControlNodeView& voter) {
      return voter.unresponsiveFor <= kVoterUnresponsiveAfter;
    });
  }
  VoterSetPlan plan(view, std::move(toReplace));
  plan.replaceUnavailable();
  plan.addCandidates();
  plan.removeForMargin();
  plan.removeLost();
  auto next = plan.voters();
  if (next == view.voters) return std::nullopt;
  std::sort(next.begin(), next.end());
  return next;
}

bool ownsVoterSetRole(const VoterSetView& view, const NodeId& self) {
  for (const auto& voter : view.voters) {
    if (voter == self) return true;
    const auto* node = find(view, voter);
    if (node != nullptr && node->heardRecently && !node->unavailable()) return false;
  }
  return true;
}

}  // namespace merlingauge::consensus
