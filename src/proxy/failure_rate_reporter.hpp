// failure_rate_reporter.hpp: when the failure rate of an instance is worth telling other nodes.
#pragma once

#include <optional>

#include "base/time.hpp"

namespace merlingauge::proxy {

/// Failure rate of one instance's responses, reported in tenths, seldom and only when it has
/// changed much. A state machine without a clock; event-loop thread only.
class FailureRateReporter {
 public:
  /// Takes how a response turned out. Returns the rate (tenths, 0 to 10) if it is to be reported.
  std::optional<int> onResponse(bool success, TimePoint now);

 private:
  double failureRate_ = 0;  // 0 to 1, exponentially weighted towards the newest response
  int reportedTenths_ = 0;
  TimePoint reportedAt_;
};

}  // namespace merlingauge::proxy
