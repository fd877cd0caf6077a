// turnstile: who goes through to one server, and who waits beside it. Takes arrivals and ends,
// returns whom to let run and whom to send away. No clock of its own.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.hpp"

namespace merlingauge::proxy {

class AdmissionQueue {
 public:
  using Ticket = std::uint64_t;
  enum class Admission : std::uint8_t { admitted, queued, rejected };
  struct Transitions {
    std::vector<Ticket> admitted;
    std::vector<Ticket> expired;
  };

  explicit AdmissionQueue(int slots) : slots_(slots) {}

  struct Arrival {
    Ticket ticket = 0;
    int priority = 0;       // 0 is highest
    TimePoint deadline;     // after this an answer is worth nothing
    TimePoint targetTime;   // up to here it is worth most
    bool mayQueue = false;  // the caller has nowhere better to go
  };
  Admission admit(const Arrival& arrival, TimePoint now);
  // A request that ran has ended; `took` feeds the estimate of how long the queue is.
  Transitions onRequestEnded(TimePoint now, Duration took);
  Transitions cancel(Ticket waiting, TimePoint now);
  Transitions tick(TimePoint now);
  std::vector<Ticket> rejectAll();
  void setSlots(int slots) { slots_ = slots; }

  [[nodiscard]] int running() const { return running_; }
  [[nodiscard]] int queued() const { return static_cast<int>(queue_.size()); }
  [[nodiscard]] int slots() const { return slots_; }
  [[nodiscard]] TimePoint nextDeadline() const;
  [[nodiscard]] Duration typicalDuration() const { return fromMillis(typicalDurationMs_); }

 private:
  void admitWaiting(TimePoint now, Transitions& moves);
  // By rank, then by arrival.
  using Place = std::pair<int, std::uint64_t>;
  struct Waiting {
    Ticket ticket;
    TimePoint latestStart;
  };
  int slots_;
  int running_ = 0;
  std::uint64_t arrivals_ = 0;
  std::map<Place, Waiting> queue_;
  double typicalDurationMs_ = 100;
};

}  // namespace merlingauge::proxy
