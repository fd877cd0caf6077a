// idle_timeout_estimator: how long a connection to a service may have been idle and still be used.
// Learned from connections that turned out closed or out of step; forgotten after a while.
#pragma once

#include <algorithm>
#include <map>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace merlingauge::http {

/// Pure state without a clock. Owned by an egress or an ingress; event-loop thread only.
class IdleTimeoutEstimator {
 public:
  /// A kept connection, idle for `idleTime`, was found closed when it was used.
  void onStaleConnection(const ServiceName& service, Duration idleTime, TimePoint now) {
    const Duration limit = idleTime * kSafePercentage / 100;
    lowerLimit(service, std::max(Duration(0), limit), now);
  }

  /// An answer on a kept connection was not the one asked for: no idle connection of the service is
  /// used for a while.
  void onOutOfStep(const ServiceName& service, TimePoint now) {
    lowerLimit(service, Duration(0), now);
  }

  /// The longest idle time with which a connection may be used; `otherwise` where nothing is known.
  [[nodiscard]] Duration idleLimit(const ServiceName& service, Duration otherwise,
                                   TimePoint now) const {
    const auto found = estimates_.find(service);
    if (found == estimates_.end() || now >= found->second.expiresAt) return otherwise;
    return std::min(otherwise, found->second.idleLimit);
  }

 private:
  /// Long enough for the connections of a restarted or misconfigured server to be replaced; short,
  /// since new connections cost its callers a round trip each (docs/design.md).
  static constexpr Duration kEstimateLifetime = std::chrono::seconds(8);
  /// The server closed somewhere before the idle time seen: stay well below it.
  static constexpr int kSafePercentage = 60;

  struct Estimate {
    Duration idleLimit{};
    TimePoint expiresAt;
  };

  /// Within its lifetime an estimate only falls; each new observation prolongs it.
  void lowerLimit(const ServiceName& service, Duration limit, TimePoint now) {
    auto& estimate = estimates_[service];
    const bool valid = now < estimate.expiresAt;
    estimate.idleLimit = valid ? std::min(estimate.idleLimit, limit) : limit;
    estimate.expiresAt = now + kEstimateLifetime;
  }

  std::map<ServiceName, Estimate> estimates_;
};

}  // namespace merlingauge::http
