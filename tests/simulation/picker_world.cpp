// A bank of FIFO queues under one picker: the paper's own experiment, made small.
#include <algorithm>
#include <cmath>
#include <deque>

#include "proxy/d_adaptive_picker.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test {

using proxy::DAdaptivePicker;
using proxy::QueueSample;

namespace {

// Power law with P(S > x) = x^-beta, x >= 1.
double powerLaw(std::mt19937_64& random, double beta) {
  const double u = std::uniform_real_distribution<double>(1e-12, 1.0)(random);
  return std::pow(u, -1.0 / beta);
}

struct Bank {
  Bank(const Scenario& scenario, std::uint64_t seed) : s(scenario), clock(seed) {}
  const Scenario& s;
  Clock clock;
  std::vector<std::deque<double>> queues;

  void serve(std::size_t q) {
    clock.after(queues[q].front() * 1000, [this, q] {
      queues[q].pop_front();
      if (!queues[q].empty()) serve(q);
    });
  }
};

}  // namespace

void playBank(const Scenario& scenario, std::uint64_t seed, std::map<std::string, double>& out) {
  const auto n = static_cast<std::size_t>(number(scenario, "queues", 100));
  const auto arrivals = static_cast<int>(number(scenario, "arrivals", 60000));
  const double beta = number(scenario, "beta", 1.5);
  const double rho = number(scenario, "load", 0.6);
  const double mean = beta / (beta - 1);
  // `rule 0`: f(k) = k; `rule D`: always D samples, whatever is read.
  const auto play = [&](int samples, std::map<std::string, double>& m, const std::string& prefix) {
    Bank bank(scenario, seed);
    bank.queues.resize(n);
    proxy::SampleRule rule = proxy::sampleQueueLength;
    if (samples > 0) rule = [samples](double) { return static_cast<std::size_t>(samples - 1); };
    DAdaptivePicker picker(seed * 7 + 1, rule);
    double t = 0;
    std::vector<double> atLeast(12, 0);
    std::vector<int> first(n, 0);
    double few = 0;
    double wrong = 0;
    for (int i = 0; i < arrivals; ++i) {
      t += std::exponential_distribution<double>(rho * static_cast<double>(n) /
                                                 mean)(bank.clock.random) *
           1000;
      bank.clock.runUntil(t);
      std::vector<QueueSample> looks(n);
      for (std::size_t q = 0; q < n; ++q)
        looks[q].queueLength = static_cast<double>(bank.queues[q].size());
      const auto choice = picker.pick(looks);
      ++first[choice.index];
      few += choice.samples <= 3 ? 1 : 0;
      wrong += choice.samples < 1 || choice.samples > n ? 1 : 0;
      auto& queue = bank.queues[choice.index];
      queue.push_back(powerLaw(bank.clock.random, beta));
      if (queue.size() == 1) bank.serve(choice.index);
      if (i < arrivals / 5) continue;
      for (std::size_t q = 0; q < n; q += 7) {
        for (std::size_t k = 0; k < atLeast.size() && k <= bank.queues[q].size(); ++k) ++atLeast[k];
      }
    }
    for (std::size_t k = 1; k < atLeast.size(); ++k) {
      m[prefix + "_p" + std::to_string(k)] = atLeast[k] / atLeast[0];
    }
    m[prefix + "_few"] = few / arrivals;
    m[prefix + "_wrong"] = wrong;
  };
  play(0, out, "adaptive");
  play(1, out, "random");
  play(2, out, "sq2");
  play(4, out, "sq4");
  // Sampling itself, on a still bank: uniform first sample, random ties, counts after f.
  DAdaptivePicker picker(seed + 99);
  std::vector<QueueSample> even(5);
  std::vector<int> hits(5, 0);
  for (int i = 0; i < 50000; ++i) ++hits[picker.pick(even).index];
  out["tie_spread"] = static_cast<double>(*std::max_element(hits.begin(), hits.end())) /
                      static_cast<double>(*std::min_element(hits.begin(), hits.end()));
  double off = 0;
  for (double k = 0; k <= 12; ++k) {
    std::vector<QueueSample> same(9, QueueSample{k});
    const auto want =
        std::min<std::size_t>(8, std::max<std::size_t>(1, static_cast<std::size_t>(k)));
    off += picker.pick(same).samples == want + 1 ? 0 : 1;
  }
  out["sample_counts_off"] = off;
  // With one queue in three longer, how often the first sample is one of them shows in the count.
  std::vector<QueueSample> mixed(9, QueueSample{1});
  for (std::size_t i = 0; i < 9; i += 3) mixed[i].queueLength = 4;
  double more = 0;
  for (int i = 0; i < 60000; ++i) more += picker.pick(mixed).samples == 5 ? 1 : 0;
  out["first_sample_share"] = more / 60000;
}

}  // namespace merlingauge::test
