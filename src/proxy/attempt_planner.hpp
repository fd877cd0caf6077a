// attempt_planner.hpp: decides, attempt by attempt, where one request goes until it has a response.
#pragma once

#include <cstdint>
#include <vector>

#include "base/errors.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "proxy/d_adaptive_picker.hpp"
#include "proxy/retry_budget.hpp"

namespace merlingauge::proxy {

/// An instance this node may choose. Its pointers are good until the loop's next turn: nothing is
/// copied on the way of a request.
struct Candidate {
  const InstanceId* id = nullptr;
  const void* endpoint = nullptr;  ///< the candidate source's own
  double load = 0;                 ///< requests there, as far as this node can tell
  double peerLoad = 0;             ///< requests that other nodes are likely to have there by now
  int slots = 1;                   ///< requests it runs at a time
  bool sameZone = true;            ///< in this node's zone
  /// In this zone, and loaded below `share` of its slots.
  [[nodiscard]] bool hasLocalCapacity(double share) const {
    return sameZone && load < share * slots;
  }
};

/// Where the planner has its candidates from.
class CandidateSource {
 public:
  virtual ~CandidateSource() = default;
  /// The instances of `service` to choose from now. `nonIdempotent`: without those whose
  /// reachability is in doubt. The list is the source's own, and good until the next call.
  virtual const std::vector<Candidate>& candidates(const ServiceName& service, bool nonIdempotent,
                                                   TimePoint now) = 0;
};

/// How an attempt ended without a response for the client.
enum class AttemptOutcome : std::uint8_t {
  overloaded,     ///< not passed on: the instance's slots are taken
  unavailable,    ///< not passed on: draining, unknown there, or not to be reached
  unreachable,    ///< nothing left this node
  notExecuted,    ///< the instance itself said that it did not execute it
  maybeExecuted,  ///< it may have been executed, and there is no whole response
};

/// What the route asks for one request.
struct RequestPolicy {
  ServiceName service;
  bool idempotent = false;
  int maxAttempts = 1;  ///< instances that may see the request, the first included
  TimePoint deadline;
  bool replayable = true;     ///< the body is still held, so it can be sent again
  double maxLoadPerSlot = 0;  ///< an instance with this load per slot is left alone; 0: no bound
};

/// What to do next for the request.
struct PlannedAction {
  enum class Kind : std::uint8_t {
    send,     ///< an attempt to `candidate`
    wait,     ///< another attempt is pending, and its response is still owed
    respond,  ///< with `error`
  };
  Kind kind = Kind::respond;
  Candidate candidate;
  bool mayQueue = false;  ///< the attempt may wait for a slot
  ErrorKind error = ErrorKind::noEndpoint;
};

/// State machine of one request, without a clock or input and output: it is told what became of
/// each attempt and returns what to do next. The egress carries it out; so does the simulation.
///
/// Keeps the second invariant of docs/design.md, "What holds on every connection": bytes of a
/// request that may not be repeated are offered to one instance at most, unless that has proven
/// that it did not execute it. And an error that promises "not executed" is returned only if every
/// attempt ended with such a proof.
class AttemptPlanner {
 public:
  /// The references must outlive the planner.
  AttemptPlanner(RequestPolicy policy, CandidateSource& candidates, DAdaptivePicker& picker,
                 RetryBudget& retryBudget);

  /// The first attempt.
  PlannedAction start(TimePoint now);
  /// The attempt at `id` has ended without a response for the client.
  PlannedAction onAttemptEnded(const InstanceId& id, AttemptOutcome outcome, TimePoint now);
  /// The attempt at `id` shows no sign of life. It stays pending, for its response is owed; whether
  /// another goes out beside it (hedging) is the retry budget's to say.
  PlannedAction onAttemptSilent(const InstanceId& id, TimePoint now);
  /// The attempt at `id` shows life.
  void onInterimResponse(const InstanceId& id);
  /// The body is too long to be held any more.
  void onBodyDiscarded() { policy_.replayable = false; }
  /// The error for a deadline that passed. `sent`: a pending attempt may have left this machine.
  [[nodiscard]] ErrorKind errorAtDeadline(bool sent) const;

 private:
  struct PendingAttempt {
    InstanceId id;
    bool mayQueue = false;
    bool silent = false;
  };
  /// The candidates that are left for this request.
  struct Choice {
    std::vector<Candidate> free;       // neither tried nor known to be full
    std::vector<Candidate> queueable;  // all that may still be asked to queue it
  };
  PlannedAction planNext(TimePoint now);
  Choice remainingCandidates(TimePoint now);
  [[nodiscard]] bool mayQueue(const Choice& choice) const;
  PlannedAction send(const Candidate& candidate, bool mayQueue);
  bool recordOutcome(const PendingAttempt& attempt, AttemptOutcome outcome);
  [[nodiscard]] ErrorKind errorWithoutMoreAttempts(AttemptOutcome outcome) const;
  PlannedAction giveUp(ErrorKind kind) const;
  void setSilent(const InstanceId& id, bool silent);
  [[nodiscard]] bool mayHedge() const;
  [[nodiscard]] bool hasResponsiveAttempt() const;
  [[nodiscard]] ErrorKind nothingLeft() const;

  RequestPolicy policy_;
  CandidateSource& candidates_;
  DAdaptivePicker& picker_;
  RetryBudget& retryBudget_;
  std::vector<InstanceId> excluded_;    // not to be asked again for this request
  std::vector<InstanceId> overloaded_;  // had no free slot; may still be asked to queue it
  std::vector<PendingAttempt> pending_;
  int instancesReached_ = 0;       // that may have seen the request
  int plans_ = 0;                  // how often a next attempt was looked for
  int queueRejections_ = 0;        // instances that could not even queue it
  bool anyMaybeExecuted_ = false;  // never reset: no later outcome undoes it
  bool anyOverloaded_ = false;
};

}  // namespace merlingauge::proxy
