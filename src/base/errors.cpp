#include "base/errors.hpp"

#include <array>
#include <cstddef>

namespace merlingauge {

namespace {
struct TableRow {
  ErrorKind kind;
  ErrorResponse response;
};

constexpr std::array kTable = {
    TableRow{ErrorKind::malformedRequest,
             {400, "Bad Request", "the request is not well formed", true, true, 0}},
    TableRow{ErrorKind::headersTooLarge,
             {431, "Request Header Fields Too Large", "the head is too large", true, true, 0}},
    TableRow{ErrorKind::bodyTooLarge,
             {413, "Payload Too Large", "the body is too large", true, true, 0}},
    TableRow{ErrorKind::headerTimeout,
             {408, "Request Timeout", "the head took too long", true, true, 0}},
    TableRow{ErrorKind::noRoute,
             {404, "Not Found", "no route for this host and path", true, false, 0}},
    TableRow{ErrorKind::unknownOperation, {404, "Not Found", "no such call", true, false, 0}},
    TableRow{ErrorKind::methodNotAllowed,
             {405, "Method Not Allowed", "this call wants another method", true, false, 0}},
    TableRow{ErrorKind::invalidJson,
             {400, "Bad Request", "the body is not the JSON this call wants", true, false, 0}},
    TableRow{ErrorKind::invalidConfig,
             {400, "Bad Request", "the configuration is invalid", true, false, 0}},
    TableRow{ErrorKind::versionConflict,
             {412, "Precondition Failed", "another version is in place", true, false, 0}},
    TableRow{
        ErrorKind::changeHistoryTruncated,
        {503, "Service Unavailable", "too old to tell whether it was taken", false, false, 1000}},
    TableRow{ErrorKind::baseNotYetCommitted,
             {503, "Service Unavailable", "the version it builds on is not in place yet", false,
              false, 200}},
    TableRow{ErrorKind::noQuorum,
             {503, "Service Unavailable", "no majority of the core answered", false, false, 200}},
    TableRow{ErrorKind::tooFewVoters,
             {503, "Service Unavailable", "too few voters yet for the losses to be borne", true,
              false, 200}},
    TableRow{ErrorKind::noConfiguration,
             {503, "Service Unavailable", "this node has no configuration yet", true, false, 200}},
    TableRow{ErrorKind::staleConfiguration,
             {503, "Service Unavailable", "no such route here, and this node may be behind", true,
              false, 200}},
    TableRow{ErrorKind::noEndpoint,
             {503, "Service Unavailable", "no server can be reached", true, false, 150}},
    TableRow{ErrorKind::overloaded,
             {503, "Service Unavailable", "all servers are busy", true, false, 150}},
    TableRow{ErrorKind::attemptsTimedOut,
             {503, "Service Unavailable", "no server came free in time", true, false, 100}},
    TableRow{ErrorKind::shuttingDown,
             {503, "Service Unavailable", "this node is stopping", true, true, 50}},
    TableRow{
        ErrorKind::possiblyExecuted,
        {502, "Bad Gateway", "the server broke off; the request may have run", false, false, 0}},
    TableRow{ErrorKind::deadlineExceeded,
             {504, "Gateway Timeout", "the deadline passed", false, false, 0}},
    TableRow{ErrorKind::incompatibleMessage,
             {400, "Bad Request", "not a message of this system", true, true, 0}},
    TableRow{ErrorKind::internal,
             {500, "Internal Server Error", "an error inside this node", false, true, 0}},
};

// A row is found by its kind as index, so the rows have to stand in the order of the enumerators.
constexpr bool rowsInOrder() {
  for (std::size_t index = 0; index < kTable.size(); ++index) {
    if (kTable[index].kind != static_cast<ErrorKind>(index)) return false;
  }
  return kTable.back().kind == ErrorKind::internal;
}
static_assert(rowsInOrder(), "every error kind has its row, in the order of the enumerators");
}  // namespace

const ErrorResponse& responseFor(ErrorKind kind) {
  return kTable.at(static_cast<std::size_t>(kind)).response;
}

}  // namespace merlingauge
