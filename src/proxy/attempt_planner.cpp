#include "proxy/attempt_planner.hpp"

#include <algorithm>
#include <utility>

namespace merlingauge::proxy {

namespace {
constexpr int kMaxHops = 12;
constexpr int kQueueRefusals = 3;      // so many can't queue it in time: nor can the others
constexpr int kTryWithoutWaiting = 2;  // then the next one may queue
// A near server has room below this share of its slots,
constexpr double kNearRoom = 0.9;
constexpr double kNearFirst = 1.25;  // before a far server is asked,
constexpr double kNearQueue = 1.5;   // where the request has to queue anyway.

bool hasNear(const std::vector<Candidate>& list, double room) {
  return std::any_of(list.begin(), list.end(),
                     [room](const auto& c) { return c.hasLocalCapacity(room); });
}

// The one exception to drawing from all: while servers in this zone have room, only they are
// drawn from, for what crosses zones is paid for.
void preferNear(std::vector<Candidate>& from, double room) {
  if (!hasNear(from, room)) return;
  std::erase_if(from, [room](const auto& c) { return !c.hasLocalCapacity(room); });
}
}  // namespace

AttemptPlanner::AttemptPlanner(RequestPolicy terms, Candidates candidates, DAdaptivePicker& picker,
                               RetryBudget& retryBudget)
    : policy_(std::move(terms)),
      candidates_(std::move(candidates)),
      picker_(picker),
      retryBudget_(retryBudget) {}

PlannedAction AttemptPlanner::start(TimePoint now) {
  retryBudget_.onFirstAttempt(policy_.service, now);
  return planNext(now);
}

bool AttemptPlanner::isExcluded(const InstanceId& id) const {
  return std::find(excluded_.begin(), excluded_.end(), id) != excluded_.end();
}

bool AttemptPlanner::isKnownOverloaded(const InstanceId& id) const {
  return std::find(overloaded_.begin(), overloaded_.end(), id) != overloaded_.end();
}

// Some try is out that has shown no weakness: its answer is awaited before anything else is done.
bool AttemptPlanner::hasPendingAttempt() const {
  return std::any_of(pendingAttempts_.begin(), pendingAttempts_.end(),
                     [](const PendingAttempt& out) { return !out.silent; });
}

PlannedAction AttemptPlanner::giveUp(ErrorKind kind) const {
  PlannedAction step;
  // Nothing of our own is answered while a server may be at work on it.
  if (!pendingAttempts_.empty()) {
    step.kind = PlannedAction::Kind::wait;
    return step;
  }
  // Once a server may have run it, no answer may promise that it has not.
  step.error = anyMaybeExecuted_ ? ErrorKind::possiblyExecuted : kind;
  return step;
}

ErrorKind AttemptPlanner::errorAtDeadline(bool sent) const {
  return sent || anyMaybeExecuted_ ? ErrorKind::deadlineExceeded : ErrorKind::attemptsTimedOut;
}

PlannedAction AttemptPlanner::planNext(TimePoint now) {
  if (now >= policy_.deadline) return giveUp(ErrorKind::attemptsTimedOut);
  if (++attempts_ > kMaxHops)
    return giveUp(anyOverloaded_ ? ErrorKind::overloaded : ErrorKind::noEndpoint);
  std::vector<Candidate> open;   // neither tried nor known to be full
  std::vector<Candidate> queue;  // whatever may still be asked to queue it
  for (const auto& candidate : candidates_()) {
    if (isExcluded(*candidate.id)) continue;
    if (policy_.maxLoadPerSlot > 0 && candidate.load >= policy_.maxLoadPerSlot * candidate.slots) {
      anyOverloaded_ = true;
      continue;
    }
    if (candidate.load < candidate.slots && !isKnownOverloaded(*candidate.id))
      open.push_back(candidate);
    queue.push_back(candidate);
  }
  // Whoever is open has fewer jobs than slots.
  const bool nearBrief = !hasNear(open, 1.0) && hasNear(queue, kNearFirst);
  const bool mayWait =
      nearBrief || open.empty() || static_cast<int>(overloaded_.size()) >= kTryWithoutWaiting;
  auto& from = mayWait ? queue : open;
  if (from.empty() || queueRefusals_ >= kQueueRefusals) {
    return giveUp(anyOverloaded_ ? ErrorKind::overloaded : ErrorKind::noEndpoint);
  }
  preferNear(from, mayWait ? kNearQueue : kNearRoom);
  std::vector<QueueSample> looks;
  looks.reserve(from.size());
  for (const auto& candidate : from) looks.push_back({candidate.load + candidate.peerLoad});
  const auto choice = picker_.pick(looks);
  PlannedAction step;
  step.kind = PlannedAction::Kind::send;
  step.candidate = from[choice.index];
  step.mayQueue = mayWait;
  pendingAttempts_.push_back({*step.candidate.id, mayWait, false});
  ++serversReached_;
  return step;
}

PlannedAction AttemptPlanner::onAttemptEnded(AttemptOutcome outcome, TimePoint now) {
  return pendingAttempts_.empty() ? giveUp(ErrorKind::noEndpoint)
                                  : onAttemptEnded(pendingAttempts_.back().id, outcome, now);
}

PlannedAction AttemptPlanner::onAttemptEnded(const InstanceId& at, AttemptOutcome outcome,
                                             TimePoint now) {
  const auto it = std::find_if(pendingAttempts_.begin(), pendingAttempts_.end(),
                               [&](const PendingAttempt& out) { return out.id == at; });
  if (it == pendingAttempts_.end()) return giveUp(ErrorKind::noEndpoint);
  const PendingAttempt tried = *it;
  pendingAttempts_.erase(it);
  bool arrived = false;
  ErrorKind without = anyOverloaded_ ? ErrorKind::overloaded : ErrorKind::noEndpoint;
  switch (outcome) {
    case AttemptOutcome::overloaded:
      --serversReached_;
      anyOverloaded_ = true;
      without = ErrorKind::overloaded;
      // One that refused even to queue it is out of the question.
      (tried.mayQueue ? excluded_ : overloaded_).push_back(tried.id);
      queueRefusals_ += tried.mayQueue ? 1 : 0;
      break;
    case AttemptOutcome::unavailable:
    case AttemptOutcome::unreachable:
      --serversReached_;
      excluded_.push_back(tried.id);
      break;
    case AttemptOutcome::notExecuted:
      excluded_.push_back(tried.id);
      arrived = true;
      without = ErrorKind::overloaded;
      break;
    case AttemptOutcome::maybeExecuted:
      anyMaybeExecuted_ = true;
      excluded_.push_back(tried.id);
      arrived = true;
      without = ErrorKind::possiblyExecuted;
      if (!policy_.idempotent) return giveUp(without);
      break;
  }
  if (hasPendingAttempt() || !policy_.replayable) return giveUp(without);
  if (arrived &&
      (serversReached_ >= policy_.maxAttempts || !retryBudget_.tryConsume(policy_.service, now))) {
    return giveUp(without);
  }
  return planNext(now);
}

void AttemptPlanner::onInterimResponse(const InstanceId& at) {
  for (auto& out : pendingAttempts_) {
    if (out.id == at) out.silent = false;
  }
}

PlannedAction AttemptPlanner::onAttemptSilent(const InstanceId& at, TimePoint now) {
  for (auto& out : pendingAttempts_) {
    if (out.id == at) out.silent = true;
  }
  PlannedAction stay;
  stay.kind = PlannedAction::Kind::wait;
  if (!policy_.idempotent || !policy_.replayable || hasPendingAttempt() ||
      serversReached_ >= policy_.maxAttempts) {
    return stay;
  }
  excluded_.push_back(at);
  const auto step = planNext(now);
  if (step.kind != PlannedAction::Kind::send) return stay;
  if (!retryBudget_.tryConsume(policy_.service, now)) {
    --serversReached_;
    pendingAttempts_.pop_back();
    return stay;
  }
  return step;
}

}  // namespace merlingauge::proxy
