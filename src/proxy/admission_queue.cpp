#include "proxy/admission_queue.hpp"

#include <algorithm>

namespace merlingauge::proxy {

namespace {
constexpr double kLearn = 0.05;
// A request that can't start with so many typical runs' time left is sent away.
constexpr double kNeeded = 1.5;
constexpr double kTypicalRun = 1.2;
constexpr Duration kShortWait = std::chrono::milliseconds(100);
}  // namespace

AdmissionQueue::Admission AdmissionQueue::admit(const Arrival& arrival, TimePoint now) {
  if (running_ < slots_) {
    ++running_;
    return Admission::admitted;
  }
  if (!arrival.mayQueue) return Admission::rejected;
  int ahead = 0;
  for (const auto& [place, waiting] : queue_) ahead += place.first <= arrival.priority ? 1 : 0;
  const double waitMs = typicalDurationMs_ * (ahead + 1) / std::max(1, slots_);
  // A queue whose every request comes out late helps nobody: wait no longer than the target
  // allows, or a short while where even that is too late.
  const TimePoint inTime = arrival.targetTime - fromMillis(typicalDurationMs_ * kTypicalRun);
  const TimePoint latest = std::min(arrival.deadline - fromMillis(typicalDurationMs_ * kNeeded),
                                    std::max(inTime, now + kShortWait));
  if (now + fromMillis(waitMs) > latest) return Admission::rejected;
  queue_.emplace(Place{arrival.priority, ++arrivals_}, Waiting{arrival.ticket, latest});
  return Admission::queued;
}

void AdmissionQueue::admitWaiting(TimePoint now, Transitions& moves) {
  for (auto it = queue_.begin(); it != queue_.end();) {
    if (it->second.latestStart < now) {
      moves.expired.push_back(it->second.ticket);
    } else if (running_ < slots_) {
      ++running_;
      moves.admitted.push_back(it->second.ticket);
    } else {
      ++it;
      continue;
    }
    it = queue_.erase(it);
  }
}

AdmissionQueue::Transitions AdmissionQueue::onRequestEnded(TimePoint now, Duration took) {
  running_ = std::max(0, running_ - 1);
  if (took > Duration(0)) typicalDurationMs_ += kLearn * (toMillis(took) - typicalDurationMs_);
  return tick(now);
}

AdmissionQueue::Transitions AdmissionQueue::cancel(Ticket waiting, TimePoint now) {
  std::erase_if(queue_, [&](const auto& entry) { return entry.second.ticket == waiting; });
  return tick(now);
}

AdmissionQueue::Transitions AdmissionQueue::tick(TimePoint now) {
  Transitions moves;
  admitWaiting(now, moves);
  return moves;
}

std::vector<AdmissionQueue::Ticket> AdmissionQueue::rejectAll() {
  std::vector<Ticket> out;
  for (const auto& [place, waiting] : queue_) out.push_back(waiting.ticket);
  queue_.clear();
  return out;
}

TimePoint AdmissionQueue::nextDeadline() const {
  TimePoint first = TimePoint::max();
  for (const auto& [place, waiting] : queue_) first = std::min(first, waiting.latestStart);
  return first;
}

}  // namespace merlingauge::proxy
