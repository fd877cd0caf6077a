// reachability.hpp: whether one instance could be reached lately, with exponential backoff.
#pragma once

#include "base/time.hpp"

namespace merlingauge::proxy {

/// Backoff after failures to reach one instance. A state machine without a clock; event-loop thread
/// only.
class Reachability {
 public:
  /// No connection came up, no sign of life came, or the instance has been replaced by another.
  void onUnreachable(TimePoint now);
  /// It has responded.
  void onReachable();

  [[nodiscard]] bool isReachable(TimePoint now) const { return unreachableUntil_ <= now; }
  /// Failed lately and not seen to work since: not for requests that can't be sent twice.
  [[nodiscard]] bool isDoubtful(TimePoint now) const;

 private:
  int failures_ = 0;            // in a row, bounded
  TimePoint unreachableUntil_;  // the epoch: reachable
};

}  // namespace merlingauge::proxy
