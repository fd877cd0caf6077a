#include "proxy/egress_response.hpp"

#include "proxy/exchange_relay.hpp"
#include "proxy/server_response.hpp"

namespace merlingauge::proxy {

using http::BodyFraming;
using http::FramingKind;
using http::ResponseInvariant;

namespace {
// Bytes of a response held until it is whole: while nothing of it has been sent, a failure of the
// attempt can still lead to another one. Longer ones are streamed.
constexpr std::size_t kMaxHeldBytes = 64 * 1024;
}  // namespace

bool EgressResponse::addBody(const EgressAttemptPtr& attempt, const std::string& bytes) {
  attempt->heldBody.append(bytes);
  const bool begins =
      !isStreaming() && attempt->heldBody.size() > kMaxHeldBytes && isSealed(*attempt);
  if (begins) {
    streaming_ = attempt;
    client_->sendHead(*attempt->response, attempt->responseFraming);
  }
  if (isStreaming(attempt)) {
    sendBody(*attempt);
    applyBackpressure();
  }
  return begins;
}

void EgressResponse::sendBody(EgressAttempt& attempt) {
  client_->sendBody(attempt.heldBody);
  attempt.heldBody.clear();
}

void EgressResponse::applyBackpressure() {
  if (isStreaming()) proxy::applyBackpressure(*client_, *streaming_->exchange);
}

// The whole body is here, so its length is known, however the instance framed it.
bool EgressResponse::sendHeld(EgressAttempt& attempt, const http::MessageSummary& source) {
  if (!isWhole(attempt, source) || !isSealed(attempt)) return false;
  const auto size = attempt.heldBody.size();
  if (attempt.responseFraming.kind != FramingKind::none || size > 0) {
    const auto kind = size == 0 ? FramingKind::none : FramingKind::contentLength;
    attempt.responseFraming = BodyFraming{kind, size};
  }
  client_->sendHead(*attempt.response, attempt.responseFraming);
  sendBody(attempt);
  return true;
}

// Checked before the head leaves: nothing can take it back.
bool EgressResponse::isWhole(const EgressAttempt& attempt, const http::MessageSummary& source) {
  const bool isWholeSource =
      client_->check(ResponseInvariant::sourceIsWhole, http::isWhole(source.end));
  const bool isSourcesBody = client_->check(ResponseInvariant::bodyIsTheSources,
                                            attempt.heldBody.size() == source.bodyBytes);
  return isWholeSource && isSourcesBody;
}

bool EgressResponse::isSealed(const EgressAttempt& attempt) {
  return client_->check(ResponseInvariant::successIsSealed, !isUnsealedSuccess(*attempt.response));
}

}  // namespace merlingauge::proxy
