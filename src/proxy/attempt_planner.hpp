// ascent: one request from its route to its answer, as decisions. It is told what became of each
// try and says what to do next. The egress carries it out; the test runner does too.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/errors.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "proxy/d_adaptive_picker.hpp"
#include "proxy/retry_budget.hpp"

namespace merlingauge::proxy {

// A server this node may choose. Good until the loop's next turn: nothing is copied.
struct Candidate {
  const InstanceId* id = nullptr;
  const void* endpoint = nullptr;  // the owner's own
  double load = 0;                 // as far as this node can tell
  double peerLoad = 0;             // what others that draw from it are likely to have there
  int slots = 1;
  bool sameZone = true;  // in this node's zone
  [[nodiscard]] bool hasLocalCapacity(double room) const { return sameZone && load < room * slots; }
};

enum class AttemptOutcome : std::uint8_t {
  overloaded,     // not passed on: the server's slots are taken
  unavailable,    // not passed on: draining, unknown there, or not to be reached
  unreachable,    // nothing left this node
  notExecuted,    // the server itself said that it did not run it
  maybeExecuted,  // it may have run, and there is no whole answer
};

struct RequestPolicy {
  ServiceName service;
  bool idempotent = false;
  int maxAttempts = 1;
  TimePoint deadline;
  bool replayable = true;  // the body is still held
  double maxLoadPerSlot =
      0;  // a server with more jobs than so many slots' worth is left alone; 0: any
};

struct PlannedAction {
  // wait: another try is out, and its answer is still owed.
  enum class Kind : std::uint8_t { send, wait, respond };
  Kind kind = Kind::respond;
  Candidate candidate;
  bool mayQueue = false;
  ErrorKind error = ErrorKind::noEndpoint;
};

class AttemptPlanner {
 public:
  using Candidates = std::function<const std::vector<Candidate>&()>;
  AttemptPlanner(RequestPolicy terms, Candidates candidates, DAdaptivePicker& picker,
                 RetryBudget& retryBudget);

  PlannedAction start(TimePoint now);
  // What became of the try at `at`; without one, of the newest.
  PlannedAction onAttemptEnded(const InstanceId& at, AttemptOutcome outcome, TimePoint now);
  PlannedAction onAttemptEnded(AttemptOutcome outcome, TimePoint now);
  // The try at `at` shows no sign of life. It stays out, for its answer is owed; whether another
  // goes out beside it is the retry budget's to say.
  PlannedAction onAttemptSilent(const InstanceId& at, TimePoint now);
  void onInterimResponse(const InstanceId& at);
  void onBodyDiscarded() { policy_.replayable = false; }
  // The deadline passed while a try was out.
  [[nodiscard]] ErrorKind errorAtDeadline(bool sent) const;

 private:
  // A try that is out.
  struct PendingAttempt {
    InstanceId id;
    bool mayQueue = false;
    bool silent = false;
  };
  PlannedAction planNext(TimePoint now);
  [[nodiscard]] bool hasPendingAttempt() const;
  [[nodiscard]] bool isExcluded(const InstanceId& id) const;
  [[nodiscard]] bool isKnownOverloaded(const InstanceId& id) const;
  PlannedAction giveUp(ErrorKind kind) const;

  RequestPolicy policy_;
  Candidates candidates_;
  DAdaptivePicker& picker_;
  RetryBudget& retryBudget_;
  std::vector<InstanceId> excluded_;    // can't be had for this request
  std::vector<InstanceId> overloaded_;  // had no free slot
  std::vector<PendingAttempt> pendingAttempts_;
  int serversReached_ = 0;  // servers that may have seen it
  int attempts_ = 0;
  int queueRefusals_ = 0;
  bool anyMaybeExecuted_ = false;
  bool anyOverloaded_ = false;
};

}  // namespace merlingauge::proxy
