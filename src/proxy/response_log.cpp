#include "proxy/response_log.hpp"

#include <Poco/Logger.h>

namespace merlingauge::proxy {

using http::MessageEnd;

namespace {
// A response that this side has given up says nothing about the instance or the link.
bool isBrokenOffByPeer(MessageEnd end) {
  return !http::isWhole(end) && end != MessageEnd::abandoned;
}

// Looked up once: Logger::get takes a lock that all loggers share, and this is called per response.
Poco::Logger& loggerOf(ResponseHop hop) {
  static auto& egress = Poco::Logger::get("egress");
  static auto& ingress = Poco::Logger::get("ingress");
  return hop == ResponseHop::egress ? egress : ingress;
}
}  // namespace

const char* nameOf(ResponseHop hop) { return hop == ResponseHop::egress ? "egress" : "ingress"; }

void recordResponseEnd(ResponseHop hop, const std::string& attemptId, const InstanceId& instance,
                       const std::optional<http::MessageSummary>& summary,
                       http::MessageEndCounts& counts) {
  if (!summary) return;
  counts.add(*summary);
  auto& logger = loggerOf(hop);
  const bool brokenOff = isBrokenOffByPeer(summary->end);
  if (!brokenOff && !logger.debug()) return;
  const auto line =
      "response to " + attemptId + " from " + instance.str() + ": " + http::describe(*summary);
  if (brokenOff) {
    logger.warning(line);
  } else {
    logger.debug(line);
  }
}

}  // namespace merlingauge::proxy
