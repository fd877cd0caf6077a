// response_log: one log line on how the response of an instance ended.
#pragma once

#include <optional>
#include <string>

#include "base/ids.hpp"
#include "http/message_end.hpp"

namespace merlingauge::proxy {

/// The two places that receive responses; also the source in log lines and metrics.
enum class ResponseHop : std::uint8_t {
  egress,   ///< from the node beside the instance, or at an edge from the instance itself
  ingress,  ///< from the instance beside this node
};

/// "egress" or "ingress".
const char* nameOf(ResponseHop hop);

/// Counts a response that has ended and writes its line: a warning where it was broken off by the
/// other side, else at debug. Nothing where no head of a response had come.
void recordResponseEnd(ResponseHop hop, const std::string& attemptId, const InstanceId& instance,
                       const std::optional<http::MessageSummary>& summary,
                       http::MessageEndCounts& counts);

}  // namespace merlingauge::proxy
