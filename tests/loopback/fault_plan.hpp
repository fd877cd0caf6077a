// fault_plan.hpp: the one fault of a case of the fault matrix, and the step at which it happens.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace merlingauge::test {

/// How far a connection and the request on it have got; in their order in time.
enum class Step : std::uint8_t {
  opened,
  firstByte,
  head,
  halfBody,
  completeRequest,
  interim,
  responseFirstByte,
  responseHead,
  responseHalf,
  responseAllButLastByte,
  responseEnd,
  count  // not one of them: how many there are
};
/// The names of the steps in the names of cases.
constexpr std::array<const char*, static_cast<std::size_t>(Step::count)> kStepNames = {
    "opened",      "first-byte",  "head",        "half-body",   "whole", "interim",
    "answer-byte", "answer-head", "answer-half", "answer-last", "end"};

/// What a link does to a connection, to its address or to a response.
enum class Fault : std::uint8_t {
  silence,              ///< relays nothing on one connection for a while
  frozen,               ///< relays nothing at all for longer than every deadline
  reset,                ///< resets both sides
  close,                ///< closes both sides
  halfCloseDownstream,  ///< ends the direction towards the client
  halfCloseUpstream,    ///< ends the direction towards the server
  killed,               ///< refuses connections for a moment
  addressTakenOver,     ///< somebody else has the address from now on
  ownResponse,          ///< answers in the server's place
  strayResponse,        ///< sends a response to another request
  surplusBytes,         ///< sends bytes that belong to no response
  otherAttemptId,       ///< replaces the response by that to another request
  missingAttemptId,     ///< removes the Attempt-Id from the response
  count                 // not one of them: how many there are
};

/// Shared by the links of a case; at most one of them injects the fault. Event-loop thread.
struct FaultPlan {
  Step step = Step::opened;
  Fault fault = Fault::silence;
  std::string targetId;  ///< the Attempt-Id of the request that it waits for
  bool isLongResponse = false;
  bool armed = false;
  bool injected = false;
  bool ended = false;  ///< everything works again
  /// The fault changes a response rather than the connection.
  [[nodiscard]] bool replacesResponse() const {
    return fault == Fault::otherAttemptId || fault == Fault::missingAttemptId;
  }
};

}  // namespace merlingauge::test
