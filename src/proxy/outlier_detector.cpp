#include "proxy/outlier_detector.hpp"

#include <algorithm>
#include <cmath>

namespace merlingauge::proxy {

namespace {
// Weight of the newest response in the failure rate: the last ten or so decide.
constexpr double kNewestWeight = 0.2;
// Failure rate from which an instance is ejected: two failures close together reach it, one does
// not.
constexpr double kEjectAt = 0.35;
// Failure rate after a trial that went well, at most: one more failure ejects again.
constexpr double kAfterTrial = 0.2;
// Failure rate below which earlier ejections are forgotten.
constexpr double kHealthyBelow = 0.02;
// Milliseconds of the first ejection, and of the wait for a trial's response.
constexpr double kFirstEjectionMs = 1500;
// The ejection doubles this many times at most: 12 seconds.
constexpr int kMaxDoublings = 3;
}  // namespace

void OutlierDetector::onRequestStarted(TimePoint now) {
  if (ejections_ == 0 || !onTrial()) return;
  ejectedUntil_ = std::max(ejectedUntil_, now + fromMillis(kFirstEjectionMs));
}

void OutlierDetector::onResponse(bool success, TimePoint now) {
  failureRate_ += kNewestWeight * ((success ? 0.0 : 1.0) - failureRate_);
  if (onTrial()) {
    if (!success) {
      eject(now);
      return;
    }
    ejectedUntil_ = TimePoint();
    failureRate_ = std::min(failureRate_, kAfterTrial);
    return;
  }
  if (success) {
    if (failureRate_ < kHealthyBelow) ejections_ = 0;
    return;
  }
  if (failureRate_ >= kEjectAt) eject(now);
}

void OutlierDetector::eject(TimePoint now) {
  const double ejectionMs = kFirstEjectionMs * std::pow(2.0, std::min(ejections_, kMaxDoublings));
  ++ejections_;
  ejectedUntil_ = now + fromMillis(ejectionMs);
}

}  // namespace merlingauge::proxy
