// d_adaptive_picker: load balancing by d-adaptive sampling of queue lengths.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace merlingauge::proxy {

/// What the picker sees of one candidate.
struct QueueSample {
  double queueLength = 0;  ///< requests there, running and waiting, as far as this node can tell
};

struct PickResult {
  std::size_t index = 0;    ///< of the picked candidate
  std::size_t samples = 0;  ///< how many candidates were read, f(k) + 1
};

/// f(k): how many more queues to sample after one of length k. Must not fall as k grows. The paper
/// asks for f(k) >= 1; with 0 the first sample is picked.
using SampleRule = std::function<std::size_t(double k)>;

/// f(k) = k, rounded down, and at least 1.
std::size_t sampleQueueLength(double k);

/// The d-adaptive algorithm of Bramson, Lu and Prabhakar, "Randomized Load Balancing with General
/// Service Time Distributions" (SIGMETRICS 2010), section 3.1: read one queue chosen uniformly; if
/// its length is k, sample f(k) more without replacement; pick the shortest of the f(k) + 1, ties
/// at random. A long first queue is the sign that two samples are too few, which with heavy-tailed
/// service times nobody can know beforehand.
///
/// Kept: the uniform first sample without weights, f(k) = k, no replacement, random ties. Changed:
/// f is at least 1, since a length of 0 is only an estimate here; the lengths are derived by
/// LoadTracker instead of read from the servers; and the caller draws the candidates, by zone and
/// health. docs/design.md, "The picker", has the reasons and what was measured.
///
/// Deterministic for a seed. Event-loop thread only.
class DAdaptivePicker {
 public:
  explicit DAdaptivePicker(std::uint64_t seed, SampleRule rule = sampleQueueLength);
  /// Precondition: there is at least one candidate.
  PickResult pick(const std::vector<QueueSample>& candidates);
  /// A random number in [0, 1) from the same source, for weighted choices beside the picking.
  double uniform();

 private:
  std::size_t below(std::size_t bound);

  std::mt19937_64 random_;
  SampleRule rule_;
  std::vector<std::size_t> order_;  // of the candidates, for pick(); kept for its memory only
};

}  // namespace merlingauge::proxy
