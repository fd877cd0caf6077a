#include "proxy/mesh_transport.hpp"

#include "proxy/header_number.hpp"
#include "proxy/peer_headers.hpp"
#include "proxy/server_response.hpp"

namespace merlingauge::proxy {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Poco::Net::SocketAddress;

namespace {
AttemptOutcome outcomeOf(const std::string& reason) {
  if (reason == peer_headers::kOverloaded) return AttemptOutcome::overloaded;
  if (reason == peer_headers::kNotExecuted) return AttemptOutcome::notExecuted;
  return AttemptOutcome::unavailable;
}
}  // namespace

SocketAddress MeshTransport::address(const membership::Instance& server) const {
  return {SocketAddress(server.address).host(), port_};
}

void MeshTransport::addHeaders(const AttemptContext& context, HTTPRequest& request) const {
  request.set(peer_headers::kPriority, std::to_string(context.priority));
  if (context.mayQueue) request.set(peer_headers::kMayQueue, "1");
  request.set(peer_headers::kTimeToTarget, std::to_string(context.timeToTarget.count() / 1000));
  if (context.nonIdempotent) request.set(peer_headers::kNonIdempotent, "1");
}

// `success` stays true: the node beside the instance keeps the account of its failures.
ResponseInfo MeshTransport::readResponse(const HTTPResponse& response) const {
  ResponseInfo info;
  if (const auto reason = response.get(peer_headers::kRejected, ""); !reason.empty()) {
    info.rejection = outcomeOf(reason);
  } else if (response.has(peer_headers::kUnknownOutcome)) {
    info.rejection = AttemptOutcome::maybeExecuted;
  }
  if (!info.rejection && isUnsealedSuccess(response)) {
    info.rejection = AttemptOutcome::maybeExecuted;
  }
  info.reportedLoad = leadingNumber<double>(response.get(peer_headers::kLoad, ""));
  return info;
}

}  // namespace merlingauge::proxy
