// turnstile: who goes through to one server, and who waits beside it. Takes arrivals and ends,
// returns whom to let run and whom to send away. No clock of its own.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "units.hpp"

namespace merlin::trail {

class Turnstile {
 public:
  using Ticket = std::uint64_t;
  enum class Answer : std::uint8_t { run, wait, full };
  struct Moves {
    std::vector<Ticket> run;
    std::vector<Ticket> tooLate;
  };

  explicit Turnstile(int slots) : slots_(slots) {}

  struct Arrival {
    Ticket ticket = 0;
    int rank = 0;          // 0 is highest
    Instant deadline;      // after this an answer is worth nothing
    Instant target;        // up to here it is worth most
    bool mayWait = false;  // the caller has nowhere better to go
  };
  Answer arrive(const Arrival& arrival, Instant now);
  // A request that ran has ended; `took` feeds the estimate of how long the queue is.
  Moves done(Instant now, Span took);
  Moves cancel(Ticket waiting, Instant now);
  Moves tick(Instant now);
  std::vector<Ticket> sendAllAway();
  void setSlots(int slots) { slots_ = slots; }

  [[nodiscard]] int running() const { return running_; }
  [[nodiscard]] int waiting() const { return static_cast<int>(queue_.size()); }
  [[nodiscard]] int slots() const { return slots_; }
  [[nodiscard]] Instant nextDeadline() const;
  [[nodiscard]] Span typical() const { return fromMillis(typicalMs_); }

 private:
  void letIn(Instant now, Moves& moves);
  // By rank, then by arrival.
  using Place = std::pair<int, std::uint64_t>;
  struct Waiting {
    Ticket ticket;
    Instant latestStart;
  };
  int slots_;
  int running_ = 0;
  std::uint64_t arrivals_ = 0;
  std::map<Place, Waiting> queue_;
  double typicalMs_ = 100;
};

}  // namespace merlin::trail
