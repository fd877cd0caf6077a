#include "proxy/failure_rate_reporter.hpp"

#include <cmath>
#include <cstdlib>

namespace merlingauge::proxy {

namespace {
constexpr double kNewestWeight = 0.1;  // of the newest response in the failure rate
// Tenths by which the rate must have changed: the report goes to all nodes.
constexpr int kMinChangeTenths = 2;
// Shortest time between two reports of one instance, for the same reason.
constexpr Duration kMinReportInterval = std::chrono::milliseconds(500);
}  // namespace

std::optional<int> FailureRateReporter::onResponse(bool success, TimePoint now) {
  failureRate_ += kNewestWeight * ((success ? 0.0 : 1.0) - failureRate_);
  const int tenths = static_cast<int>(std::lround(failureRate_ * 10));
  const bool hasChanged = std::abs(tenths - reportedTenths_) >= kMinChangeTenths;
  const bool hasRecovered = tenths == 0 && reportedTenths_ != 0;
  if (!hasChanged && !hasRecovered) return std::nullopt;
  if (now - reportedAt_ < kMinReportInterval) return std::nullopt;
  reportedTenths_ = tenths;
  reportedAt_ = now;
  return tenths;
}

}  // namespace merlingauge::proxy
