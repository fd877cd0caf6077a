#include "rpc/peer_rpc.hpp"

#include <Poco/Net/HTTPMessage.h>

#include <memory>
#include <utility>

#include "base/ipv4_address.hpp"
#include "config/document_parser.hpp"
#include "http/message_headers.hpp"

namespace merlingauge::rpc {

using http::BodyFraming;
using http::ClientExchange;
using http::FramingKind;
using nlohmann::json;
using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Poco::Net::SocketAddress;

namespace {
// Twice the largest configuration, which the largest messages carry beside registry items.
constexpr std::size_t kMaxResponseBytes = 16U << 20;
// The peer is in the same data centre, or a zone away; a connection that takes longer won't come.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
// Pulls keep a connection busy every few seconds; one that is idle for this long is of a former
// peer.
constexpr Duration kIdleTimeout = std::chrono::seconds(15);
constexpr int kIdleConnectionsPerPeer = 4;
// A pooled connection idle for longer is not used again: the peer may just be closing it.
constexpr Duration kMaxIdleForReuse = std::chrono::seconds(10);

http::ConnectionPool::Options poolOptions(
    std::shared_ptr<http::ResponseInvariantCounters> invariants) {
  http::ConnectionPool::Options options;
  options.connectTimeout = kConnectTimeout;
  options.idleTimeout = kIdleTimeout;
  options.maxIdlePerAddress = kIdleConnectionsPerPeer;
  options.answersMayEndByClose = false;  // a message of another node always has a length
  options.invariants = std::move(invariants);
  return options;
}
}  // namespace

struct PeerRpc::PendingCall {
  int status = 0;
  std::string body;
  ClientExchange::Ptr exchange;
  event::EventLoop::TimerId timer = 0;
  ResponseCallback onResponse;
};

PeerRpc::PeerRpc(event::EventLoop& loop, std::uint16_t port,
                 std::shared_ptr<http::ResponseInvariantCounters> invariants)
    : loop_(loop), port_(port), pool_(loop, poolOptions(std::move(invariants))) {}

PeerRpc::~PeerRpc() {
  for (auto& [id, call] : pendingCalls_) {
    loop_.cancel(call->timer);
    call->exchange->cancel();
  }
}

void PeerRpc::finish(CallId id, CallResult result) {
  const auto node = pendingCalls_.extract(id);
  if (node.empty()) return;
  const auto call = node.mapped();
  loop_.cancel(call->timer);
  call->exchange->cancel();
  call->onResponse(result == CallResult::complete ? decodeResponse(*call) : std::nullopt);
}

std::optional<json> PeerRpc::decodeResponse(const PendingCall& call) {
  if (call.status != HTTPResponse::HTTP_OK) return std::nullopt;
  traffic_.responseBytesReceived += call.body.size();
  return config::parseDocument(call.body);
}

void PeerRpc::call(const NodeId& recipient, const std::string& path, const json& message,
                   Duration timeout, ResponseCallback onResponse) {
  // A node's id comes from other nodes' messages, and so may be no address.
  if (!isIpv4Address(recipient.str())) {
    loop_.defer([onResponse = std::move(onResponse)] { onResponse(std::nullopt); });
    return;
  }
  const SocketAddress address(recipient.str(), port_);
  HTTPRequest request(HTTPRequest::HTTP_POST, path, HTTPMessage::HTTP_1_1);
  request.set("Host", recipient.str());
  const auto body = message.dump();
  http::setFramingHeaders({FramingKind::contentLength, body.size()}, request);
  ++traffic_.requestsSent;
  traffic_.requestBytesSent += body.size();

  const auto id = ++lastCallId_;
  const auto call = std::make_shared<PendingCall>();
  pendingCalls_[id] = call;
  call->onResponse = std::move(onResponse);
  call->exchange =
      pool_.startExchange(address, request, FramingKind::contentLength, kMaxIdleForReuse);
  watchExchange(id, call);
  call->timer = loop_.after(timeout, [this, id] { finish(id, CallResult::failed); });
  call->exchange->sendBody(body);
  call->exchange->endBody();
}

// The exchange is part of the call, so its callbacks hold the call weakly.
void PeerRpc::watchExchange(CallId id, const std::shared_ptr<PendingCall>& call) {
  const std::weak_ptr<PendingCall> weak = call;
  call->exchange->onResponseHead = [weak](HTTPResponse& head, const BodyFraming&) {
    if (const auto pending = weak.lock()) pending->status = head.getStatus();
  };
  call->exchange->onBody = [this, id, weak](std::string& bytes) {
    const auto pending = weak.lock();
    if (!pending) return;
    pending->body.append(bytes);
    bytes.clear();
    if (pending->body.size() > kMaxResponseBytes) finish(id, CallResult::failed);
  };
  call->exchange->onComplete = [this, id] { finish(id, CallResult::complete); };
  call->exchange->onFailure = [this, id](ClientExchange::Failure) {
    finish(id, CallResult::failed);
  };
}

}  // namespace merlingauge::rpc
