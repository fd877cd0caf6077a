#include "proxy/egress_request.hpp"

#include <Poco/Net/HTTPRequest.h>

#include <algorithm>
#include <utility>

#include "http/message_headers.hpp"
#include "proxy/header_number.hpp"
#include "proxy/peer_headers.hpp"
#include "proxy/response_log.hpp"
#include "proxy/server_response.hpp"
#include "proxy/service_headers.hpp"

namespace merlingauge::proxy {

using http::BodyFraming;
using http::ClientExchange;
using http::ServerExchange;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {
// An ingress says at once that it has the request. After so long without that its node stands still
// or is slow: far longer than a round trip between zones, and short against the usual deadline.
constexpr Duration kSilenceTimeout = std::chrono::milliseconds(150);
// How long a kept connection may have been idle and still carry a request that can't be sent twice:
// a connection found dead costs the request, so only fresh ones are trusted, to a node's port and
// to an instance's.
constexpr Duration kNonIdempotentIdleLimit = std::chrono::seconds(2);
constexpr Duration kNonIdempotentIdleLimitDirect = std::chrono::seconds(5);
// Requests of one edge at one instance, in multiples of its slots: without an ingress nothing else
// bounds the queue there.
constexpr double kMaxLoadPerSlotDirect = 2.0;
}  // namespace

EgressRequest::EgressRequest(EgressState& egress, ServerExchange::Ptr exchange,
                             const config::Route& route)
    : egress_(egress),
      client_(std::move(exchange)),
      priority_(route.priority),
      idempotent_(route.idempotent),
      response_(client_) {}

void EgressRequest::start(const config::Route& route) {
  const double timeoutMs = toMillis(route.timeout);
  const double askedMs =
      leadingNumber<double>(client_->request.get(service_headers::kDeadlineMs, ""))
          .value_or(timeoutMs);
  deadline_ = client_->startedAt + fromMillis(std::clamp(askedMs, 0.0, timeoutMs));
  target_ = client_->startedAt + route.targetLatency;
  RequestPolicy policy;
  policy.service = route.pickService(egress_.picker.uniform());
  policy.idempotent = route.idempotent;
  policy.maxAttempts = route.maxAttempts;
  policy.deadline = deadline_;
  if (egress_.options.gateway) policy.maxLoadPerSlot = kMaxLoadPerSlotDirect;
  service_ = policy.service;
  planner_ = std::make_unique<AttemptPlanner>(std::move(policy), egress_.subset, egress_.picker,
                                              egress_.retryBudget);
  ++egress_.inFlight;
  listenToClient();
  body_.takeFrom(*client_);
  carryOut(planner_->start(egress_.loop.now()));
}

void EgressRequest::listenToClient() {
  const auto self = shared_from_this();
  client_->onBody = [self] { self->onClientBody(); };
  client_->onClientGone = [self] { self->onClientGone(); };
  client_->onFlushed = [self] { self->pauseOrResumeUpstream(); };
  deadlineTimer_ = egress_.loop.after(deadline_ - egress_.loop.now(), [self] {
    self->deadlineTimer_ = 0;
    self->onDeadline();
  });
}

void EgressRequest::onClientBody() {
  const auto bytes = body_.takeFrom(*client_);
  for (const auto& attempt : attempts_) {
    if (!attempt->answered) forwardBody(*client_, bytes, *attempt->exchange);
  }
  if (body_.replayable() && !body_.checkLength()) planner_->onBodyDiscarded();
  if (!attempts_.empty()) body_.onPassedOn();
  std::size_t unsent = attempts_.empty() ? body_.bytes().size() : 0;
  for (const auto& attempt : attempts_) {
    unsent = std::max(unsent, attempt->exchange->unsentBytes());
  }
  client_->bodyConsumed(unsent);
}

void EgressRequest::pauseOrResumeUpstream() { response_.applyBackpressure(); }

void EgressRequest::onClientGone() {
  if (!over_) finish();
}

void EgressRequest::onDeadline() {
  if (over_) {
    const auto overtaken = overtaken_;
    for (const auto& attempt : overtaken) cancel(attempt);
    return;
  }
  if (response_.isStreaming()) {
    cutShort();
    return;
  }
  // Bytes in a kernel's socket may still be read: an attempt whose connection is up may be
  // executed.
  const bool sent = std::any_of(attempts_.begin(), attempts_.end(), [](const AttemptPtr& attempt) {
    return attempt->exchange->maybeSent();
  });
  respondError(planner_->errorAtDeadline(sent));
}

void EgressRequest::carryOut(const PlannedAction& action) {
  if (over_) return;
  switch (action.kind) {
    case PlannedAction::Kind::respond:
      respondError(action.error);
      break;
    case PlannedAction::Kind::send:
      send(action);
      break;
    case PlannedAction::Kind::wait:
      break;
  }
}

void EgressRequest::send(const PlannedAction& action) {
  const TimePoint now = egress_.loop.now();
  const auto& endpoint = EndpointSubset::endpointOf(action.candidate);
  const auto attempt = std::make_shared<EgressAttempt>();
  attempt->endpoint = endpoint.id;
  ++egress_.stats.attempts;
  const auto request = attemptRequest(*attempt, action.mayQueue, now);
  egress_.endpoints.onRequestStarted(attempt->endpoint, now);
  attempt->counted = true;
  attempt->exchange =
      egress_.pool.startExchange(endpoint.address, request, client_->requestFraming.kind,
                                 idleLimit(now), endpoint.connectionOwner);
  attempts_.push_back(attempt);
  listenToUpstream(attempt);
  forwardBody(*client_, body_.bytes(), *attempt->exchange);
  body_.onPassedOn();
  if (egress_.transport.sendsInterimResponse()) startSilenceTimer(attempt);
}

HTTPRequest EgressRequest::attemptRequest(const EgressAttempt& attempt, bool mayQueue,
                                          TimePoint now) const {
  auto request = upstreamRequest(*client_, deadline_, now, peer_headers::isDroppedAtEgress);
  request.set(service_headers::kExpectedInstance, attempt.endpoint.str());
  const auto& callerService = egress_.options.callerService;
  if (!callerService.empty()) request.set(service_headers::kCallerService, callerService.str());
  egress_.transport.addHeaders({attempt.endpoint, priority_, mayQueue, !idempotent_, target_ - now},
                               request);
  http::setFramingHeaders(client_->requestFraming, client_->request, request);
  return request;
}

Duration EgressRequest::idleLimit(TimePoint now) const {
  const Duration nonIdempotent =
      egress_.options.gateway ? kNonIdempotentIdleLimitDirect : kNonIdempotentIdleLimit;
  const Duration longest = idempotent_ ? kIdempotentIdleLimit : nonIdempotent;
  return egress_.idleTimeouts.idleLimit(service_, longest, now);
}

void EgressRequest::listenToUpstream(const AttemptPtr& attempt) {
  auto& upstream = *attempt->exchange;
  const auto self = shared_from_this();
  upstream.onResponseHead = [self, attempt](const HTTPResponse& response,
                                            const BodyFraming& framing) {
    self->onResponseHead(*attempt, response, framing);
  };
  upstream.onInterimResponse = [self, attempt] { self->onInterimResponse(*attempt); };
  upstream.onBody = [self, attempt](std::string& bytes) { self->onResponseBody(attempt, bytes); };
  upstream.onComplete = [self, attempt] { self->onResponseComplete(attempt); };
  upstream.onFailure = [self, attempt](ClientExchange::Failure failure) {
    self->onAttemptFailed(attempt, failure);
  };
  upstream.onFlushed = [self] {
    if (!self->over_) self->client_->bodyConsumed(0);
  };
}

void EgressRequest::startSilenceTimer(const AttemptPtr& attempt) {
  attempt->silenceTimer = egress_.loop.after(kSilenceTimeout, [self = shared_from_this(), attempt] {
    attempt->silenceTimer = 0;
    self->onSilence(*attempt);
  });
}

void EgressRequest::onInterimResponse(EgressAttempt& attempt) {
  egress_.loop.cancel(attempt.silenceTimer);
  attempt.silenceTimer = 0;
  attempt.silent = false;
  if (!over_) planner_->onInterimResponse(attempt.endpoint);
}

// The node there has taken the bytes and says nothing, not even that it is at work: it stands
// still, or is slow. Its instance may be at work by now, so its response is awaited all the same;
// what may be executed twice goes to another node beside it (hedging).
void EgressRequest::onSilence(EgressAttempt& attempt) {
  if (over_) return;
  const TimePoint now = egress_.loop.now();
  attempt.silent = true;
  egress_.endpoints.state(attempt.endpoint).reachability.onUnreachable(now);
  carryOut(planner_->onAttemptSilent(attempt.endpoint, now));
}

void EgressRequest::onResponseHead(EgressAttempt& attempt, const HTTPResponse& response,
                                   const BodyFraming& framing) {
  attempt.answered = true;
  onInterimResponse(attempt);
  attempt.response = std::make_unique<HTTPResponse>(response.getVersion(), response.getStatus(),
                                                    response.getReason());
  http::copyHeaders(response, *attempt.response, peer_headers::isPeerHeader);
  attempt.responseFraming = framing;
  attempt.responseInfo = egress_.transport.readResponse(response);
  auto& info = attempt.responseInfo;
  // Its own `Connection` field may have kept the seal out of the copy; and only this node may
  // promise that a request was not executed.
  const bool mustNotPass =
      isUnsealedSuccess(*attempt.response) || isUnprovenRejection(*attempt.response);
  if (!info.rejection && mustNotPass) info.rejection = AttemptOutcome::maybeExecuted;
  const TimePoint now = egress_.loop.now();
  // A reported load without this request leaves it out of the own ones too.
  if (info.reportedLoad && !info.loadIncludesThisRequest) stopCounting(attempt);
  auto& state = egress_.endpoints.state(attempt.endpoint);
  if (info.reportedLoad) state.load.onLoadReported(*info.reportedLoad, now);
  if (info.instanceGone) state.reachability.onUnreachable(now);
  if (egress_.options.gateway && info.rejection != AttemptOutcome::notExecuted) {
    state.outliers.onResponse(info.success, now);
  }
}

void EgressRequest::onResponseBody(const AttemptPtr& attempt, std::string& bytes) {
  const bool isWanted = !attempt->responseInfo.rejection && !over_ && response_.isOpenTo(attempt);
  if (isWanted && response_.addBody(attempt, bytes)) abandonOtherAttempts(attempt);
  bytes.clear();
}

void EgressRequest::onResponseComplete(const AttemptPtr& attempt) {
  discard(attempt);
  stopCounting(*attempt);
  if (const auto rejection = attempt->responseInfo.rejection) {
    onRejected(*attempt, *rejection);
    return;
  }
  egress_.endpoints.state(attempt->endpoint).reachability.onReachable();
  if (over_ || !response_.isOpenTo(attempt)) return;
  const auto source = attempt->exchange->responseSummary().value_or(http::MessageSummary{});
  if (!response_.isStreaming() && !response_.sendHeld(*attempt, source)) {
    onAttemptEnded(*attempt, AttemptOutcome::maybeExecuted);
    return;
  }
  ++egress_.stats.served;
  abandonOtherAttempts(attempt);
  const auto client = client_;
  finish();
  client->endRelayedResponse(source);
}

void EgressRequest::onRejected(const EgressAttempt& attempt, AttemptOutcome rejection) {
  auto& reachability = egress_.endpoints.state(attempt.endpoint).reachability;
  if (rejection == AttemptOutcome::unavailable) reachability.onUnreachable(egress_.loop.now());
  if (rejection == AttemptOutcome::overloaded) reachability.onReachable();
  onAttemptEnded(attempt, rejection);
}

void EgressRequest::onAttemptFailed(const AttemptPtr& attempt, ClientExchange::Failure failure) {
  using Failure = ClientExchange::Failure;
  const TimePoint now = egress_.loop.now();
  const auto idleTime = attempt->exchange->connectionIdleTime();
  discard(attempt);
  stopCounting(*attempt);
  learnFromFailure(egress_.idleTimeouts, service_, idleTime, failure, now);
  auto& state = egress_.endpoints.state(attempt->endpoint);
  const bool gateway = egress_.options.gateway;
  if (gateway && countsAgainstInstance(failure)) state.outliers.onResponse(false, now);
  // An ingress doesn't break off while its node is well; an instance may.
  if (!gateway || failure == Failure::notSent || failure == Failure::noResponse) {
    state.reachability.onUnreachable(now);
  }
  if (over_) return;
  if (response_.isStreaming(attempt)) {
    cutShort();
    return;
  }
  // Invariant: only where nothing left this node is it proven that nothing was executed.
  onAttemptEnded(*attempt, failure == Failure::notSent ? AttemptOutcome::unreachable
                                                       : AttemptOutcome::maybeExecuted);
}

void EgressRequest::onAttemptEnded(const EgressAttempt& attempt, AttemptOutcome outcome) {
  if (over_ || response_.isStreaming()) return;
  carryOut(planner_->onAttemptEnded(attempt.endpoint, outcome, egress_.loop.now()));
}

// Errors of this node's own are sent where no attempt is pending any more, or at the deadline.
void EgressRequest::respondError(ErrorKind kind) {
  if (responseFor(kind).notExecuted) {
    ++egress_.stats.rejected;
  } else {
    ++egress_.stats.failed;
  }
  const auto client = client_;
  finish();
  client->respondError(kind);
}

// The response has begun and can't be ended: the connection is, so that a part can't look whole.
void EgressRequest::cutShort() {
  ++egress_.stats.failed;
  const auto client = client_;
  finish();
  client->abortResponse();
}

void EgressRequest::stopCounting(EgressAttempt& attempt) {
  if (!attempt.counted) return;
  attempt.counted = false;
  egress_.endpoints.onRequestEnded(attempt.endpoint, egress_.loop.now());
}

// It is pending no longer.
void EgressRequest::discard(const AttemptPtr& attempt) {
  recordResponseEnd(ResponseHop::egress, client_->request.get(http::kAttemptIdHeader, ""),
                    attempt->endpoint, attempt->exchange->responseSummary(),
                    egress_.stats.responses);
  egress_.loop.cancel(attempt->silenceTimer);
  attempt->silenceTimer = 0;
  std::erase(attempts_, attempt);
  std::erase(overtaken_, attempt);
}

void EgressRequest::cancel(const AttemptPtr& attempt) {
  discard(attempt);
  stopCounting(*attempt);
  attempt->exchange->cancel();
}

// Another's response has won. An attempt whose node stands still is cancelled: nothing of it is
// passed on once the node goes on (`IngressRequest::run`). One that shows life is probably being
// executed: its instance is let finish, for the slot is taken and an end half-way helps nobody.
void EgressRequest::abandonOtherAttempts(const AttemptPtr& winner) {
  const auto attempts = attempts_;
  for (const auto& attempt : attempts) {
    if (attempt == winner) continue;
    if (attempt->silent || attempt->silenceTimer != 0 || !client_->bodyComplete) {
      cancel(attempt);
    } else {
      std::erase(attempts_, attempt);
      overtaken_.push_back(attempt);
    }
  }
}

void EgressRequest::finish() {
  over_ = true;
  const auto attempts = attempts_;
  for (const auto& attempt : attempts) cancel(attempt);
  // The deadline still ends the attempts that were overtaken.
  if (overtaken_.empty()) {
    egress_.loop.cancel(deadlineTimer_);
    deadlineTimer_ = 0;
  }
  --egress_.inFlight;
  releaseCallbacks(egress_.loop, *client_, shared_from_this());
}

}  // namespace merlingauge::proxy
