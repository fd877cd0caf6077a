// freshness: how long a kept connection of a service may have lain idle and still be trusted.
// Learned from connections that turned out dead or out of step; forgotten after a while.
#pragma once

#include <algorithm>
#include <map>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace merlingauge::http {

class IdleTimeoutEstimator {
 public:
  // A kept connection, idle for `idled`, was found closed when it was used.
  void onStaleConnection(const ServiceName& service, Duration idled, TimePoint now) {
    narrow(service, std::max(Duration(0), idled * 6 / 10), now);
  }
  // An answer on a kept connection was not the one asked for.
  void onOutOfStep(const ServiceName& service, TimePoint now) { narrow(service, Duration(0), now); }
  [[nodiscard]] Duration idleLimit(const ServiceName& service, Duration otherwise,
                                   TimePoint now) const {
    const auto it = estimates_.find(service);
    if (it == estimates_.end() || now >= it->second.expiresAt) return otherwise;
    return std::min(otherwise, it->second.idleLimit);
  }

 private:
  static constexpr Duration kEstimateLifetime = std::chrono::seconds(8);
  struct Estimate {
    Duration idleLimit{};
    TimePoint expiresAt;
  };
  void narrow(const ServiceName& service, Duration most, TimePoint now) {
    auto& mark = estimates_[service];
    mark.idleLimit = now < mark.expiresAt ? std::min(mark.idleLimit, most) : most;
    mark.expiresAt = now + kEstimateLifetime;
  }
  std::map<ServiceName, Estimate> estimates_;
};

}  // namespace merlingauge::http
