// explore_world: a model checker over the real Acceptor and Proposer: small scopes, every
// interleaving to a bound of states, told apart by hash, and seeded random walks beyond it. A
// counterexample is shrunk and printed as `do` lines, which this world plays again. Time is only
// the step `timeout`; a lost message is one that is never delivered.
#include <iostream>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "simulation/explorer/counterexample.hpp"
#include "simulation/explorer/exploration.hpp"
#include "simulation/explorer/model.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test {

namespace explorer {
namespace {
/// What is tried, in this order; the first counterexample ends it.
class ExploreWorld {
 public:
  explicit ExploreWorld(const Scenario& scenario)
      : scenario_(scenario), model_(scenario), exploration_(model_) {}

  void play(std::map<std::string, double>& measured) {
    std::string foundBy = "the steps given";
    auto found = replayGivenSteps();
    const auto mostStates = static_cast<std::size_t>(number(scenario_, "states", 0));
    if (!found && mostStates > 0) {
      foundBy = "the search";
      found = exploration_.search(mostStates);
    }
    if (!found) found = walk(foundBy);
    exploration_.report(measured);
    measured["broken"] = found ? 1 : 0;
    measured["steps"] = found ? static_cast<double>(found->steps.size()) : 0;
    if (!found) return;
    std::cout << "broken by " << foundBy << ": " << found->violation << "\n";
    for (const auto& step : found->steps) std::cout << "do " << step << "\n";
  }

 private:
  /// do STEP: a step to take; try STEP: left out where it cannot be taken.
  std::optional<Counterexample> replayGivenSteps() {
    std::vector<std::string> steps;
    std::set<std::size_t> strict;
    for (const auto& line : scenario_.lines) {
      const auto& word = line.words[0];
      if (word != "do" && word != "try") continue;
      if (word == "do") strict.insert(steps.size());
      steps.push_back(line.text.substr(word.size() + 1));
    }
    if (steps.empty()) return std::nullopt;
    const auto state = replay(model_, steps, strict, nullptr);
    exploration_.count(state);
    const auto violation =
        state.violation.empty() ? model_.violationAfterHealing(state) : state.violation;
    if (violation.empty()) return std::nullopt;
    return Counterexample{violation, steps};
  }

  /// walks N LENGTH [FROM]: random walks, seeded by their number.
  std::optional<Counterexample> walk(std::string& foundBy) {
    const auto lines = linesOf(scenario_, "walks");
    if (lines.empty()) return std::nullopt;
    const auto& words = lines[0]->words;
    const auto count = std::stoull(words.at(1));
    const auto length = static_cast<std::size_t>(std::stoull(words.at(2)));
    const auto first = words.size() > 3 ? std::stoull(words[3]) : 1;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
      foundBy = "walk " + std::to_string(seed);
      if (auto found = exploration_.walk(seed, length)) return found;
    }
    return std::nullopt;
  }

  const Scenario& scenario_;
  Model model_;
  Exploration exploration_;
};
}  // namespace
}  // namespace explorer

void playExplore(const Scenario& scenario, std::map<std::string, double>& out) {
  explorer::ExploreWorld(scenario).play(out);
}

}  // namespace merlingauge::test
