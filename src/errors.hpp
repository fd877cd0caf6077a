// The closed list of error kinds and the one table from kind to answer.
#pragma once

#include <cstdint>

namespace merlin {

enum class ErrorKind : std::uint8_t {
  badFraming,
  headTooLarge,
  bodyTooLarge,
  headTooSlow,
  noRoute,
  unknownCall,
  wrongMethod,
  badJson,
  invalidConfig,
  otherVersion,
  orderForgotten,
  baseAhead,
  noMajority,
  fewVoters,
  noConfig,
  behind,
  noServer,
  overloaded,
  timeUp,
  stopping,
  maybeRun,
  deadline,
  foreignMessage,
  internal,
  count_,
};

struct ErrorAnswer {
  int status;
  const char* reason;  // the HTTP reason phrase
  const char* text;    // what the caller reads
  bool notRun;         // a promise: the request has not run and never will
  bool close;          // the connection can't go on
  int retryAfterMs;    // 0: no Retry-After
};

const ErrorAnswer& answerFor(ErrorKind kind);

}  // namespace merlin
