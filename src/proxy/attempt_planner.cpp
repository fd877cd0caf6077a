#include "proxy/attempt_planner.hpp"

#include <algorithm>
#include <utility>

namespace merlingauge::proxy {

namespace {
// Attempts for one request, whatever became of them: it ends, though instances come and go.
constexpr int kMaxPlans = 12;
// If so many instances can't queue it in time, nor can the others.
constexpr int kMaxQueueRejections = 3;
// So many instances are asked for a free slot before the next may queue the request.
constexpr int kRejectionsBeforeQueueing = 2;
// Shares of its slots up to which a near instance is preferred to one of another zone:
constexpr double kNearForFreeSlot = 0.9;  // while it may have a free slot,
constexpr double kNearBeforeFar = 1.25;   // before a far instance with a free slot is asked,
constexpr double kNearForQueueing = 1.5;  // where the request has to queue anyway.

bool anyNear(const std::vector<Candidate>& candidates, double share) {
  return std::any_of(candidates.begin(), candidates.end(),
                     [share](const Candidate& one) { return one.hasLocalCapacity(share); });
}

// The one exception to drawing from all: while instances in this zone have room, only they are
// drawn from, since traffic between zones is paid for.
void preferNear(std::vector<Candidate>& candidates, double share) {
  if (!anyNear(candidates, share)) return;
  std::erase_if(candidates, [share](const Candidate& one) { return !one.hasLocalCapacity(share); });
}

bool contains(const std::vector<InstanceId>& ids, const InstanceId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

PlannedAction wait() {
  PlannedAction action;
  action.kind = PlannedAction::Kind::wait;
  return action;
}
}  // namespace

AttemptPlanner::AttemptPlanner(RequestPolicy policy, CandidateSource& candidates,
                               DAdaptivePicker& picker, RetryBudget& retryBudget)
    : policy_(std::move(policy)),
      candidates_(candidates),
      picker_(picker),
      retryBudget_(retryBudget) {}

PlannedAction AttemptPlanner::start(TimePoint now) {
  retryBudget_.onFirstAttempt(policy_.service, now);
  return planNext(now);
}

void AttemptPlanner::setSilent(const InstanceId& id, bool silent) {
  for (auto& attempt : pending_) {
    if (attempt.id == id) attempt.silent = silent;
  }
}

// Its response is awaited before anything else is done.
bool AttemptPlanner::hasResponsiveAttempt() const {
  return std::any_of(pending_.begin(), pending_.end(),
                     [](const PendingAttempt& attempt) { return !attempt.silent; });
}

ErrorKind AttemptPlanner::nothingLeft() const {
  return anyOverloaded_ ? ErrorKind::overloaded : ErrorKind::noEndpoint;
}

PlannedAction AttemptPlanner::giveUp(ErrorKind kind) const {
  // No error of this node's own while an instance may be at work on the request: the client gets
  // exactly one response, and it is the instance's if one comes.
  if (!pending_.empty()) return wait();
  PlannedAction action;
  // Once an instance may have executed it, no error may promise that it has not.
  action.error = anyMaybeExecuted_ ? ErrorKind::possiblyExecuted : kind;
  return action;
}

ErrorKind AttemptPlanner::errorAtDeadline(bool sent) const {
  return sent || anyMaybeExecuted_ ? ErrorKind::deadlineExceeded : ErrorKind::attemptsTimedOut;
}

PlannedAction AttemptPlanner::planNext(TimePoint now) {
  if (now >= policy_.deadline) return giveUp(ErrorKind::attemptsTimedOut);
  if (++plans_ > kMaxPlans) return giveUp(nothingLeft());
  auto choice = remainingCandidates(now);
  const bool queueing = mayQueue(choice);
  auto& from = queueing ? choice.queueable : choice.free;
  if (from.empty() || queueRejections_ >= kMaxQueueRejections) return giveUp(nothingLeft());
  preferNear(from, queueing ? kNearForQueueing : kNearForFreeSlot);
  std::vector<QueueSample> samples;
  samples.reserve(from.size());
  for (const auto& candidate : from) samples.push_back({candidate.load + candidate.peerLoad});
  return send(from[picker_.pick(samples).index], queueing);
}

AttemptPlanner::Choice AttemptPlanner::remainingCandidates(TimePoint now) {
  Choice choice;
  for (const auto& candidate : candidates_.candidates(policy_.service, !policy_.idempotent, now)) {
    if (contains(excluded_, *candidate.id)) continue;
    if (policy_.maxLoadPerSlot > 0 && candidate.load >= policy_.maxLoadPerSlot * candidate.slots) {
      anyOverloaded_ = true;
      continue;
    }
    if (candidate.load < candidate.slots && !contains(overloaded_, *candidate.id)) {
      choice.free.push_back(candidate);
    }
    choice.queueable.push_back(candidate);
  }
  return choice;
}

bool AttemptPlanner::mayQueue(const Choice& choice) const {
  // A short queue nearby is preferred to a free slot in another zone.
  const bool shortQueueNear =
      !anyNear(choice.free, 1.0) && anyNear(choice.queueable, kNearBeforeFar);
  return shortQueueNear || choice.free.empty() ||
         static_cast<int>(overloaded_.size()) >= kRejectionsBeforeQueueing;
}

PlannedAction AttemptPlanner::send(const Candidate& candidate, bool mayQueue) {
  PlannedAction action;
  action.kind = PlannedAction::Kind::send;
  action.candidate = candidate;
  action.mayQueue = mayQueue;
  pending_.push_back({*candidate.id, mayQueue, false});
  ++instancesReached_;
  return action;
}

PlannedAction AttemptPlanner::onAttemptEnded(const InstanceId& id, AttemptOutcome outcome,
                                             TimePoint now) {
  const auto pending = std::find_if(pending_.begin(), pending_.end(),
                                    [&](const PendingAttempt& one) { return one.id == id; });
  if (pending == pending_.end()) return giveUp(ErrorKind::noEndpoint);
  const PendingAttempt attempt = *pending;
  pending_.erase(pending);
  const ErrorKind error = errorWithoutMoreAttempts(outcome);
  const bool reachedInstance = recordOutcome(attempt, outcome);
  // Invariant: what may have been executed and may not be repeated is offered to nobody else.
  if (outcome == AttemptOutcome::maybeExecuted && !policy_.idempotent) return giveUp(error);
  if (hasResponsiveAttempt() || !policy_.replayable) return giveUp(error);
  // Attempts that no instance has seen cost the service nothing, so they are free.
  if (reachedInstance && (instancesReached_ >= policy_.maxAttempts ||
                          !retryBudget_.tryConsume(policy_.service, now))) {
    return giveUp(error);
  }
  return planNext(now);
}

ErrorKind AttemptPlanner::errorWithoutMoreAttempts(AttemptOutcome outcome) const {
  switch (outcome) {
    case AttemptOutcome::overloaded:
    case AttemptOutcome::notExecuted:
      return ErrorKind::overloaded;
    case AttemptOutcome::maybeExecuted:
      return ErrorKind::possiblyExecuted;
    case AttemptOutcome::unavailable:
    case AttemptOutcome::unreachable:
      break;
  }
  return nothingLeft();
}

// True if the attempt reached an instance.
bool AttemptPlanner::recordOutcome(const PendingAttempt& attempt, AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::overloaded:
      anyOverloaded_ = true;
      // One that rejected even to queue it is out of the question.
      (attempt.mayQueue ? excluded_ : overloaded_).push_back(attempt.id);
      queueRejections_ += attempt.mayQueue ? 1 : 0;
      --instancesReached_;
      return false;
    case AttemptOutcome::unavailable:
    case AttemptOutcome::unreachable:
      excluded_.push_back(attempt.id);
      --instancesReached_;
      return false;
    case AttemptOutcome::notExecuted:
      excluded_.push_back(attempt.id);
      return true;
    case AttemptOutcome::maybeExecuted:
      anyMaybeExecuted_ = true;
      excluded_.push_back(attempt.id);
      return true;
  }
  return true;
}

void AttemptPlanner::onInterimResponse(const InstanceId& id) { setSilent(id, false); }

// Hedging may execute the request twice, so it is for idempotent ones only.
bool AttemptPlanner::mayHedge() const {
  return policy_.idempotent && policy_.replayable && !hasResponsiveAttempt() &&
         instancesReached_ < policy_.maxAttempts;
}

PlannedAction AttemptPlanner::onAttemptSilent(const InstanceId& id, TimePoint now) {
  setSilent(id, true);
  if (!mayHedge()) return wait();
  excluded_.push_back(id);
  const auto action = planNext(now);
  if (action.kind != PlannedAction::Kind::send) return wait();
  if (!retryBudget_.tryConsume(policy_.service, now)) {
    --instancesReached_;
    pending_.pop_back();
    return wait();
  }
  return action;
}

}  // namespace merlingauge::proxy
