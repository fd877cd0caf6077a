#include "consensus/voter_set.hpp"

#include <algorithm>

namespace merlingauge::consensus {

namespace {
constexpr std::size_t kFewestVoters = 3;

bool contains(const std::vector<NodeId>& nodes, const NodeId& node) {
  return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

const ControlNodeView* find(const VoterSetView& view, const NodeId& node) {
  const auto it = std::find_if(view.nodes.begin(), view.nodes.end(),
                               [&](const ControlNodeView& machine) { return machine.id == node; });
  return it == view.nodes.end() ? nullptr : &*it;
}

// The voters that are gone, the one silent longest first.
std::vector<ControlNodeView> goneOf(const VoterSetView& view) {
  std::vector<ControlNodeView> out;
  for (const auto& voter : view.voters) {
    const auto* machine = find(view, voter);
    if (machine == nullptr) {
      ControlNodeView lost;
      lost.id = voter;
      lost.silentFor = Duration::max();
      out.push_back(lost);
    } else if (machine->unavailable()) {
      out.push_back(*machine);
    }
  }
  std::stable_sort(out.begin(), out.end(), [](const ControlNodeView& a, const ControlNodeView& b) {
    return a.silentFor > b.silentFor;
  });
  return out;
}

// Machines that could vote and don't. Where none of the voters is gone there is time to let those
// that are just arriving come in together.
std::vector<NodeId> newcomersOf(const VoterSetView& view, bool hurry) {
  std::vector<NodeId> out;
  for (const auto& machine : view.nodes) {
    if (contains(view.voters, machine.id) || !machine.heardRecently || machine.unavailable())
      continue;
    if (!hurry && machine.knownFor <= kNewNodeSettledAfter) return {};
    if (machine.recovered) out.push_back(machine.id);
  }
  std::sort(out.begin(), out.end());
  return out;
}

// How many of the `gone` are best taken out with nobody in their place: the fewest that bring the
// margin to f, or else as far as it goes.
std::size_t surplus(std::size_t voters, std::size_t gone, std::size_t tolerance) {
  std::size_t best = 0;
  for (std::size_t out = 1; out <= gone && voters - out >= minVoters(tolerance); ++out) {
    const int margin = quorumMargin(voters - best, gone - best);
    if (margin >= static_cast<int>(tolerance)) break;
    if (quorumMargin(voters - out, gone - out) > margin) best = out;
  }
  return best;
}
}  // namespace

std::size_t minVoters(std::size_t tolerance) { return std::max(kFewestVoters, 2 * tolerance + 1); }

int quorumMargin(std::size_t voters, std::size_t gone) {
  return static_cast<int>(voters) - static_cast<int>(gone) - static_cast<int>(voters / 2 + 1);
}

int quorumMargin(const VoterSetView& view) {
  return quorumMargin(view.voters.size(), goneOf(view).size());
}

std::optional<std::vector<NodeId>> nextVoterSet(const VoterSetView& view) {
  auto gone = goneOf(view);
  const std::size_t fewest = minVoters(view.faultTolerance);
  const bool scarce =
      quorumMargin(view.voters.size(), gone.size()) < static_cast<int>(view.faultTolerance);
  // One that only starts again is back before it is missed, where there is margin.
  if (!scarce) {
    std::erase_if(gone, [](const ControlNodeView& voter) {
      return voter.silentFor <= kVoterUnresponsiveAfter;
    });
  }
  auto newcomers = newcomersOf(view, !gone.empty());
  auto next = view.voters;
  const auto takeOut = [&next, &gone] {
    std::erase(next, gone.front().id);
    gone.erase(gone.begin());
  };
  // Each that is gone is exchanged for one that is there.
  while (!gone.empty() && !newcomers.empty()) {
    takeOut();
    next.push_back(newcomers.front());
    newcomers.erase(newcomers.begin());
  }
  // What is left of either kind. An even set bears no more than one with a voter less: the last
  // newcomer stays a spare, to be exchanged for the next that is lost.
  std::size_t added = newcomers.size();
  if (added > 0 && next.size() + added > fewest && (next.size() + added) % 2 == 0) --added;
  next.insert(next.end(), newcomers.begin(),
              newcomers.begin() + static_cast<std::ptrdiff_t>(added));
  for (std::size_t n = surplus(next.size(), gone.size(), view.faultTolerance); n > 0; --n)
    takeOut();
  // The long lost are taken out as well, again so that no even set is left.
  auto lost = static_cast<std::size_t>(std::count_if(
      gone.begin(), gone.end(),
      [](const ControlNodeView& voter) { return voter.silentFor > kVoterLostAfter; }));
  lost = std::min(lost, next.size() > fewest ? next.size() - fewest : 0);
  if (lost > 0 && (next.size() - lost) % 2 == 0) --lost;
  for (; lost > 0; --lost) takeOut();
  if (next == view.voters) return std::nullopt;
  std::sort(next.begin(), next.end());
  return next;
}

bool ownsVoterSetRole(const VoterSetView& view, const NodeId& self) {
  for (const auto& voter : view.voters) {
    if (voter == self) return true;
    const auto* machine = find(view, voter);
    if (machine != nullptr && machine->heardRecently && !machine->unavailable()) return false;
  }
  return true;
}

}  // namespace merlingauge::consensus
