// admission_queue: which requests run at one server, which wait beside it, and which are rejected.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include "base/time.hpp"

namespace merlingauge::proxy {

/// As many requests run as the server has slots; the rest wait here, by priority and then by
/// arrival, where they can be counted, cancelled and rejected. A state machine: takes arrivals and
/// ends, returns what becomes of whom; the time is passed in. Event-loop thread only.
class AdmissionQueue {
 public:
  /// The caller's name for a request, unique within the queue.
  using Ticket = std::uint64_t;
  enum class Admission : std::uint8_t { admitted, queued, rejected };
  /// What has become of queued requests. Both kinds have left the queue.
  struct Transitions {
    std::vector<Ticket> admitted;  ///< run now, each in a slot of its own
    std::vector<Ticket> expired;   ///< can no longer start in time
  };
  struct Arrival {
    Ticket ticket = 0;
    int priority = 0;       ///< 0 is highest
    TimePoint deadline;     ///< a response after this is worth nothing
    TimePoint targetTime;   ///< up to here it is worth most: the route's latency target
    bool mayQueue = false;  ///< the caller has nowhere better to go
  };

  explicit AdmissionQueue(int slots) : slots_(slots) {}

  Admission admit(const Arrival& arrival, TimePoint now);
  /// A request that was admitted has ended. A `duration` above 0 feeds typicalDuration().
  Transitions onRequestEnded(TimePoint now, Duration duration);
  /// A queued request has ended; one that is not in the queue is ignored.
  Transitions cancel(Ticket ticket, TimePoint now);
  Transitions tick(TimePoint now);
  /// Empties the queue and returns who was in it. Those that run go on.
  std::vector<Ticket> rejectAll();
  /// Takes effect with the next call that returns Transitions; nobody who runs is stopped.
  void setSlots(int slots) { slots_ = slots; }

  [[nodiscard]] int running() const { return running_; }
  [[nodiscard]] int queued() const { return static_cast<int>(queue_.size()); }
  [[nodiscard]] int slots() const { return slots_; }
  /// When the next queued request expires; TimePoint::max() if none is queued.
  [[nodiscard]] TimePoint nextDeadline() const;
  /// Moving average over the requests that have ended.
  [[nodiscard]] Duration typicalDuration() const { return fromMillis(typicalDurationMs_); }

 private:
  /// Lower goes first.
  struct Position {
    int priority = 0;
    std::uint64_t arrival = 0;
    auto operator<=>(const Position&) const = default;
  };
  struct Waiting {
    Ticket ticket = 0;
    TimePoint latestStart;
  };
  [[nodiscard]] Duration expectedWait(int priority) const;
  [[nodiscard]] TimePoint latestStart(const Arrival& arrival, TimePoint now) const;

  /// Before anybody has ended: a guess at an ordinary request, so that the first queue is finite.
  static constexpr double kInitialDurationMs = 100;

  int slots_;
  int running_ = 0;  // above slots_ only after setSlots() has lowered those
  std::uint64_t arrivals_ = 0;
  std::map<Position, Waiting> queue_;
  double typicalDurationMs_ = kInitialDurationMs;
};

}  // namespace merlingauge::proxy
