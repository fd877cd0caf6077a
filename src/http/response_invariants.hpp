// response_invariants: what holds of every response that this process sends, checked while it runs.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace merlingauge::http {

/// Each is checked where the response would be sent; one that is violated is not sent as whole.
enum class ResponseInvariant : std::uint8_t {
  answersItsRequest,    ///< a response repeats the Attempt-Id of its request
  sourceIsWhole,        ///< what is relayed is ended in order only if its source ended whole
  bodyIsTheSources,     ///< and has as many body bytes as were received
  declaredLength,       ///< a body has as many bytes as its head declares
  framedBeforeClose,    ///< to a caller of HTTP/1.1, no body ends by the close of the connection
  partialEndsInReset,   ///< a part of a body that a close would complete ends in a reset
  nodesFrameResponses,  ///< no response of another node ends by the close of the connection
  successIsSealed,      ///< a success that goes to a client has its instance's seal
  headIsWritable,  ///< a head, of a request too, is read back as the fields it was written from
  count
};

constexpr std::array<ResponseInvariant, static_cast<std::size_t>(ResponseInvariant::count)>
    kResponseInvariants = {
        ResponseInvariant::answersItsRequest,   ResponseInvariant::sourceIsWhole,
        ResponseInvariant::bodyIsTheSources,    ResponseInvariant::declaredLength,
        ResponseInvariant::framedBeforeClose,   ResponseInvariant::partialEndsInReset,
        ResponseInvariant::nodesFrameResponses, ResponseInvariant::successIsSealed,
        ResponseInvariant::headIsWritable};

/// The invariant in snake case, for metrics and the status.
const char* nameOf(ResponseInvariant invariant);

/// Counts violations since the start of the process, over all connections, and logs each as an
/// error. One object a process, shared by its listeners and pools. Event-loop thread only.
class ResponseInvariantCounters {
 public:
  /// Counts and logs a violation. `detail` is for the log.
  void recordViolation(ResponseInvariant invariant, const std::string& detail);

  [[nodiscard]] std::uint64_t violations(ResponseInvariant invariant) const;
  [[nodiscard]] std::uint64_t totalViolations() const;

 private:
  std::array<std::uint64_t, kResponseInvariants.size()> violations_{};
};

}  // namespace merlingauge::http
