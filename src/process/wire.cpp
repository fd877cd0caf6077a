#include "process/wire.hpp"

#include <Poco/Net/HTTPMessage.h>

#include <memory>
#include <utility>

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

void Wire::pass(const Poco::Net::SocketAddress& to, const HTTPRequest& request,
                const std::string& body, Span limit,
                std::function<void(std::optional<Raw>)> answer) {
  struct State {
    Raw raw;
    Call::Ptr call;
    Bell::TimerId timer = 0;
    std::function<void(std::optional<Raw>)> answer;
  };
  auto state = std::make_shared<State>();
  state->answer = std::move(answer);
  HTTPRequest out = request;
  const BodyKind kind = body.empty() ? BodyKind::none : BodyKind::length;
  saddle::planHeaders({kind, body.size()}, out);
  const auto finish = [this, state](bool ok) {
    if (!state->answer) return;
    bell_.cancel(state->timer);
    const auto tell = std::move(state->answer);
    state->answer = nullptr;
    if (state->call) state->call->cancel();
    state->call = nullptr;
    tell(ok ? std::make_optional(std::move(state->raw)) : std::nullopt);
  };
  state->call = ropes_.call(to, out, kind, kFreshness);
  state->call->onHead = [state](HTTPResponse& response, const BodyPlan&) {
    state->raw.status = response.getStatus();
    state->raw.reason = response.getReason();
    state->raw.type = response.get(HTTPMessage::CONTENT_TYPE, "");
  };
  state->call->onBody = [state, finish](std::string& bytes) {
    state->raw.body.append(bytes);
    bytes.clear();
    if (state->raw.body.size() > kAnswerLimit) finish(false);
  };
  state->call->onDone = [finish] { finish(true); };
  state->call->onFail = [finish](Call::Failure) { finish(false); };
  state->timer = bell_.after(limit, [finish] { finish(false); });
  if (kind != BodyKind::none) {
    state->call->body(body);
    state->call->bodyEnd();
  }
}

void Wire::post(const NodeId& to, const std::string& path, const json& body, Span limit,
                Answer answer) {
  const Poco::Net::SocketAddress address(to.str(), port_);
  HTTPRequest request(HTTPRequest::HTTP_POST, path, HTTPMessage::HTTP_1_1);
  request.set("Host", to.str());
  pass(address, request, body.dump(), limit, [answer = std::move(answer)](std::optional<Raw> raw) {
    if (!raw || raw->status != 200) {
      answer(std::nullopt);
      return;
    }
    auto parsed = json::parse(raw->body, nullptr, false);
    answer(parsed.is_discarded() ? std::nullopt : std::make_optional(std::move(parsed)));
  });
}

void whenWhole(const saddle::Visit::Ptr& visit, std::function<void(const std::string&)> then) {
  if (visit->bodyDone) {
    then(visit->body);
    return;
  }
  visit->onBody = [weak = std::weak_ptr<saddle::Visit>(visit), then = std::move(then)] {
    const auto v = weak.lock();
    if (v && v->bodyDone) then(v->body);
  };
}

}  // namespace merlin::hut
