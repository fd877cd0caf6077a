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

std::size_t DAdaptivePicker::below(std::size_t n) {
  return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
}

double DAdaptivePicker::uniform() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
}

PickResult DAdaptivePicker::pick(const std::vector<QueueSample>& looks) {
  const std::size_t n = looks.size();
  order_.resize(n);
  std::iota(order_.begin(), order_.end(), std::size_t{0});
  // A partial shuffle: the front of `order_` is a sample without replacement.
  std::swap(order_[0], order_[below(n)]);
  const std::size_t more = std::min(rule_(looks[order_[0]].queueLength), n - 1);
  std::size_t best = order_[0];
  std::size_t ties = 1;
  for (std::size_t i = 1; i <= more; ++i) {
    std::swap(order_[i], order_[i + below(n - i)]);
    const std::size_t at = order_[i];
    if (looks[at].queueLength < looks[best].queueLength) {
      best = at;
      ties = 1;
    } else if (looks[at].queueLength == looks[best].queueLength) {
      ++ties;
      if (below(ties) == 0) best = at;
    }
  }
  return {best, more + 1};
}

}  // namespace merlingauge::proxy
