// ascent: one request from its route to its answer, as decisions. It is told what became of each
// try and says what to do next. The egress carries it out; the test runner does too.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "errors.hpp"
#include "request/toll.hpp"
#include "request/wayfinder.hpp"
#include "units.hpp"

namespace merlin::trail {

// A server this node may choose. Good until the loop's next turn: nothing is copied.
struct Candidate {
  const InstanceId* id = nullptr;
  const void* where = nullptr;  // the owner's own
  double jobs = 0;              // as far as this node can tell
  double steady = 0;            // what others that draw from it are likely to have there
  int slots = 1;
  bool near = true;  // in this node's zone
  [[nodiscard]] bool hasRoomNear(double room) const { return near && jobs < room * slots; }
};

enum class Outcome : std::uint8_t {
  full,         // not passed on: the server's slots are taken
  notThere,     // not passed on: draining, unknown there, or not to be reached
  unreachable,  // nothing left this node
  turnedAway,   // the server itself said that it did not run it
  maybeRun,     // it may have run, and there is no whole answer
};

struct Terms {
  ServiceName service;
  bool idempotent = false;
  int maxAttempts = 1;
  Instant deadline;
  bool replayable = true;  // the body is still held
  double mostJobs = 0;  // a server with more jobs than so many slots' worth is left alone; 0: any
};

struct Step {
  // wait: another try is out, and its answer is still owed.
  enum class Do : std::uint8_t { send, wait, answer };
  Do what = Do::answer;
  Candidate to;
  bool mayWait = false;
  ErrorKind error = ErrorKind::noServer;
};

class Ascent {
 public:
  using Candidates = std::function<const std::vector<Candidate>&()>;
  Ascent(Terms terms, Candidates candidates, Wayfinder& wayfinder, Toll& toll);

  Step begin(Instant now);
  // What became of the try at `at`; without one, of the newest.
  Step after(const InstanceId& at, Outcome outcome, Instant now);
  Step after(Outcome outcome, Instant now);
  // The try at `at` shows no sign of life. It stays out, for its answer is owed; whether another
  // goes out beside it is the retry budget's to say.
  Step silent(const InstanceId& at, Instant now);
  void sign(const InstanceId& at);
  void bodyLost() { terms_.replayable = false; }
  // The deadline passed while a try was out.
  [[nodiscard]] ErrorKind atDeadline(bool sent) const;

 private:
  // A try that is out.
  struct Out {
    InstanceId id;
    bool mayWait = false;
    bool silent = false;
  };
  Step next(Instant now);
  [[nodiscard]] bool inHand() const;
  [[nodiscard]] bool avoids(const InstanceId& id) const;
  [[nodiscard]] bool knownFull(const InstanceId& id) const;
  Step giveUp(ErrorKind kind) const;

  Terms terms_;
  Candidates candidates_;
  Wayfinder& wayfinder_;
  Toll& toll_;
  std::vector<InstanceId> avoid_;  // can't be had for this request
  std::vector<InstanceId> full_;   // had no free slot
  std::vector<Out> out_;
  int arrivals_ = 0;  // servers that may have seen it
  int hops_ = 0;
  int queueRefusals_ = 0;
  bool anyRun_ = false;
  bool anyFull_ = false;
};

}  // namespace merlin::trail
