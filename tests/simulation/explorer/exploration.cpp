#include "simulation/explorer/exploration.hpp"

#include <cmath>
#include <random>
#include <unordered_set>

namespace merlingauge::test::explorer {

namespace {
/// Speeds that are drawn once for each class of steps: 1, 1/8, 1/64 or 1/512.
class StepSpeeds {
 public:
  explicit StepSpeeds(std::mt19937_64& random) : random_(random) {}

  double of(std::uint64_t stepClass) {
    const auto [found, isNew] = speeds_.emplace(stepClass, 0);
    if (isNew) {
      const auto draw = static_cast<double>(random_() % kSpeeds);
      found->second = std::pow(kRatio, draw - (kSpeeds - 1));
    }
    return found->second;
  }

 private:
  static constexpr int kSpeeds = 4;
  static constexpr double kRatio = 8;
  std::mt19937_64& random_;
  std::map<std::uint64_t, double> speeds_;
};
}  // namespace

std::optional<Counterexample> Exploration::search(std::size_t mostStates) {
  origins_.assign(1, Origin{});
  states_ = 1;
  std::unordered_set<std::uint64_t> hashes{model_.initial().hash()};
  std::vector<Reached> level;
  level.push_back({0, model_.initial()});
  for (depth_ = 0; !level.empty(); ++depth_) {
    std::vector<Reached> nextLevel;
    for (auto& [index, state] : level) {
      const auto steps = model_.steps().stepsOf(state);
      for (std::uint32_t i = 0; i < steps.size(); ++i) {
        State after = state;
        model_.take(after, steps[i]);
        ++searchSteps_;
        if (!after.violation.empty()) return counterexampleOf(after.violation, {index, i});
        if (!hashes.insert(after.hash()).second) continue;
        if (origins_.size() >= mostStates) return std::nullopt;
        origins_.push_back({index, i});
        states_ = origins_.size();
        count(after);
        const auto afterIndex = static_cast<std::uint32_t>(origins_.size() - 1);
        nextLevel.push_back({afterIndex, std::move(after)});
      }
      state = State();  // frees its memory early
    }
    level = std::move(nextLevel);
  }
  complete_ = true;
  return std::nullopt;
}

Counterexample Exploration::counterexampleOf(const std::string& violation, Origin last) const {
  std::vector<std::uint32_t> path{last.step};
  for (auto index = last.parent; index != 0; index = origins_[index].parent) {
    path.push_back(origins_[index].step);
  }
  return {violation, model_.textsOf({path.rbegin(), path.rend()})};
}

std::optional<Counterexample> Exploration::walk(std::uint64_t seed, std::size_t length) {
  std::mt19937_64 random(seed);
  StepSpeeds speeds(random);
  State state = model_.initial();
  std::vector<std::uint32_t> path;
  model_.stopHashing();
  for (std::size_t i = 0; i < length && state.violation.empty(); ++i) {
    const auto steps = model_.steps().stepsOf(state);
    if (steps.empty()) break;
    std::vector<double> weights;
    for (const auto& step : steps) weights.push_back(speeds.of(StepLister::classOf(state, step)));
    std::discrete_distribution<std::uint32_t> draw(weights.begin(), weights.end());
    path.push_back(draw(random));
    model_.take(state, steps[path.back()]);
    ++walkSteps_;
  }
  auto violation = state.violation;
  if (violation.empty()) {
    count(state);
    violation = model_.violationAfterHealing(state);
  }
  if (violation.empty()) return std::nullopt;
  return shrink(model_, {violation, model_.textsOf(path)});
}

void Exploration::count(const State& state) {
  acknowledged_ += state.history->acknowledged.empty() ? 0 : 1;
  rejected_ += state.history->rejected.empty() ? 0 : 1;
}

void Exploration::report(std::map<std::string, double>& measured) const {
  measured["states"] = static_cast<double>(states_);
  measured["depth"] = static_cast<double>(depth_);
  measured["complete"] = complete_ ? 1 : 0;
  measured["search_steps"] = static_cast<double>(searchSteps_);
  measured["walk_steps"] = static_cast<double>(walkSteps_);
  measured["acked"] = static_cast<double>(acknowledged_);
  measured["rejected"] = static_cast<double>(rejected_);
}

}  // namespace merlingauge::test::explorer
