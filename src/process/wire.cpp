#include "process/wire.hpp"

#include <Poco/Net/HTTPMessage.h>

#include <memory>
#include <utility>

#include "version/schema.hpp"

namespace merlin::hut {

using nlohmann::json;
using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using saddle::BodyKind;
using saddle::BodyPlan;
using saddle::Call;

namespace {
constexpr std::size_t kAnswerLimit = 16U << 20;
constexpr Span kFreshness = std::chrono::seconds(10);
}  // namespace

Wire::Wire(Bell& bell, std::uint16_t port)
    : bell_(bell),
      port_(port),
      ropes_(bell, {std::chrono::milliseconds(500), std::chrono::seconds(15), 4}) {}

struct Wire::Pending {
  Raw raw;
  Call::Ptr call;
  Bell::TimerId timer = 0;
  std::function<void(std::optional<Raw>)> answer;
};

Wire::~Wire() {
  for (auto& [id, pending] : pending_) {
    bell_.cancel(pending->timer);
    pending->call->cancel();
  }
}

void Wire::finish(std::uint64_t id, bool ok) {
  auto node = pending_.extract(id);
  if (node.empty()) return;
  const auto pending = node.mapped();
  bell_.cancel(pending->timer);
  pending->call->cancel();
  pending->answer(ok ? std::make_optional(std::move(pending->raw)) : std::nullopt);
}

void Wire::pass(const Poco::Net::SocketAddress& to, const HTTPRequest& request,
                const std::string& body, Span limit,
                std::function<void(std::optional<Raw>)> answer) {
  const auto id = ++lastId_;
  const auto pending = std::make_shared<Pending>();
  pending_[id] = pending;
  pending->answer = std::move(answer);
  HTTPRequest out = request;
  const BodyKind kind = body.empty() ? BodyKind::none : BodyKind::length;
  saddle::planHeaders({kind, body.size()}, out);
  auto& call = pending->call;
  call = ropes_.call(to, out, kind, kFreshness);
  const std::weak_ptr<Pending> weak = pending;
  call->onHead = [weak](HTTPResponse& response, const BodyPlan&) {
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
  call->onDone = [this, id] { finish(id, true); };
  call->onFail = [this, id](Call::Failure) { finish(id, false); };
  pending->timer = bell_.after(limit, [this, id] { finish(id, false); });
  if (kind != BodyKind::none) {
    call->body(body);
    call->bodyEnd();
  }
}

void Wire::post(const NodeId& to, const std::string& path, const json& body, Span limit,
                Answer answer) {
  const Poco::Net::SocketAddress address(to.str(), port_);
  HTTPRequest request(HTTPRequest::HTTP_POST, path, HTTPMessage::HTTP_1_1);
  request.set("Host", to.str());
  const auto text = body.dump();
  ++traffic_.asked;
  traffic_.askedBytes += text.size();
  pass(address, request, text, limit, [this, answer = std::move(answer)](std::optional<Raw> raw) {
    if (!raw || raw->status != 200) {
      answer(std::nullopt);
      return;
    }
    traffic_.toldBytes += raw->body.size();
    answer(cairn::readDocument(raw->body));
  });
}

void whenWhole(const saddle::Visit::Ptr& visit, std::function<void(const std::string&)> then) {
  if (visit->bodyDone) {
    then(visit->body);
    return;
  }
  // `then` holds the visit as a rule: it is let go once it has run, or when the caller has gone.
  const std::weak_ptr<saddle::Visit> weak = visit;
  visit->onBody = [weak, then = std::move(then)] {
    const auto v = weak.lock();
    if (!v || !v->bodyDone) return;
    const auto run = then;
    v->onBody = nullptr;
    run(v->body);
  };
  visit->onGone = [weak] {
    if (const auto v = weak.lock()) v->onBody = nullptr;
  };
}

}  // namespace merlin::hut
