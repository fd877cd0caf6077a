#include "simulation/explorer/counterexample.hpp"

#include <algorithm>
#include <span>
#include <utility>

namespace merlingauge::test::explorer {

namespace {
const std::string kTimeout = "timeout ";
/// Violations that begin alike are of one kind.
constexpr std::size_t kKindLength = 12;

bool takeStep(const Model& model, State& state, const std::string& text) {
  for (const auto& step : model.steps().stepsOf(state)) {
    if (model.steps().textOf(state, step) != text) continue;
    model.take(state, step);
    return true;
  }
  return false;
}

/// Without a time-out, the later rounds of its proposer have lower numbers.
void lowerLaterRounds(std::vector<std::string>& steps, std::size_t place) {
  if (!steps[place].starts_with(kTimeout)) return;
  const auto proposer = " " + steps[place].substr(kTimeout.size()) + ".";
  for (auto& step : std::span(steps).subspan(place + 1)) {
    const auto found = step.find(proposer);
    if (found == std::string::npos) continue;
    const auto digits = found + proposer.size();
    const auto end = step.find(' ', digits);
    const int round = std::stoi(step.substr(digits, end - digits));
    step.replace(digits, end - digits, std::to_string(std::max(round - 1, 1)));
  }
}

/// Leaves out `count` steps from `place` on.
std::vector<std::string> without(std::vector<std::string> steps, std::size_t place,
                                 std::size_t count) {
  const auto end = std::min(place + count, steps.size());
  if (count == 1) lowerLaterRounds(steps, place);
  steps.erase(steps.begin() + static_cast<std::ptrdiff_t>(place),
              steps.begin() + static_cast<std::ptrdiff_t>(end));
  return steps;
}

class Shrinker {
 public:
  Shrinker(const Model& model, const std::string& violation)
      : model_(model), kind_(violation.substr(0, kKindLength)) {}

  /// One pass over the run with pieces of the size. Returns whether a piece could be left out.
  bool leaveOutPieces(std::vector<std::string>& steps, std::size_t size) const {
    bool shorter = false;
    for (std::size_t place = 0; place < steps.size();) {
      std::vector<std::string> taken;
      if (violates(without(steps, place, size), taken) && taken.size() < steps.size()) {
        steps = std::move(taken);
        shorter = true;
      } else {
        place += size;
      }
    }
    return shorter;
  }

 private:
  bool violates(const std::vector<std::string>& steps, std::vector<std::string>& taken) const {
    const auto state = replay(model_, steps, {}, &taken);
    const auto violation =
        state.violation.empty() ? model_.violationAfterHealing(state) : state.violation;
    return violation.substr(0, kKindLength) == kind_;
  }

  const Model& model_;
  std::string kind_;
};
}  // namespace

State replay(const Model& model, const std::vector<std::string>& steps,
             const std::set<std::size_t>& strict, std::vector<std::string>* taken) {
  State state = model.initial();
  for (std::size_t i = 0; i < steps.size() && state.violation.empty(); ++i) {
    const bool isTaken = takeStep(model, state, steps[i]);
    require(isTaken || !strict.contains(i), "a step that can't be taken: " + steps[i]);
    if (isTaken && taken != nullptr) taken->push_back(steps[i]);
  }
  return state;
}

Counterexample shrink(const Model& model, Counterexample found) {
  const Shrinker shrinker(model, found.violation);
  std::size_t size = std::max<std::size_t>(found.steps.size() / 2, 1);
  while (true) {
    const bool shorter = shrinker.leaveOutPieces(found.steps, size);
    if (shorter) continue;
    if (size == 1) return found;
    size /= 2;
  }
}

}  // namespace merlingauge::test::explorer
