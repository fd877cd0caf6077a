#include "proxy/upstream_transport.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "proxy/peer_headers.hpp"

namespace merlingauge::proxy {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Poco::Net::SocketAddress;

namespace {
constexpr double kFullWaits = 4;  // a server that turns away has a queue of some length

// The first number of a list; nothing where there is none.
std::optional<double> firstOf(const std::string& text) {
  double out = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), out);
  if (read.ec != std::errc() || !std::isfinite(out)) return std::nullopt;
  return out;
}

// Running and waiting of `Instance-Load: running,waiting,slots`.
std::optional<double> jobsTold(const HTTPResponse& response) {
  const std::string text = response.get("Instance-Load", "");
  const auto comma = text.find(',');
  if (comma == std::string::npos) return std::nullopt;
  const auto running = firstOf(text);
  const auto waiting = firstOf(text.substr(comma + 1));
  if (!running || !waiting) return std::nullopt;
  return std::max(0.0, *running + *waiting);
}

bool serverFailed(const HTTPResponse& response) {
  const int status = response.getStatus();
  return status == 500 || status == 502 || (status == 503 && !response.has("Not-Executed"));
}
}  // namespace

bool isUnsealedSuccess(const HTTPResponse& response) {
  const int status = response.getStatus();
  return status >= 200 && status < 300 &&
         (!response.has("Response-Seal") || response.has("Content-Encoding"));
}

bool isNotExecuted(const HTTPResponse& response) {
  const int status = response.getStatus();
  return status == 421 || (response.has("Not-Executed") && (status == 503 || status == 429));
}

SocketAddress MeshTransport::address(const membership::Instance& server) const {
  return {SocketAddress(server.address).host(), port_};
}

void MeshTransport::addHeaders(const AttemptContext& context, HTTPRequest& request) const {
  request.set(peer_headers::kPriority, std::to_string(context.priority));
  if (context.mayQueue) request.set(peer_headers::kMayQueue, "1");
  request.set(peer_headers::kTimeToTarget, std::to_string(context.timeToTarget.count() / 1000));
  if (context.nonIdempotent) request.set(peer_headers::kNonIdempotent, "1");
}

ResponseInfo MeshTransport::readResponse(const HTTPResponse& response) const {
  ResponseInfo out;
  if (const auto why = response.get(peer_headers::kRejected, ""); !why.empty()) {
    out.rejection = why == peer_headers::kOverloaded    ? AttemptOutcome::overloaded
                    : why == peer_headers::kNotExecuted ? AttemptOutcome::notExecuted
                                                        : AttemptOutcome::unavailable;
  } else if (response.has(peer_headers::kUnknownOutcome)) {
    out.rejection = AttemptOutcome::maybeExecuted;
  }
  if (!out.rejection && isUnsealedSuccess(response)) out.rejection = AttemptOutcome::maybeExecuted;
  out.reportedLoad = firstOf(response.get(peer_headers::kLoad, ""));
  // The node beside the server keeps the account of its failures.
  return out;
}

SocketAddress DirectTransport::address(const membership::Instance& server) const {
  return SocketAddress(server.address);
}

void DirectTransport::addHeaders(const AttemptContext& /*errand*/, HTTPRequest& /*request*/) const {
}

ResponseInfo DirectTransport::readResponse(const HTTPResponse& response) const {
  ResponseInfo out;
  out.reportedLoad = jobsTold(response);
  if (isNotExecuted(response)) {
    out.rejection = AttemptOutcome::notExecuted;
    out.instanceGone = response.getStatus() == 421;
    if (!out.instanceGone && !out.reportedLoad) out.reportedLoad = kFullWaits;
    return out;
  }
  if (isUnsealedSuccess(response)) out.rejection = AttemptOutcome::maybeExecuted;
  out.loadIncludesThisRequest = true;
  out.success = !serverFailed(response) && !out.rejection;
  return out;
}

}  // namespace merlingauge::proxy
