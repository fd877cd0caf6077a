#include "proxy/load_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace merlingauge::proxy {

namespace {
// Time constant (seconds) by which a report of the others' load loses its weight. About as long as
// a request takes at most services: after it the requests that were counted are mostly over.
constexpr double kReportDecaySeconds = 1.0;
// Time constant (seconds) of the average of the own requests: long enough that a single request
// hardly moves it, short enough to follow an instance that slows down.
constexpr double kAverageSeconds = 3;
}  // namespace

void LoadTracker::addOwnRequests(int change, TimePoint now) {
  averageOwn_ = averageOwnLoad(now);
  averagedAt_ = now;
  ownRequests_ = std::max(0, ownRequests_ + change);
}

double LoadTracker::averageOwnLoad(TimePoint now) const {
  const double kept = std::exp(-toSeconds(now - averagedAt_) / kAverageSeconds);
  return ownRequests_ + (averageOwn_ - ownRequests_) * kept;
}

void LoadTracker::onLoadReported(double requests, TimePoint now) {
  otherRequests_ = std::max(0.0, requests - ownRequests_);
  reportedAt_ = now;
}

double LoadTracker::estimatedLoad(TimePoint now) const {
  if (otherRequests_ <= 0) return ownRequests_;
  const double age = toSeconds(now - reportedAt_);
  return ownRequests_ + std::round(otherRequests_ * std::exp(-age / kReportDecaySeconds));
}

}  // namespace merlingauge::proxy
