#include "http/response_invariants.hpp"

#include <Poco/Logger.h>

#include <numeric>

namespace merlingauge::http {

const char* nameOf(ResponseInvariant invariant) {
  switch (invariant) {
    case ResponseInvariant::answersItsRequest:
      return "answers_its_request";
    case ResponseInvariant::sourceIsWhole:
      return "source_is_whole";
    case ResponseInvariant::bodyIsTheSources:
      return "body_is_the_sources";
    case ResponseInvariant::declaredLength:
      return "declared_length";
    case ResponseInvariant::framedBeforeClose:
      return "framed_before_close";
    case ResponseInvariant::partialEndsInReset:
      return "partial_ends_in_reset";
    case ResponseInvariant::nodesFrameResponses:
      return "nodes_frame_responses";
    case ResponseInvariant::successIsSealed:
      return "success_is_sealed";
    case ResponseInvariant::headIsWritable:
      return "head_is_writable";
    case ResponseInvariant::count:
      break;
  }
  return "";
}

void ResponseInvariantCounters::recordViolation(ResponseInvariant invariant,
                                                const std::string& detail) {
  ++violations_.at(static_cast<std::size_t>(invariant));
  Poco::Logger::get("http").error(std::string("invariant ") + nameOf(invariant) +
                                  " is violated: " + detail);
}

std::uint64_t ResponseInvariantCounters::violations(ResponseInvariant invariant) const {
  return violations_.at(static_cast<std::size_t>(invariant));
}

std::uint64_t ResponseInvariantCounters::totalViolations() const {
  return std::accumulate(violations_.begin(), violations_.end(), std::uint64_t{0});
}

}  // namespace merlingauge::http
