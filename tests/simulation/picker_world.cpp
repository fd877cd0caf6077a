// picker_world: a bank of FIFO queues under one picker: the paper's own experiment, made small.
#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "proxy/d_adaptive_picker.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test {

using proxy::DAdaptivePicker;
using proxy::QueueSample;

namespace {

constexpr double kMsPerSecond = 1000;
// Lengths 0 to 11 are counted apart; longer queues count as 11.
constexpr std::size_t kLengths = 12;

/// Power law with P(S > x) = x^-beta, x >= 1.
double powerLaw(std::mt19937_64& random, double beta) {
  const double uniform = std::uniform_real_distribution<double>(1e-12, 1.0)(random);
  return std::pow(uniform, -1.0 / beta);
}

struct BankOptions {
  explicit BankOptions(const Scenario& scenario)
      : queues(static_cast<std::size_t>(number(scenario, "queues", 100))),
        arrivals(static_cast<int>(number(scenario, "arrivals", 60000))),
        beta(number(scenario, "beta", 1.5)),
        load(number(scenario, "load", 0.6)) {}
  std::size_t queues;
  int arrivals;
  double beta;  ///< of the power law of service times, in seconds
  double load;  ///< share of the time in which a queue is served
};

/// Poisson arrivals at queues that are each served one job at a time, first in first out.
class QueueBank {
 public:
  QueueBank(const BankOptions& options, std::uint64_t seed)
      : options_(options), clock_(seed), queues_(options.queues) {}

  /// Lets one more job arrive, and puts it where `picker` says. Returns how many queues it read.
  std::size_t arrive(DAdaptivePicker& picker) {
    const double meanServiceTime = options_.beta / (options_.beta - 1);
    const double rate = options_.load * static_cast<double>(queues_.size()) / meanServiceTime;
    arrivalMs_ += std::exponential_distribution<double>(rate)(clock_.random) * kMsPerSecond;
    clock_.runUntil(arrivalMs_);
    const auto picked = picker.pick(lengths());
    auto& queue = queues_[picked.index];
    queue.push_back(powerLaw(clock_.random, options_.beta));
    if (queue.size() == 1) serve(picked.index);
    return picked.samples;
  }

  /// Counts, for each length, the queues that are at least so long.
  void countAtLeast(std::array<double, kLengths>& counts) const {
    constexpr std::size_t kStride = 7;  // of queues looked at: a sample, for time's sake
    for (std::size_t index = 0; index < queues_.size(); index += kStride) {
      const std::size_t longest = std::min(queues_[index].size(), kLengths - 1);
      for (std::size_t length = 0; length <= longest; ++length) ++counts.at(length);
    }
  }

 private:
  [[nodiscard]] std::vector<QueueSample> lengths() const {
    std::vector<QueueSample> samples;
    samples.reserve(queues_.size());
    for (const auto& queue : queues_) samples.push_back({static_cast<double>(queue.size())});
    return samples;
  }

  void serve(std::size_t index) {
    clock_.after(queues_[index].front() * kMsPerSecond, [this, index] {
      queues_[index].pop_front();
      if (!queues_[index].empty()) serve(index);
    });
  }

  BankOptions options_;
  Clock clock_;
  double arrivalMs_ = 0;
  std::vector<std::deque<double>> queues_;  // service times in seconds
};

using Measured = std::map<std::string, double>;

/// Measures `rule`: PREFIX_pK, the share of queues of length K or more; PREFIX_few, the share of
/// picks that read at most three queues; PREFIX_wrong, picks that read an impossible number.
void measureRule(const BankOptions& options, std::uint64_t seed, const std::string& prefix,
                 proxy::SampleRule rule, Measured& out) {
  QueueBank bank(options, seed);
  DAdaptivePicker picker(seed * 7 + 1, std::move(rule));
  std::array<double, kLengths> atLeast{};
  double few = 0;
  double wrong = 0;
  for (int arrival = 0; arrival < options.arrivals; ++arrival) {
    const std::size_t samples = bank.arrive(picker);
    few += samples <= 3 ? 1 : 0;
    wrong += samples < 1 || samples > options.queues ? 1 : 0;
    const bool steady = arrival >= options.arrivals / 5;  // the queues start empty
    if (steady) bank.countAtLeast(atLeast);
  }
  for (std::size_t length = 1; length < kLengths; ++length) {
    out[prefix + "_p" + std::to_string(length)] = atLeast.at(length) / atLeast[0];
  }
  out[prefix + "_few"] = few / options.arrivals;
  out[prefix + "_wrong"] = wrong;
}

/// Always `count` samples, whatever is read: SQ(count).
proxy::SampleRule fixedSamples(std::size_t count) {
  return [count](double) { return count - 1; };
}

/// Largest over smallest number of picks among equal queues.
double tieSpread(DAdaptivePicker& picker) {
  const std::vector<QueueSample> equal(5);
  std::vector<int> picks(equal.size(), 0);
  for (int turn = 0; turn < 50000; ++turn) ++picks[picker.pick(equal).index];
  const auto [least, most] = std::minmax_element(picks.begin(), picks.end());
  return static_cast<double>(*most) / static_cast<double>(*least);
}

/// For how many lengths k, all nine queues being so long, other than f(k) + 1 queues are read.
double wrongSampleCounts(DAdaptivePicker& picker) {
  double wrong = 0;
  for (int length = 0; length <= 12; ++length) {
    const std::vector<QueueSample> equal(9, QueueSample{static_cast<double>(length)});
    const auto further =
        std::min<std::size_t>(8, std::max<std::size_t>(1, static_cast<std::size_t>(length)));
    wrong += picker.pick(equal).samples == further + 1 ? 0 : 1;
  }
  return wrong;
}

/// How often the first sample is one of the long queues, a third of all: their length shows in the
/// number of queues read.
double longFirstShare(DAdaptivePicker& picker) {
  constexpr int kTurns = 60000;
  std::vector<QueueSample> mixed(9, QueueSample{1});
  for (std::size_t index = 0; index < mixed.size(); index += 3) mixed[index].queueLength = 4;
  double longFirst = 0;
  for (int turn = 0; turn < kTurns; ++turn) longFirst += picker.pick(mixed).samples == 5 ? 1 : 0;
  return longFirst / kTurns;
}

}  // namespace

void playBank(const Scenario& scenario, std::uint64_t seed, std::map<std::string, double>& out) {
  const BankOptions options(scenario);
  measureRule(options, seed, "adaptive", proxy::sampleQueueLength, out);
  measureRule(options, seed, "random", fixedSamples(1), out);
  measureRule(options, seed, "sq2", fixedSamples(2), out);
  measureRule(options, seed, "sq4", fixedSamples(4), out);
  // Sampling itself, on queues that stand still.
  DAdaptivePicker picker(seed + 99);
  out["tie_spread"] = tieSpread(picker);
  out["sample_counts_off"] = wrongSampleCounts(picker);
  out["first_sample_share"] = longFirstShare(picker);
}

}  // namespace merlingauge::test
