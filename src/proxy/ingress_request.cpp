#include "proxy/ingress_request.hpp"

#include <Poco/Net/HTTPMessage.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <cstdint>
#include <utility>

#include "base/errors.hpp"
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
using Poco::Net::HTTPMessage;
using Poco::Net::HTTPResponse;

namespace {
// Milliseconds, for a request without a deadline: every egress sends one.
constexpr std::int64_t kDefaultDeadlineMs = 60000;
// For a request without a priority: below all routes'.
constexpr std::int64_t kDefaultPriority = 9;
// How long a kept connection to the instance may have been idle and still carry a request that
// can't be sent twice: below the idle timeouts that servers usually have.
constexpr Duration kNonIdempotentIdleLimit = std::chrono::milliseconds(1500);
// An instance that had closed a kept connection resets it at once; what breaks off later was read.
constexpr Duration kUnreadWithin = std::chrono::milliseconds(40);
// A new connection only.
constexpr Duration kNoIdleConnection = Duration(-1);
// Load of an instance whose gate is gone.
constexpr const char* kNoLoad = "0,1";

std::int64_t numberIn(const Poco::Net::HTTPRequest& request, const char* header,
                      std::int64_t otherwise) {
  return leadingNumber<std::int64_t>(request.get(header, "")).value_or(otherwise);
}

// One instance stands behind an ingress: the estimate of idle times needs no name for its service.
const ServiceName kOnlyService;
}  // namespace

IngressRequest::IngressRequest(IngressState& ingress, ServerExchange::Ptr exchange, InstanceId id)
    : ingress_(ingress),
      client_(std::move(exchange)),
      id_(std::move(id)),
      ticket_(++ingress.lastTicket) {}

void IngressRequest::start() {
  auto& queue = ingress_.gates.find(id_)->queue;
  const auto admission = queue.admit(readArrival(), ingress_.loop.now());
  if (admission == AdmissionQueue::Admission::rejected) {
    ++ingress_.stats.overloaded;
    reject(peer_headers::kOverloaded);
    return;
  }
  listenToClient();
  body_.takeFrom(*client_);
  client_->sendProcessing();
  if (admission == AdmissionQueue::Admission::admitted) {
    run();
    return;
  }
  ++ingress_.stats.queued;
  queued_ = true;
  ingress_.gates.addWaiting(id_, ticket_, weak_from_this());
}

AdmissionQueue::Arrival IngressRequest::readArrival() {
  const auto& request = client_->request;
  const auto deadlineMs = numberIn(request, service_headers::kDeadlineMs, kDefaultDeadlineMs);
  const auto targetMs = numberIn(request, peer_headers::kTimeToTarget, deadlineMs);
  deadline_ =
      client_->startedAt + fromMillis(static_cast<double>(std::max<std::int64_t>(deadlineMs, 0)));
  nonIdempotent_ = request.has(peer_headers::kNonIdempotent);
  AdmissionQueue::Arrival arrival;
  arrival.ticket = ticket_;
  arrival.priority = static_cast<int>(numberIn(request, peer_headers::kPriority, kDefaultPriority));
  arrival.deadline = deadline_;
  arrival.targetTime = client_->startedAt + fromMillis(static_cast<double>(targetMs));
  arrival.mayQueue = request.has(peer_headers::kMayQueue);
  return arrival;
}

void IngressRequest::listenToClient() {
  const auto self = shared_from_this();
  client_->onBody = [self] { self->onClientBody(); };
  client_->onClientGone = [self] { self->onClientGone(); };
  client_->onFlushed = [self] { self->pauseOrResumeUpstream(); };
}

void IngressRequest::onDequeued(bool admitted) {
  queued_ = false;
  holdsSlot_ = admitted;
}

void IngressRequest::onTurn(bool admitted) {
  if (admitted) {
    run();
  } else {
    reject(peer_headers::kOverloaded);
  }
}

void IngressRequest::run() {
  holdsSlot_ = true;
  // Invariant: a caller that closed has sent the request elsewhere or has given up, so it is not
  // offered to the instance.
  if (client_->clientHasClosed()) {
    finish(Duration(0));
    return;
  }
  ++ingress_.stats.admitted;
  sentAt_ = ingress_.loop.now();
  const Duration longest = nonIdempotent_ ? kNonIdempotentIdleLimit : kIdempotentIdleLimit;
  send(ingress_.idleTimeouts.idleLimit(kOnlyService, longest, sentAt_));
}

void IngressRequest::reject(const char* reason) {
  const auto client = client_;
  finish(Duration(0));
  const auto& response = responseFor(ErrorKind::overloaded);
  client->respond(response.status, response.reason, "", "",
                  {{peer_headers::kRejected, reason}, {peer_headers::kLoad, load()}});
}

std::string IngressRequest::load() const { return ingress_.gates.load(id_, 0).value_or(kNoLoad); }

void IngressRequest::onClientBody() {
  const auto bytes = body_.takeFrom(*client_);
  if (upstream_ && !answered_) {
    forwardBody(*client_, bytes, *upstream_);
    body_.checkLength();
    body_.onPassedOn();
  }
  client_->bodyConsumed(upstream_ ? upstream_->unsentBytes() : body_.bytes().size());
}

void IngressRequest::pauseOrResumeUpstream() {
  if (upstream_ && streaming_) applyBackpressure(*client_, *upstream_);
}

void IngressRequest::onClientGone() {
  if (!over_) finish(Duration(0));
}

void IngressRequest::send(Duration idleLimit) {
  auto request =
      upstreamRequest(*client_, deadline_, ingress_.loop.now(), peer_headers::isDroppedAtIngress);
  http::setFramingHeaders(client_->requestFraming, client_->request, request);
  upstream_ =
      ingress_.pool.startExchange(Poco::Net::SocketAddress(ingress_.options.appAddress), request,
                                  client_->requestFraming.kind, idleLimit, id_.str());
  listenToUpstream();
  forwardBody(*client_, body_.bytes(), *upstream_);
  body_.checkLength();
  body_.onPassedOn();
}

void IngressRequest::listenToUpstream() {
  const auto self = shared_from_this();
  upstream_->onResponseHead = [self](const HTTPResponse& response, const BodyFraming& framing) {
    self->onResponseHead(response, framing);
  };
  upstream_->onBody = [self](std::string& bytes) { self->onResponseBody(bytes); };
  upstream_->onComplete = [self] { self->onResponseComplete(); };
  upstream_->onFailure = [self](ClientExchange::Failure failure) {
    self->onUpstreamFailed(failure);
  };
  upstream_->onFlushed = [self] {
    if (!self->over_) self->client_->bodyConsumed(0);
  };
}

void IngressRequest::onResponseHead(const HTTPResponse& response, const BodyFraming& framing) {
  answered_ = true;
  notExecuted_ = isNotExecuted(response);
  if (notExecuted_) return;
  reportHealth(!isServerFailure(response) && !isUnsealedSuccess(response));
  HTTPResponse out(HTTPMessage::HTTP_1_1, response.getStatus(), response.getReason());
  http::copyHeaders(response, out, peer_headers::isPeerHeader);
  // This request still holds its slot: the load told is without it.
  if (const auto others = ingress_.gates.load(id_, 1)) out.set(peer_headers::kLoad, *others);
  streaming_ = true;
  client_->sendHead(out, framing);
}

void IngressRequest::reportHealth(bool success) {
  auto* gate = ingress_.gates.find(id_);
  if (gate == nullptr) return;
  const auto tenths = gate->failures.onResponse(success, ingress_.loop.now());
  if (tenths) ingress_.instances.onFailureRate(id_, *tenths);
}

void IngressRequest::onResponseBody(std::string& bytes) {
  if (streaming_) {
    client_->sendBody(bytes);
    pauseOrResumeUpstream();
  }
  bytes.clear();
}

// The exchange with the instance is over, or is about to be cancelled.
void IngressRequest::recordResponse() const {
  recordResponseEnd(ResponseHop::ingress, client_->request.get(http::kAttemptIdHeader, ""), id_,
                    upstream_->responseSummary(), ingress_.stats.responses);
}

void IngressRequest::onResponseComplete() {
  recordResponse();
  const auto source = upstream_->responseSummary().value_or(http::MessageSummary{});
  upstream_ = nullptr;
  if (notExecuted_ && resent_) {
    failUnknownOutcome();
    return;
  }
  if (notExecuted_) {
    reject(peer_headers::kNotExecuted);
    return;
  }
  const auto client = client_;
  finish(ingress_.loop.now() - sentAt_);
  client->endRelayedResponse(source);
}

void IngressRequest::onUpstreamFailed(ClientExchange::Failure failure) {
  const TimePoint now = ingress_.loop.now();
  const auto idleTime = upstream_ ? upstream_->connectionIdleTime() : std::nullopt;
  if (upstream_) recordResponse();
  upstream_ = nullptr;
  learnFromFailure(ingress_.idleTimeouts, kOnlyService, idleTime, failure, now);
  if (countsAgainstInstance(failure)) reportHealth(false);
  if (streaming_) {
    cutShort();
    return;
  }
  if (failure == ClientExchange::Failure::notSent && !resent_) {
    ++ingress_.stats.unavailable;
    ingress_.instances.onUnreachable(id_);
    reject(peer_headers::kUnavailable);
    return;
  }
  if (maySendAgain(failure, now)) {
    resent_ = true;
    send(kNoIdleConnection);
    return;
  }
  failUnknownOutcome();
}

// Invariant: only what may be executed twice is offered twice, and once more only: on a new
// connection, after a kept one that the instance had dropped.
bool IngressRequest::maySendAgain(ClientExchange::Failure failure, TimePoint now) const {
  return failure == ClientExchange::Failure::staleConnection && !nonIdempotent_ &&
         body_.replayable() && !resent_ && now - sentAt_ < kUnreadWithin;
}

// The response has begun and can't be ended: the connection is, so that a part can't look whole.
void IngressRequest::cutShort() {
  ++ingress_.stats.unknownOutcome;
  const auto client = client_;
  finish(Duration(0));
  client->abortResponse();
}

void IngressRequest::failUnknownOutcome() {
  ++ingress_.stats.unknownOutcome;
  const auto client = client_;
  finish(Duration(0));
  const auto& response = responseFor(ErrorKind::possiblyExecuted);
  client->respond(response.status, response.reason, "", "",
                  {{peer_headers::kUnknownOutcome, "1"}, {peer_headers::kLoad, load()}});
}

// `took`: how long the instance worked on it; 0 if that isn't known.
void IngressRequest::finish(Duration took) {
  if (over_) return;
  over_ = true;
  if (upstream_) {
    recordResponse();
    upstream_->cancel();
  }
  upstream_ = nullptr;
  releaseCallbacks(ingress_.loop, *client_, shared_from_this());
  const TimePoint now = ingress_.loop.now();
  if (queued_) {
    ingress_.gates.cancel(id_, ticket_, now);
  } else if (holdsSlot_) {
    holdsSlot_ = false;
    ingress_.gates.onRequestEnded(id_, now, took);
  }
}

}  // namespace merlingauge::proxy
