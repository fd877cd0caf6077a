#include "proxy/reachability.hpp"

#include <algorithm>
#include <cmath>

namespace merlingauge::proxy {

namespace {
// Milliseconds of the first backoff: a restart of a connection takes less, so a single loss costs
// little; each failure in a row doubles it.
constexpr double kFirstBackoffMs = 200;
// Milliseconds of the longest backoff: an instance that is back is used again within this time.
constexpr double kMaxBackoffMs = 3000;
// Failures in a row that are counted; beyond, the backoff is at its bound anyway.
constexpr int kMaxFailures = 8;
// After the backoff, for so long, only requests that may be sent twice go there: the first of them
// show whether it works.
constexpr Duration kDoubt = std::chrono::seconds(2);
}  // namespace

void Reachability::onUnreachable(TimePoint now) {
  const double backoffMs = std::min(kMaxBackoffMs, kFirstBackoffMs * std::pow(2.0, failures_));
  failures_ = std::min(failures_ + 1, kMaxFailures);
  unreachableUntil_ = now + fromMillis(backoffMs);
}

void Reachability::onReachable() {
  failures_ = 0;
  unreachableUntil_ = TimePoint();
}

bool Reachability::isDoubtful(TimePoint now) const {
  return failures_ > 0 && now < unreachableUntil_ + kDoubt;
}

}  // namespace merlingauge::proxy
