// The closed list of error kinds and the one table from kind to answer.
#pragma once

#include <cstdint>

namespace merlingauge {

enum class ErrorKind : std::uint8_t {
  malformedRequest,
  headersTooLarge,
  bodyTooLarge,
  headerTimeout,
  noRoute,
  unknownOperation,
  methodNotAllowed,
  invalidJson,
  invalidConfig,
  versionConflict,
  changeHistoryTruncated,
  baseNotYetCommitted,
  noQuorum,
  tooFewVoters,
  noConfiguration,
  staleConfiguration,
  noEndpoint,
  overloaded,
  attemptsTimedOut,
  shuttingDown,
  possiblyExecuted,
  deadlineExceeded,
  incompatibleMessage,
  internal,
  count_,
};

struct ErrorResponse {
  int status;
  const char* reason;     // the HTTP reason phrase
  const char* message;    // what the caller reads
  bool notExecuted;       // a promise: the request has not run and never will
  bool closesConnection;  // the connection can't go on
  int retryAfterMs;       // 0: no Retry-After
};

const ErrorResponse& responseFor(ErrorKind kind);

}  // namespace merlingauge
