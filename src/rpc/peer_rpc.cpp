#include "rpc/peer_rpc.hpp"

#include <Poco/Net/HTTPMessage.h>

#include <memory>
#include <utility>

#include "config/config_schema.hpp"

namespace merlingauge::rpc {

using http::BodyFraming;
using http::ClientExchange;
using http::FramingKind;
using nlohmann::json;
using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {
constexpr std::size_t kAnswerLimit = 16U << 20;
constexpr Duration kFreshness = std::chrono::seconds(10);
}  // namespace

PeerRpc::PeerRpc(event::EventLoop& loop, std::uint16_t port)
    : loop_(loop),
      port_(port),
      pool_(loop, {std::chrono::milliseconds(500), std::chrono::seconds(15), 4}) {}

struct PeerRpc::PendingCall {
  RawResponse raw;
  ClientExchange::Ptr exchange;
  event::EventLoop::TimerId timer = 0;
  std::function<void(std::optional<RawResponse>)> onResponse;
};

PeerRpc::~PeerRpc() {
  for (auto& [id, pending] : pending_) {
    loop_.cancel(pending->timer);
    pending->exchange->cancel();
  }
}

void PeerRpc::finish(std::uint64_t id, bool ok) {
  auto node = pending_.extract(id);
  if (node.empty()) return;
  const auto pending = node.mapped();
  loop_.cancel(pending->timer);
  pending->exchange->cancel();
  pending->onResponse(ok ? std::make_optional(std::move(pending->raw)) : std::nullopt);
}

void PeerRpc::forward(const Poco::Net::SocketAddress& to, const HTTPRequest& request,
                      const std::string& body, Duration limit,
                      std::function<void(std::optional<RawResponse>)> answer) {
  const auto id = ++lastId_;
  const auto pending = std::make_shared<PendingCall>();
  pending_[id] = pending;
  pending->onResponse = std::move(answer);
  HTTPRequest out = request;
  const FramingKind kind = body.empty() ? FramingKind::none : FramingKind::contentLength;
  http::setFramingHeaders({kind, body.size()}, out);
  auto& call = pending->exchange;
  call = pool_.startExchange(to, out, kind, kFreshness);
  const std::weak_ptr<PendingCall> weak = pending;
  call->onResponseHead = [weak](HTTPResponse& response, const BodyFraming&) {
    const auto p = weak.lock();
    if (!p) return;
    p->raw.status = response.getStatus();
    p->raw.reason = response.getReason();
    p->raw.type = response.get(HTTPMessage::CONTENT_TYPE, "");
  };
  call->onBody = [this, id, weak](std::string& bytes) {
    const auto p = weak.lock();
    if (!p) return;
    p->raw.body.append(bytes);
    bytes.clear();
    if (p->raw.body.size() > kAnswerLimit) finish(id, false);
  };
  call->onComplete = [this, id] { finish(id, true); };
  call->onFailure = [this, id](ClientExchange::Failure) { finish(id, false); };
  pending->timer = loop_.after(limit, [this, id] { finish(id, false); });
  if (kind != FramingKind::none) {
    call->sendBody(body);
    call->endBody();
  }
}

void PeerRpc::call(const NodeId& to, const std::string& path, const json& body, Duration limit,
                   ResponseCallback answer) {
  const Poco::Net::SocketAddress address(to.str(), port_);
  HTTPRequest request(HTTPRequest::HTTP_POST, path, HTTPMessage::HTTP_1_1);
  request.set("Host", to.str());
  const auto text = body.dump();
  ++traffic_.requestsSent;
  traffic_.requestBytesSent += text.size();
  forward(address, request, text, limit,
          [this, answer = std::move(answer)](std::optional<RawResponse> raw) {
            if (!raw || raw->status != 200) {
              answer(std::nullopt);
              return;
            }
            traffic_.responseBytesReceived += raw->body.size();
            answer(config::parseDocument(raw->body));
          });
}

void whenBodyComplete(const http::ServerExchange::Ptr& exchange,
                      std::function<void(const std::string&)> then) {
  if (exchange->bodyComplete) {
    then(exchange->receivedBody);
    return;
  }
  // `then` holds the visit as a rule: it is let go once it has run, or when the caller has gone.
  const std::weak_ptr<http::ServerExchange> weak = exchange;
  exchange->onBody = [weak, then = std::move(then)] {
    const auto v = weak.lock();
    if (!v || !v->bodyComplete) return;
    const auto run = then;
    v->onBody = nullptr;
    run(v->receivedBody);
  };
  exchange->onClientGone = [weak] {
    if (const auto v = weak.lock()) v->onBody = nullptr;
  };
}

}  // namespace merlingauge::rpc
