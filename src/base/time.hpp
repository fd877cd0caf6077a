// time: the monotonic clock as the state machines see it, in microseconds. They never read it: the
// event loop and the simulation hand the current time in.
#pragma once

#include <chrono>
#include <cstdint>

namespace merlingauge {

/// A clock type without now(): only the event loop reads the machine's clock.
struct MonotonicClock {
  // NOLINTBEGIN(readability-identifier-naming): the names that the standard asks of a clock
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)
};

using Duration = MonotonicClock::duration;
using TimePoint = MonotonicClock::time_point;

inline Duration fromSeconds(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}
inline Duration fromMillis(double milliseconds) {
  return Duration(static_cast<std::int64_t>(milliseconds * 1e3));
}
inline double toSeconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }
inline double toMillis(Duration duration) { return static_cast<double>(duration.count()) / 1e3; }

}  // namespace merlingauge
