#include "proxy/egress.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPMessage.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "http/message_headers.hpp"
#include "proxy/peer_headers.hpp"

namespace merlingauge::proxy {

using http::BodyFraming;
using http::ClientExchange;
using http::FramingKind;
using http::ServerExchange;
using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {
constexpr std::size_t kReplayLimit = 64 * 1024;  // request bodies up to here can be sent again
constexpr std::size_t kHoldAnswer = 64 * 1024;   // answers up to here are held until whole
constexpr std::size_t kPauseAbove = 256 * 1024;  // back-pressure between the two sides
constexpr Duration kSignOfLife = std::chrono::milliseconds(150);
constexpr Duration kFreshOnce = std::chrono::seconds(2);
constexpr Duration kFreshOnceDirect = std::chrono::seconds(5);
constexpr double kMostJobsDirect = 2.0;  // of an edge's own at one server, in its slots
constexpr Duration kFreshSafe = std::chrono::seconds(20);

double numberOf(const std::string& text, double otherwise) {
  double out = otherwise;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), out);
  return read.ec == std::errc() && std::isfinite(out) ? out : otherwise;
}
}  // namespace

// One request on its way: the io around an Ascent.
class EgressRequest : public std::enable_shared_from_this<EgressRequest> {
 public:
  EgressRequest(Egress& egress, ServerExchange::Ptr exchange, const config::Route& route)
      : egress_(egress),
        exchange_(std::move(exchange)),
        priority_(route.priority),
        idempotent_(route.idempotent) {}

  void start(const config::Route& route) {
    auto& loop = egress_.dependencies_.loop;
    const double timeout = toMillis(route.timeout);
    const double asked = numberOf(exchange_->request.get("Deadline-Ms", ""), timeout);
    deadline_ = exchange_->startedAt + fromMillis(std::clamp(asked, 0.0, timeout));
    target_ = exchange_->startedAt + route.targetLatency;
    RequestPolicy terms;
    terms.service = route.pickService(egress_.picker_.uniform());
    terms.idempotent = route.idempotent;
    terms.maxAttempts = route.maxAttempts;
    terms.deadline = deadline_;
    service_ = terms.service;
    if (egress_.dependencies_.gateway) terms.maxLoadPerSlot = kMostJobsDirect;
    auto& egress = egress_;
    planner_ = std::make_unique<AttemptPlanner>(
        terms,
        [&egress, service = terms.service,
         once = !route.idempotent]() -> const std::vector<Candidate>& {
          return egress.subset_.candidates(service, once, egress.dependencies_.loop.now());
        },
        egress_.picker_, egress_.retryBudget_);
    ++egress_.inFlight_;
    const auto self = shared_from_this();
    exchange_->onBody = [self] { self->moreBody(); };
    exchange_->onClientGone = [self] { self->onClientGone(); };
    exchange_->onFlushed = [self] { self->applyBackpressure(); };
    timer_ = loop.after(deadline_ - loop.now(), [self] {
      self->timer_ = 0;
      self->onDeadline();
    });
    takeBody();
    carryOut(planner_->start(loop.now()));
  }

 private:
  // One try of the request at one server.
  struct Attempt {
    InstanceId endpoint;
    ClientExchange::Ptr exchange;
    event::EventLoop::TimerId silenceTimer = 0;
    std::string heldBody;
    std::unique_ptr<HTTPResponse> response;
    BodyFraming responseFraming;
    ResponseInfo responseInfo;
    bool answered = false;
    bool silent = false;  // has shown no sign of life for too long
    bool counted = false;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  void takeBody() {
    body_.append(exchange_->receivedBody);
    exchange_->receivedBody.clear();
  }

  void moreBody() {
    const auto had = body_.size();
    takeBody();
    for (const auto& one : attempts_) {
      if (one->answered) continue;
      one->exchange->sendBody(std::string_view(body_).substr(had));
      if (exchange_->bodyComplete) one->exchange->endBody();
    }
    if (replayable_ && body_.size() > kReplayLimit) {
      replayable_ = false;
      planner_->onBodyDiscarded();
    }
    if (!replayable_ && !attempts_.empty()) body_.clear();
    std::size_t unsent = attempts_.empty() ? body_.size() : 0;
    for (const auto& one : attempts_) unsent = std::max(unsent, one->exchange->unsentBytes());
    exchange_->bodyConsumed(unsent);
  }

  void applyBackpressure() {
    if (streaming_) streaming_->exchange->pauseReading(exchange_->unsentBytes() > kPauseAbove);
  }

  void carryOut(const PlannedAction& step) {
    if (over_) return;
    switch (step.kind) {
      case PlannedAction::Kind::respond:
        reject(step.error);
        break;
      case PlannedAction::Kind::send:
        send(step);
        break;
      case PlannedAction::Kind::wait:
        break;
    }
  }

  void send(const PlannedAction& step) {
    auto& parts = egress_.dependencies_;
    const TimePoint now = parts.loop.now();
    const auto& endpoint = EndpointSubset::endpointOf(step.candidate);
    const auto& transport = *parts.transport;
    const auto one = std::make_shared<Attempt>();
    one->endpoint = endpoint.id;
    ++egress_.stats_.attempts;
    HTTPRequest request(exchange_->request.getMethod(), exchange_->request.getURI(),
                        HTTPMessage::HTTP_1_1);
    http::copyHeaders(exchange_->request, request, peer_headers::isDroppedAtEgress);
    request.set("Deadline-Ms",
                std::to_string(std::max<std::int64_t>(1, (deadline_ - now).count() / 1000)));
    request.set("Expected-Instance", one->endpoint.str());
    if (!parts.callerService.empty()) request.set("Caller-Service", parts.callerService.str());
    transport.addHeaders({one->endpoint, priority_, step.mayQueue, !idempotent_, target_ - now},
                         request);
    http::setFramingHeaders(exchange_->requestFraming, exchange_->request, request);
    egress_.loadTracker_.onRequestStarted(one->endpoint, now);
    one->counted = true;
    const Duration once = parts.gateway ? kFreshOnceDirect : kFreshOnce;
    const Duration fresh =
        egress_.idleTimeouts_.idleLimit(service_, idempotent_ ? kFreshSafe : once, now);
    one->exchange = parts.pool.startExchange(
        endpoint.address, request, exchange_->requestFraming.kind, fresh, endpoint.connectionOwner);
    attempts_.push_back(one);
    auto& call = *one->exchange;
    const auto self = shared_from_this();
    call.onResponseHead = [self, one](HTTPResponse& response, const BodyFraming& plan) {
      self->onResponseHead(*one, response, plan);
    };
    call.onInterimResponse = [self, one] { self->onInterimResponse(*one); };
    call.onBody = [self, one](std::string& bytes) { self->onResponseBody(one, bytes); };
    call.onComplete = [self, one] { self->onResponseComplete(one); };
    call.onFailure = [self, one](ClientExchange::Failure failure) {
      self->onAttemptFailed(one, failure);
    };
    call.onFlushed = [self] {
      if (!self->over_) self->exchange_->bodyConsumed(0);
    };
    call.sendBody(body_);
    if (exchange_->bodyComplete) call.endBody();
    if (!replayable_) body_.clear();
    if (!transport.sendsInterimResponse()) return;
    one->silenceTimer = parts.loop.after(kSignOfLife, [self, one] {
      one->silenceTimer = 0;
      self->onSilence(*one);
    });
  }

  void onInterimResponse(Attempt& one) {
    egress_.dependencies_.loop.cancel(one.silenceTimer);
    one.silenceTimer = 0;
    one.silent = false;
    if (!over_) planner_->onInterimResponse(one.endpoint);
  }

  // The node there has taken the bytes and says nothing, not even that it is at work: it stands
  // still, or is slow. Its server may be at work by now, so its answer is awaited all the same;
  // what may run twice goes to another node beside it.
  void onSilence(Attempt& one) {
    if (over_) return;
    const TimePoint now = egress_.dependencies_.loop.now();
    one.silent = true;
    egress_.loadTracker_.onUnreachable(one.endpoint, now);
    carryOut(planner_->onAttemptSilent(one.endpoint, now));
  }

  void onResponseHead(Attempt& one, HTTPResponse& response, const BodyFraming& plan) {
    one.answered = true;
    onInterimResponse(one);
    one.response = std::make_unique<HTTPResponse>(response.getVersion(), response.getStatus(),
                                                  response.getReason());
    http::copyHeaders(response, *one.response, peer_headers::isPeerHeader);
    one.responseFraming = plan;
    one.responseInfo = egress_.dependencies_.transport->readResponse(response);
    const auto& reading = one.responseInfo;
    const TimePoint now = egress_.dependencies_.loop.now();
    if (reading.reportedLoad) {
      // The load told of others is without the request that it answers.
      if (!reading.loadIncludesThisRequest) uncount(one);
      egress_.loadTracker_.onLoadReported(one.endpoint, *reading.reportedLoad, now);
    }
    if (reading.instanceGone) egress_.loadTracker_.onUnreachable(one.endpoint, now);
    if (egress_.dependencies_.gateway && reading.rejection != AttemptOutcome::notExecuted) {
      egress_.loadTracker_.onResponse(one.endpoint, reading.success, now);
    }
  }

  void onResponseBody(const AttemptPtr& one, std::string& bytes) {
    // Of an answer that isn't for the caller, or comes second, nothing is kept.
    if (one->responseInfo.rejection || over_ || (streaming_ && streaming_ != one)) {
      bytes.clear();
      return;
    }
    one->heldBody.append(bytes);
    bytes.clear();
    if (!streaming_ && one->heldBody.size() > kHoldAnswer) beginStream(one);
    if (streaming_ == one) {
      exchange_->sendBody(one->heldBody);
      one->heldBody.clear();
      applyBackpressure();
    }
  }

  // Statuses that promise "not run" are the node's to give, not a server's that may have run it.
  static bool isEmptyPromise(const HTTPResponse& response) {
    const int status = response.getStatus();
    return (status == 503 || status == 429 || status == 408) && !response.has("Not-Executed");
  }

  void beginStream(const AttemptPtr& one) {
    streaming_ = one;
    abandonOtherAttempts(one);
    exchange_->sendHead(*one->response, one->responseFraming);
  }

  void onResponseComplete(const AttemptPtr& one) {
    discardAttempt(one);
    uncount(*one);
    const TimePoint now = egress_.dependencies_.loop.now();
    if (one->responseInfo.rejection) {
      if (*one->responseInfo.rejection == AttemptOutcome::unavailable)
        egress_.loadTracker_.onUnreachable(one->endpoint, now);
      if (*one->responseInfo.rejection == AttemptOutcome::overloaded)
        egress_.loadTracker_.onReachable(one->endpoint);
      failed(*one, *one->responseInfo.rejection);
      return;
    }
    egress_.loadTracker_.onReachable(one->endpoint);
    if (over_ || (streaming_ && streaming_ != one)) return;
    if (!streaming_) {
      if (isEmptyPromise(*one->response)) {
        failed(*one, AttemptOutcome::maybeExecuted);
        return;
      }
      if (one->responseFraming.kind != FramingKind::none || !one->heldBody.empty()) {
        one->responseFraming =
            BodyFraming{one->heldBody.empty() ? FramingKind::none : FramingKind::contentLength,
                        one->heldBody.size()};
      }
      exchange_->sendHead(*one->response, one->responseFraming);
      exchange_->sendBody(one->heldBody);
    }
    ++egress_.stats_.served;
    abandonOtherAttempts(one);
    const auto exchange = exchange_;
    finish();
    exchange->endResponse();
  }

  void onAttemptFailed(const AttemptPtr& one, ClientExchange::Failure failure) {
    auto& parts = egress_.dependencies_;
    const TimePoint now = parts.loop.now();
    const Duration idled = one->exchange->connectionIdleTime();
    discardAttempt(one);
    uncount(*one);
    const bool reused = idled >= Duration(0);
    if (reused && failure == ClientExchange::Failure::staleConnection) {
      egress_.idleTimeouts_.onStaleConnection(service_, idled, now);
    } else if (reused && failure == ClientExchange::Failure::invalidResponse) {
      egress_.idleTimeouts_.onOutOfStep(service_, now);
    }
    if (parts.gateway && failure != ClientExchange::Failure::notSent &&
        failure != ClientExchange::Failure::staleConnection) {
      egress_.loadTracker_.onResponse(one->endpoint, false, now);
    }
    const bool shut = !parts.gateway || failure == ClientExchange::Failure::notSent ||
                      failure == ClientExchange::Failure::noResponse;
    if (shut) egress_.loadTracker_.onUnreachable(one->endpoint, now);
    if (over_) return;
    if (streaming_ == one) {
      cutShort();
      return;
    }
    failed(*one, failure == ClientExchange::Failure::notSent ? AttemptOutcome::unreachable
                                                             : AttemptOutcome::maybeExecuted);
  }

  void failed(const Attempt& one, AttemptOutcome outcome) {
    if (over_ || streaming_) return;
    carryOut(planner_->onAttemptEnded(one.endpoint, outcome, egress_.dependencies_.loop.now()));
  }

  // Own answers are given where no try is out any more, or at the deadline.
  void reject(ErrorKind kind) {
    if (responseFor(kind).notExecuted) {
      ++egress_.stats_.rejected;
    } else {
      ++egress_.stats_.failed;
    }
    const auto exchange = exchange_;
    finish();
    exchange->respondError(kind);
  }

  // The answer has begun and can't be ended.
  void cutShort() {
    ++egress_.stats_.failed;
    const auto exchange = exchange_;
    finish();
    exchange->abortResponse();
  }

  void onDeadline() {
    if (over_) {
      endLeft();
      return;
    }
    if (streaming_) {
      cutShort();
      return;
    }
    const bool sent = std::any_of(attempts_.begin(), attempts_.end(),
                                  [](const AttemptPtr& one) { return one->exchange->maybeSent(); });
    reject(planner_->errorAtDeadline(sent));
  }

  void onClientGone() {
    if (over_) return;
    finish();
  }

  void uncount(Attempt& one) {
    if (!one.counted) return;
    one.counted = false;
    egress_.loadTracker_.onRequestEnded(one.endpoint, egress_.dependencies_.loop.now());
  }

  // It is out no longer.
  void discardAttempt(const AttemptPtr& one) {
    egress_.dependencies_.loop.cancel(one->silenceTimer);
    one->silenceTimer = 0;
    std::erase(attempts_, one);
    std::erase(clientLeft_, one);
  }

  void cancel(const AttemptPtr& one) {
    discardAttempt(one);
    uncount(*one);
    one->exchange->cancel();
  }

  // Another's answer has won. A try whose node stands still is called back: nothing of it is passed
  // on once the node goes on (`Ingress::visit`). One that shows life probably runs: its server is
  // let finish, for the slot is taken and an end half-way helps nobody.
  void abandonOtherAttempts(const AttemptPtr& winner) {
    const auto tries = attempts_;
    for (const auto& one : tries) {
      if (one == winner) continue;
      if (one->silent || one->silenceTimer != 0 || !exchange_->bodyComplete) {
        cancel(one);
      } else {
        std::erase(attempts_, one);
        clientLeft_.push_back(one);
      }
    }
  }

  void endLeft() {
    const auto left = clientLeft_;
    for (const auto& one : left) cancel(one);
  }

  void finish() {
    over_ = true;
    const auto tries = attempts_;
    for (const auto& one : tries) cancel(one);
    if (clientLeft_.empty()) {
      egress_.dependencies_.loop.cancel(timer_);
      timer_ = 0;
    }
    --egress_.inFlight_;
    egress_.dependencies_.loop.defer([a = std::move(exchange_->onBody),
                                      b = std::move(exchange_->onClientGone),
                                      c = std::move(exchange_->onFlushed)] {});
    exchange_->onBody = nullptr;
    exchange_->onClientGone = nullptr;
    exchange_->onFlushed = nullptr;
  }

  Egress& egress_;
  ServerExchange::Ptr exchange_;
  int priority_;
  bool idempotent_;
  TimePoint deadline_;
  TimePoint target_;
  std::unique_ptr<AttemptPlanner> planner_;
  event::EventLoop::TimerId timer_ = 0;
  ServiceName service_;
  std::string body_;
  std::vector<AttemptPtr> attempts_;    // out, and owed an answer
  std::vector<AttemptPtr> clientLeft_;  // out, and overtaken by another
  AttemptPtr streaming_;                // whose answer the caller is getting
  bool replayable_ = true;
  bool over_ = false;
};

Egress::Egress(Dependencies parts)
    : dependencies_(std::move(parts)),
      picker_(dependencies_.seed),
      retryBudget_(dependencies_.retryBudget),
      subset_({dependencies_.registry, *dependencies_.transport, loadTracker_, dependencies_.self,
               dependencies_.zone, dependencies_.gateway,
               [this](const ServiceName& service) {
                 const auto routeTable = dependencies_.routeTable();
                 return routeTable ? routeTable->maxConnections(service) : 0;
               }},
              dependencies_.seed + 1) {}

const config::Route* Egress::findRoute(const ServerExchange& exchange,
                                       const config::RouteTable& routeTable) const {
  return routeTable.findRoute(exchange.request.get("Host", ""), exchange.request.getURI());
}

bool Egress::mayPipeline(const ServerExchange& exchange) const {
  const auto routeTable = dependencies_.routeTable();
  if (!routeTable || rejecting_) return false;
  const auto* route = findRoute(exchange, *routeTable);
  return route != nullptr && route->idempotent;
}

void Egress::handle(const ServerExchange::Ptr& exchange) {
  ++stats_.requests;
  const auto routeTable = dependencies_.routeTable();
  if (rejecting_ || !routeTable) {
    ++stats_.rejected;
    exchange->respondError(rejecting_ ? ErrorKind::shuttingDown : ErrorKind::noConfiguration);
    return;
  }
  const auto* route = findRoute(*exchange, *routeTable);
  if (route == nullptr) {
    // A node that is behind can't say that there is no such route.
    exchange->respondError(dependencies_.isUpToDate() ? ErrorKind::noRoute
                                                      : ErrorKind::staleConfiguration);
    return;
  }
  // A caller that closed while this node stood still has given the request up.
  if (exchange->clientHasClosed()) return;
  std::make_shared<EgressRequest>(*this, exchange, *route)->start(*route);
}

}  // namespace merlingauge::proxy
