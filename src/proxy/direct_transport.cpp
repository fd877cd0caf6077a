#include "proxy/direct_transport.hpp"

#include <algorithm>
#include <string_view>

#include "proxy/header_number.hpp"
#include "proxy/server_response.hpp"
#include "proxy/service_headers.hpp"

namespace merlingauge::proxy {

using Poco::Net::HTTPResponse;
using Poco::Net::SocketAddress;

namespace {
// Load (requests) assumed of an instance that rejects a request and doesn't say how many it has: it
// is full and has a queue of some length.
constexpr double kLoadWhenRejecting = 4;
// The address belongs to another instance than the expected one.
constexpr int kMisdirected = 421;

// Running and waiting of `Instance-Load: running,waiting,slots`.
std::optional<double> reportedLoad(const HTTPResponse& response) {
  const std::string text = response.get(service_headers::kInstanceLoad, "");
  const auto comma = text.find(',');
  if (comma == std::string::npos) return std::nullopt;
  const auto running = leadingNumber<double>(text);
  const auto waiting = leadingNumber<double>(std::string_view(text).substr(comma + 1));
  if (!running || !waiting) return std::nullopt;
  return std::max(0.0, *running + *waiting);
}
}  // namespace

SocketAddress DirectTransport::address(const membership::Instance& server) const {
  return SocketAddress(server.address);
}

ResponseInfo DirectTransport::readResponse(const HTTPResponse& response) const {
  ResponseInfo info;
  info.reportedLoad = reportedLoad(response);
  if (isNotExecuted(response)) {
    info.rejection = AttemptOutcome::notExecuted;
    info.instanceGone = response.getStatus() == kMisdirected;
    if (!info.instanceGone && !info.reportedLoad) info.reportedLoad = kLoadWhenRejecting;
    return info;
  }
  if (isUnsealedSuccess(response)) info.rejection = AttemptOutcome::maybeExecuted;
  info.loadIncludesThisRequest = true;
  info.success = !isServerFailure(response) && !info.rejection;
  return info;
}

}  // namespace merlingauge::proxy
