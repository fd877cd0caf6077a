// time: the monotonic clock as the state machines see it, in microseconds. They never read it: the
// event loop and the simulation hand the current time in.
#pragma once

#include <algorithm>
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

/// The longest span that is made of a number, 100 years in microseconds: a sum of some of them and
/// of a time still fits.
inline constexpr double kLongestSpanMicros = 100.0 * 365 * 24 * 3600 * 1e6;

/// A span of so many microseconds. Numbers come from documents and messages too: what is beyond
/// kLongestSpanMicros counts as that.
inline Duration fromMicros(double microseconds) {
  const double bounded = std::clamp(microseconds, -kLongestSpanMicros, kLongestSpanMicros);
  return Duration(static_cast<std::int64_t>(bounded));
}
inline Duration fromSeconds(double seconds) { return fromMicros(seconds * 1e6); }
inline Duration fromMillis(double milliseconds) { return fromMicros(milliseconds * 1e3); }
inline double toSeconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }
inline double toMillis(Duration duration) { return static_cast<double>(duration.count()) / 1e3; }

}  // namespace merlingauge
