// operators: random calls, and operators that send each change until its answer is clear.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "simulation/register/config_client.hpp"
#include "simulation/register/fleet.hpp"
#include "simulation/register/proposal_runner.hpp"

namespace merlingauge::test::register_world {

/// `random calls N`: reads and changes at random times. `operator CHANGES WIDTH LOST`: so many
/// changes, `width` of them under way at once; of the answers the share LOST never arrives.
class Operators {
 public:
  Operators(const Scenario& scenario, Clock& clock, Fleet& fleet, ProposalRunner& proposals,
            ConfigClient& client)
      : scenario_(scenario), clock_(clock), fleet_(fleet), proposals_(proposals), client_(client) {}

  /// Random calls come within so many milliseconds.
  void start(double withinMs);
  /// No more changes begin; all are sent once more, one after the other, in calm.
  void repeatAll();
  void report(std::map<std::string, double>& measured) const;

 private:
  void callAtRandom();
  void beginChange();
  void send(const SentChange& change, int attempt);
  void handleAnswer(const SentChange& change, int attempt, const Call* call);
  [[nodiscard]] double countRepeated(Call::Outcome outcome) const;

  const Scenario& scenario_;
  Clock& clock_;
  Fleet& fleet_;
  ProposalRunner& proposals_;
  ConfigClient& client_;
  int changesLeft_ = 0;
  double lostAnswers_ = 0;
  std::int64_t newestSeen_ = 0;
  std::vector<SentChange> sent_;
  std::vector<CallPtr> repeated_;
};

}  // namespace merlingauge::test::register_world
