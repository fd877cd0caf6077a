#include "proxy/admission_queue.hpp"

#include <algorithm>

namespace merlingauge::proxy {

namespace {

// Weight of the latest request in the moving average: it follows a change within some 20 requests.
constexpr double kDurationSmoothing = 0.05;
// A request must start this many typical durations before its deadline, so that one that is slower
// than the average still ends in time.
constexpr double kDeadlineMargin = 1.5;
// The same before its latency target, which is missed at less cost.
constexpr double kTargetMargin = 1.2;
// So long may a request wait whose target can no longer be met: a short burst passes in that time,
// while a standing queue, in which every response is late, does not build up.
constexpr Duration kLateWait = std::chrono::milliseconds(100);

}  // namespace

AdmissionQueue::Admission AdmissionQueue::admit(const Arrival& arrival, TimePoint now) {
  if (running_ < slots_) {
    ++running_;
    return Admission::admitted;
  }
  if (!arrival.mayQueue) return Admission::rejected;
  const TimePoint latest = latestStart(arrival, now);
  if (now + expectedWait(arrival.priority) > latest) return Admission::rejected;
  queue_.emplace(Position{arrival.priority, ++arrivals_}, Waiting{arrival.ticket, latest});
  return Admission::queued;
}

// Until a request of this priority that arrives now starts, if every slot takes the typical time.
Duration AdmissionQueue::expectedWait(int priority) const {
  int ahead = 0;
  for (const auto& [position, waiting] : queue_) ahead += position.priority <= priority ? 1 : 0;
  return fromMillis(typicalDurationMs_ * (ahead + 1) / std::max(1, slots_));
}

TimePoint AdmissionQueue::latestStart(const Arrival& arrival, TimePoint now) const {
  const TimePoint forTarget = arrival.targetTime - fromMillis(typicalDurationMs_ * kTargetMargin);
  const TimePoint forDeadline = arrival.deadline - fromMillis(typicalDurationMs_ * kDeadlineMargin);
  return std::min(forDeadline, std::max(forTarget, now + kLateWait));
}

AdmissionQueue::Transitions AdmissionQueue::tick(TimePoint now) {
  Transitions transitions;
  for (auto entry = queue_.begin(); entry != queue_.end();) {
    if (entry->second.latestStart < now) {
      transitions.expired.push_back(entry->second.ticket);
    } else if (running_ < slots_) {
      ++running_;
      transitions.admitted.push_back(entry->second.ticket);
    } else {
      ++entry;
      continue;
    }
    entry = queue_.erase(entry);
  }
  return transitions;
}

AdmissionQueue::Transitions AdmissionQueue::onRequestEnded(TimePoint now, Duration duration) {
  running_ = std::max(0, running_ - 1);
  if (duration > Duration(0)) {
    typicalDurationMs_ += kDurationSmoothing * (toMillis(duration) - typicalDurationMs_);
  }
  return tick(now);
}

AdmissionQueue::Transitions AdmissionQueue::cancel(Ticket ticket, TimePoint now) {
  std::erase_if(queue_, [&](const auto& entry) { return entry.second.ticket == ticket; });
  return tick(now);
}

std::vector<AdmissionQueue::Ticket> AdmissionQueue::rejectAll() {
  std::vector<Ticket> rejected;
  rejected.reserve(queue_.size());
  for (const auto& [position, waiting] : queue_) rejected.push_back(waiting.ticket);
  queue_.clear();
  return rejected;
}

TimePoint AdmissionQueue::nextDeadline() const {
  TimePoint first = TimePoint::max();
  for (const auto& [position, waiting] : queue_) first = std::min(first, waiting.latestStart);
  return first;
}

}  // namespace merlingauge::proxy
