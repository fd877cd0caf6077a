#include "request/turnstile.hpp"

#include <algorithm>

namespace merlin::trail {

namespace {
constexpr double kLearn = 0.05;
// A request that can't start with so many typical runs' time left is sent away.
constexpr double kNeeded = 1.5;
constexpr double kTypicalRun = 1.2;
constexpr Span kShortWait = std::chrono::milliseconds(100);
}  // namespace

Turnstile::Answer Turnstile::arrive(const Arrival& arrival, Instant now) {
  if (running_ < slots_) {
    ++running_;
    return Answer::run;
  }
  if (!arrival.mayWait) return Answer::full;
  int ahead = 0;
  for (const auto& [place, waiting] : queue_) ahead += place.first <= arrival.rank ? 1 : 0;
  const double waitMs = typicalMs_ * (ahead + 1) / std::max(1, slots_);
  // A queue whose every request comes out late helps nobody: wait no longer than the target
  // allows, or a short while where even that is too late.
  const Instant inTime = arrival.target - fromMillis(typicalMs_ * kTypicalRun);
  const Instant latest = std::min(arrival.deadline - fromMillis(typicalMs_ * kNeeded),
                                  std::max(inTime, now + kShortWait));
  if (now + fromMillis(waitMs) > latest) return Answer::full;
  queue_.emplace(Place{arrival.rank, ++arrivals_}, Waiting{arrival.ticket, latest});
  return Answer::wait;
}

void Turnstile::letIn(Instant now, Moves& moves) {
  for (auto it = queue_.begin(); it != queue_.end();) {
    if (it->second.latestStart < now) {
      moves.tooLate.push_back(it->second.ticket);
    } else if (running_ < slots_) {
      ++running_;
      moves.run.push_back(it->second.ticket);
    } else {
      ++it;
      continue;
    }
    it = queue_.erase(it);
  }
}

Turnstile::Moves Turnstile::done(Instant now, Span took) {
  running_ = std::max(0, running_ - 1);
  if (took > Span(0)) typicalMs_ += kLearn * (toMillis(took) - typicalMs_);
  return tick(now);
}

Turnstile::Moves Turnstile::cancel(Ticket waiting, Instant now) {
  std::erase_if(queue_, [&](const auto& entry) { return entry.second.ticket == waiting; });
  return tick(now);
}

Turnstile::Moves Turnstile::tick(Instant now) {
  Moves moves;
  letIn(now, moves);
  return moves;
}

std::vector<Turnstile::Ticket> Turnstile::sendAllAway() {
  std::vector<Ticket> out;
  for (const auto& [place, waiting] : queue_) out.push_back(waiting.ticket);
  queue_.clear();
  return out;
}

Instant Turnstile::nextDeadline() const {
  Instant first = Instant::max();
  for (const auto& [place, waiting] : queue_) first = std::min(first, waiting.latestStart);
  return first;
}

}  // namespace merlin::trail
