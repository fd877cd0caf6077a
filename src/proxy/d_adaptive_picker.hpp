// wayfinder: the picker. d-adaptive sampling after Bramson, Lu and Prabhakar, section 3.1: read one
// uniform sample of length k, sample f(k) more, the shortest queue wins. docs/design.md says what
// was kept and what was changed.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace merlingauge::proxy {

// What the picker sees of one candidate.
struct QueueSample {
  double queueLength = 0;  // requests there: running and waiting, as far as this node can tell
};

struct PickResult {
  std::size_t index = 0;
  std::size_t samples = 0;  // how many candidates were read
};

// f(k): how many more to sample after reading k. Never falls, never below 1.
using SampleRule = std::function<std::size_t(double k)>;
std::size_t sampleQueueLength(double k);  // f(k) = k, at least 1

class DAdaptivePicker {
 public:
  explicit DAdaptivePicker(std::uint64_t seed, SampleRule rule = sampleQueueLength);
  // `looks` must not be empty.
  PickResult pick(const std::vector<QueueSample>& looks);
  double uniform();

 private:
  std::size_t below(std::size_t n);
  std::mt19937_64 random_;
  SampleRule rule_;
  std::vector<std::size_t> order_;
};

}  // namespace merlingauge::proxy
