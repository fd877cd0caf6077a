// errors: the closed list of error kinds and the one table from a kind to the HTTP response.
#pragma once

#include <cstdint>

namespace merlingauge {

/// Why a request is answered by this program itself and not by a server or with a result.
enum class ErrorKind : std::uint8_t {
  malformedRequest,        ///< the bytes are not a well-formed HTTP request
  headersTooLarge,         ///< the head exceeds the configured limit
  bodyTooLarge,            ///< the body exceeds the configured limit
  headerTimeout,           ///< the head did not arrive in time
  noRoute,                 ///< no route matches, by an up-to-date configuration
  unknownOperation,        ///< the control API has no such path
  methodNotAllowed,        ///< the control API has the path, with another method
  invalidJson,             ///< the body is not the JSON that the operation takes
  invalidConfig,           ///< the configuration breaks its schema or its references
  versionConflict,         ///< proven: the base revision is not in place and never will be again
  changeHistoryTruncated,  ///< the base revision is older than the history of changes reaches
  baseNotYetCommitted,     ///< the base revision is newer than the one in place
  noQuorum,                ///< no quorum of the voters answered in time; the outcome is unknown
  tooFewVoters,            ///< fewer voters than the fault tolerance asks for
  noConfiguration,         ///< this node has no configuration yet
  staleConfiguration,      ///< no route matches, but this node may not be up to date
  noEndpoint,              ///< no endpoint of the service can be reached
  overloaded,              ///< every endpoint rejected the request for lack of capacity
  attemptsTimedOut,        ///< the deadline passed and every attempt is proven not executed
  shuttingDown,            ///< this node is shutting down
  possiblyExecuted,        ///< an attempt failed after its request may have been executed
  deadlineExceeded,        ///< the deadline passed while an attempt may be executing
  incompatibleMessage,     ///< not a message of this system, or of an incompatible version
  internal,                ///< an error inside this node
};

/// How an error is put on the wire.
struct ErrorResponse {
  int status;             ///< HTTP status code
  const char* reason;     ///< HTTP reason phrase
  const char* message;    ///< text for the caller
  bool notExecuted;       ///< a promise: the request was not executed and never will be
  bool closesConnection;  ///< the connection can't be used for another request
  int retryAfterMs;       ///< Retry-After in milliseconds; 0: no such header
};

/// The response for an error kind. Total: every kind has one.
const ErrorResponse& responseFor(ErrorKind kind);

}  // namespace merlingauge
