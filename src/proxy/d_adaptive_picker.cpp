#include "proxy/d_adaptive_picker.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace merlingauge::proxy {

std::size_t sampleQueueLength(double k) {
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(std::max(k, 0.0))));
}

DAdaptivePicker::DAdaptivePicker(std::uint64_t seed, SampleRule rule)
    : random_(seed), rule_(std::move(rule)) {}

std::size_t DAdaptivePicker::below(std::size_t bound) {
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

double DAdaptivePicker::uniform() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
}

// A partial Fisher-Yates shuffle: the front of `order_` is a uniform sample without replacement.
PickResult DAdaptivePicker::pick(const std::vector<QueueSample>& candidates) {
  const std::size_t count = candidates.size();
  order_.resize(count);
  std::iota(order_.begin(), order_.end(), std::size_t{0});
  std::swap(order_[0], order_[below(count)]);
  const double firstLength = candidates[order_[0]].queueLength;
  const std::size_t further = std::min(rule_(firstLength), count - 1);
  std::size_t best = order_[0];
  std::size_t ties = 1;
  for (std::size_t drawn = 1; drawn <= further; ++drawn) {
    std::swap(order_[drawn], order_[drawn + below(count - drawn)]);
    const std::size_t sampled = order_[drawn];
    const double length = candidates[sampled].queueLength;
    const double shortest = candidates[best].queueLength;
    if (length < shortest) {
      best = sampled;
      ties = 1;
    } else if (length == shortest) {
      // The n-th of equals replaces the others with probability 1/n, hence each stays with 1/n.
      ++ties;
      if (below(ties) == 0) best = sampled;
    }
  }
  return {best, further + 1};
}

}  // namespace merlingauge::proxy
