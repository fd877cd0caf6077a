#include "proxy/ingress.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPMessage.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <utility>

#include "http/message_headers.hpp"
#include "proxy/peer_headers.hpp"
#include "proxy/upstream_transport.hpp"

namespace merlingauge::proxy {

using http::BodyFraming;
using http::ClientExchange;
using http::FramingKind;
using http::ServerExchange;
using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {
constexpr std::size_t kPauseAbove = 256 * 1024;
constexpr std::size_t kReplayLimit = 64 * 1024;
constexpr Duration kFreshOnce = std::chrono::milliseconds(1500);
constexpr Duration kFreshSafe = std::chrono::seconds(20);
// A server that had closed a kept connection resets it at once; what breaks off later was read.
constexpr Duration kUnreadWithin = std::chrono::milliseconds(40);
// Servers that say they drain take nothing new after this part of the drain time.
constexpr double kDrainPart = 0.5;
constexpr double kWeight = 0.1;  // of the newest answer in the share that fails
constexpr int kTellStep = 2;     // tenths by which it must have changed to be told
constexpr Duration kTellEvery = std::chrono::milliseconds(500);

std::int64_t numberOf(const std::string& text, std::int64_t otherwise) {
  std::int64_t out = otherwise;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), out);
  return read.ec == std::errc() ? out : otherwise;
}
}  // namespace

// One request at the server beside this node.
class IngressRequest : public std::enable_shared_from_this<IngressRequest> {
 public:
  IngressRequest(Ingress& ingress, ServerExchange::Ptr exchange, InstanceId id)
      : ingress_(ingress),
        exchange_(std::move(exchange)),
        id_(std::move(id)),
        ticket_(++ingress.tickets_) {}

  void start() {
    auto& loop = ingress_.dependencies_.loop;
    const TimePoint now = loop.now();
    const auto ms = numberOf(exchange_->request.get("Deadline-Ms", ""), 60000);
    deadline_ =
        exchange_->startedAt + fromMillis(static_cast<double>(std::max<std::int64_t>(ms, 0)));
    nonIdempotent_ = exchange_->request.has(peer_headers::kNonIdempotent);
    auto& gate = ingress_.gates_.at(id_);
    AdmissionQueue::Arrival arrival;
    arrival.ticket = ticket_;
    arrival.priority =
        static_cast<int>(numberOf(exchange_->request.get(peer_headers::kPriority, ""), 9));
    arrival.deadline = deadline_;
    arrival.targetTime =
        exchange_->startedAt + fromMillis(static_cast<double>(numberOf(
                                   exchange_->request.get(peer_headers::kTimeToTarget, ""), ms)));
    arrival.mayQueue = exchange_->request.has(peer_headers::kMayQueue);
    const auto answer = gate.queue.admit(arrival, now);
    if (answer == AdmissionQueue::Admission::rejected) {
      ++ingress_.stats_.overloaded;
      reject(peer_headers::kOverloaded);
      return;
    }
    const auto self = shared_from_this();
    exchange_->onBody = [self] { self->moreBody(); };
    exchange_->onClientGone = [self] { self->onClientGone(); };
    exchange_->onFlushed = [self] { self->applyBackpressure(); };
    takeBody();
    exchange_->sendProcessing();
    if (answer == AdmissionQueue::Admission::admitted) {
      run();
      return;
    }
    ++ingress_.stats_.queued;
    queued_ = true;
    gate.waiting[ticket_] = weak_from_this();
    ingress_.armTimer(id_, gate);
  }

  // Its turn has come, or its time is up: the queue has let go of it.
  void isUpstreamOpen(bool runs) {
    queued_ = false;
    running_ = runs;
  }

  [[nodiscard]] bool over() const { return over_; }

  void run() {
    running_ = true;
    // A caller that closed was called elsewhere or has given up: what it sent stays here.
    if (exchange_->clientHasClosed()) {
      finish(Duration(0));
      return;
    }
    ++ingress_.stats_.admitted;
    startedAt_ = ingress_.dependencies_.loop.now();
    send(ingress_.idleTimeouts_.idleLimit(service(), nonIdempotent_ ? kFreshOnce : kFreshSafe,
                                          startedAt_));
  }

  void reject(const char* why) {
    const auto exchange = exchange_;
    finish(Duration(0));
    const auto& row = responseFor(ErrorKind::overloaded);
    exchange->respond(row.status, row.reason, "", "",
                      {{peer_headers::kRejected, why}, {peer_headers::kLoad, load()}});
  }

 private:
  // One server stands behind an ingress: one name does for all its lives.
  static ServiceName service() { return ServiceName(); }

  [[nodiscard]] std::string load() const {
    const auto it = ingress_.gates_.find(id_);
    if (it == ingress_.gates_.end()) return "0,1";
    const auto& queue = it->second.queue;
    return std::to_string(queue.running() + queue.queued()) + "," + std::to_string(queue.slots());
  }

  void takeBody() {
    body_.append(exchange_->receivedBody);
    exchange_->receivedBody.clear();
  }

  void moreBody() {
    const auto had = body_.size();
    takeBody();
    if (upstream_ && !answered_) {
      upstream_->sendBody(std::string_view(body_).substr(had));
      if (exchange_->bodyComplete) upstream_->endBody();
      if (!replayable()) body_.clear();
    }
    exchange_->bodyConsumed(upstream_ ? upstream_->unsentBytes() : body_.size());
  }

  [[nodiscard]] bool replayable() {
    replayable_ = replayable_ && body_.size() <= kReplayLimit;
    return replayable_;
  }

  void applyBackpressure() {
    if (upstream_ && streaming_) upstream_->pauseReading(exchange_->unsentBytes() > kPauseAbove);
  }

  void send(Duration freshness) {
    auto& parts = ingress_.dependencies_;
    HTTPRequest request(exchange_->request.getMethod(), exchange_->request.getURI(),
                        HTTPMessage::HTTP_1_1);
    http::copyHeaders(exchange_->request, request, peer_headers::isDroppedAtIngress);
    const auto left = (deadline_ - parts.loop.now()).count() / 1000;
    request.set("Deadline-Ms", std::to_string(std::max<std::int64_t>(1, left)));
    http::setFramingHeaders(exchange_->requestFraming, exchange_->request, request);
    upstream_ = parts.pool.startExchange(Poco::Net::SocketAddress(parts.appAddress), request,
                                         exchange_->requestFraming.kind, freshness, id_.str());
    const auto self = shared_from_this();
    upstream_->onResponseHead = [self](HTTPResponse& response, const BodyFraming& plan) {
      self->onResponseHead(response, plan);
    };
    upstream_->onBody = [self](std::string& bytes) { self->onResponseBody(bytes); };
    upstream_->onComplete = [self] { self->onResponseComplete(); };
    upstream_->onFailure = [self](ClientExchange::Failure failure) {
      self->onUpstreamFailed(failure);
    };
    upstream_->onFlushed = [self] {
      if (!self->over_) self->exchange_->bodyConsumed(0);
    };
    upstream_->sendBody(body_);
    if (exchange_->bodyComplete) upstream_->endBody();
    if (!replayable()) body_.clear();
  }

  void onResponseHead(HTTPResponse& response, const BodyFraming& plan) {
    answered_ = true;
    const int status = response.getStatus();
    notExecuted_ = isNotExecuted(response);
    if (notExecuted_) return;
    const bool hollow = status == 503 && !response.has("Not-Executed");
    ingress_.onServerResponse(
        id_, status != 500 && status != 502 && !hollow && !isUnsealedSuccess(response));
    HTTPResponse out(HTTPMessage::HTTP_1_1, response.getStatus(), response.getReason());
    http::copyHeaders(response, out, peer_headers::isPeerHeader);
    // This request still counts as running: the load told is without it.
    const auto it = ingress_.gates_.find(id_);
    if (it != ingress_.gates_.end()) {
      const auto& queue = it->second.queue;
      out.set(peer_headers::kLoad,
              std::to_string(std::max(0, queue.running() + queue.queued() - 1)) + "," +
                  std::to_string(queue.slots()));
    }
    streaming_ = true;
    exchange_->sendHead(out, plan);
  }

  void onResponseBody(std::string& bytes) {
    if (streaming_) {
      exchange_->sendBody(bytes);
      applyBackpressure();
    }
    bytes.clear();
  }

  void onResponseComplete() {
    upstream_ = nullptr;
    if (notExecuted_ && resent_) {
      failUnknownOutcome();
      return;
    }
    if (notExecuted_) {
      reject(peer_headers::kNotExecuted);
      return;
    }
    const auto exchange = exchange_;
    finish(ingress_.dependencies_.loop.now() - startedAt_);
    exchange->endResponse();
  }

  void onUpstreamFailed(ClientExchange::Failure failure) {
    const TimePoint now = ingress_.dependencies_.loop.now();
    const Duration idled = upstream_ ? upstream_->connectionIdleTime() : Duration(-1);
    upstream_ = nullptr;
    if (idled >= Duration(0) && failure == ClientExchange::Failure::staleConnection) {
      ingress_.idleTimeouts_.onStaleConnection(service(), idled, now);
    } else if (idled >= Duration(0) && failure == ClientExchange::Failure::invalidResponse) {
      ingress_.idleTimeouts_.onOutOfStep(service(), now);
    }
    if (failure != ClientExchange::Failure::notSent &&
        failure != ClientExchange::Failure::staleConnection) {
      ingress_.onServerResponse(id_, false);
    }
    if (streaming_) {
      ++ingress_.stats_.unknownOutcome;
      const auto exchange = exchange_;
      finish(Duration(0));
      exchange->abortResponse();
      return;
    }
    if (failure == ClientExchange::Failure::notSent && !resent_) {
      ++ingress_.stats_.unavailable;
      ingress_.dependencies_.onServerUnreachable(id_);
      reject(peer_headers::kUnavailable);
      return;
    }
    // A kept connection that the server had dropped: what may run twice goes on a new one.
    if (failure == ClientExchange::Failure::staleConnection && !nonIdempotent_ && replayable_ &&
        !resent_ && now - startedAt_ < kUnreadWithin) {
      resent_ = true;
      send(Duration(-1));
      return;
    }
    failUnknownOutcome();
  }

  void failUnknownOutcome() {
    ++ingress_.stats_.unknownOutcome;
    const auto exchange = exchange_;
    finish(Duration(0));
    const auto& row = responseFor(ErrorKind::possiblyExecuted);
    exchange->respond(row.status, row.reason, "", "",
                      {{peer_headers::kUnknownOutcome, "1"}, {peer_headers::kLoad, load()}});
  }

  void onClientGone() {
    if (!over_) finish(Duration(0));
  }

  void finish(Duration took) {
    if (over_) return;
    over_ = true;
    if (upstream_) upstream_->cancel();
    upstream_ = nullptr;
    ingress_.dependencies_.loop.defer(
        [a = std::move(exchange_->onBody), b = std::move(exchange_->onClientGone),
         c = std::move(exchange_->onFlushed), self = shared_from_this()] {});
    exchange_->onBody = nullptr;
    exchange_->onClientGone = nullptr;
    exchange_->onFlushed = nullptr;
    const auto it = ingress_.gates_.find(id_);
    if (it == ingress_.gates_.end()) return;
    auto& gate = it->second;
    const TimePoint now = ingress_.dependencies_.loop.now();
    gate.waiting.erase(ticket_);
    if (queued_) {
      ingress_.applyTransitions(id_, gate.queue.cancel(ticket_, now));
    } else if (running_) {
      running_ = false;
      ingress_.applyTransitions(id_, gate.queue.onRequestEnded(now, took));
    }
  }

  Ingress& ingress_;
  ServerExchange::Ptr exchange_;
  InstanceId id_;
  AdmissionQueue::Ticket ticket_;
  TimePoint deadline_;
  TimePoint startedAt_;
  ClientExchange::Ptr upstream_;
  std::string body_;
  bool nonIdempotent_ = true;
  bool queued_ = false;
  bool running_ = false;
  bool replayable_ = true;
  bool answered_ = false;
  bool notExecuted_ = false;
  bool resent_ = false;  // so the server may have seen it, whatever becomes of the second call
  bool streaming_ = false;
  bool over_ = false;
};

Ingress::Ingress(Dependencies parts) : dependencies_(std::move(parts)) {}

int Ingress::running() const {
  int sum = 0;
  for (const auto& [id, gate] : gates_) sum += gate.queue.running() + gate.queue.queued();
  return sum;
}

void Ingress::onInstanceUpdate(const membership::Instance& server, TimePoint now) {
  if (server.address != dependencies_.appAddress) return;
  auto it = gates_.find(server.id);
  if (it == gates_.end()) {
    // Lives that are over and idle are forgotten when a new one comes.
    std::erase_if(gates_, [](const auto& entry) {
      const auto& gate = entry.second;
      return gate.closesAt && gate.queue.running() == 0 && gate.waiting.empty();
    });
    it = gates_.emplace(server.id, InstanceGate(server.capacity)).first;
    // It drained before this life of the node began: an earlier one may have acknowledged it.
    if (server.status != membership::Instance::Status::available) it->second.closesAt = now;
  }
  auto& gate = it->second;
  gate.queue.setSlots(server.capacity);
  if (server.status == membership::Instance::Status::available || gate.closesAt) return;
  const bool gone = server.status == membership::Instance::Status::gone;
  gate.closesAt =
      gone ? now : now + fromSeconds(toSeconds(dependencies_.drainTimeout) * kDrainPart);
  dependencies_.loop.after(*gate.closesAt - now, [this, id = server.id] {
    const auto at = gates_.find(id);
    if (at == gates_.end()) return;
    AdmissionQueue::Transitions moves;
    moves.expired = at->second.queue.rejectAll();
    applyTransitions(id, moves);
  });
}

void Ingress::onServerResponse(const InstanceId& id, bool well) {
  const auto it = gates_.find(id);
  if (it == gates_.end()) return;
  auto& gate = it->second;
  gate.failureRate += kWeight * ((well ? 0.0 : 1.0) - gate.failureRate);
  const int tenths = static_cast<int>(std::lround(gate.failureRate * 10));
  const TimePoint now = dependencies_.loop.now();
  const bool tell = std::abs(tenths - gate.reportedTenths) >= kTellStep ||
                    (tenths == 0 && gate.reportedTenths != 0);
  if (!tell || now - gate.reportedAt < kTellEvery) return;
  gate.reportedTenths = tenths;
  gate.reportedAt = now;
  dependencies_.onFailureRate(id, tenths);
}

void Ingress::armTimer(const InstanceId& id, InstanceGate& gate) {
  dependencies_.loop.cancel(gate.timer);
  gate.timer = 0;
  const TimePoint first = gate.queue.nextDeadline();
  if (first == TimePoint::max()) return;
  gate.timer =
      dependencies_.loop.after(first - dependencies_.loop.now() + fromMillis(1), [this, id] {
        const auto it = gates_.find(id);
        if (it == gates_.end()) return;
        it->second.timer = 0;
        applyTransitions(id, it->second.queue.tick(dependencies_.loop.now()));
      });
}

void Ingress::applyTransitions(const InstanceId& id, const AdmissionQueue::Transitions& moves) {
  const auto it = gates_.find(id);
  if (it == gates_.end()) return;
  auto& gate = it->second;
  for (const bool runs : {true, false}) {
    for (const auto ticket : runs ? moves.admitted : moves.expired) {
      const auto at = gate.waiting.find(ticket);
      const auto request = at == gate.waiting.end() ? nullptr : at->second.lock();
      if (at != gate.waiting.end()) gate.waiting.erase(at);
      if (!request) continue;
      request->isUpstreamOpen(runs);
      // Not from inside whatever made room: each starts on its own.
      dependencies_.loop.defer([request, runs] {
        if (request->over()) return;
        if (runs) {
          request->run();
        } else {
          request->reject(peer_headers::kOverloaded);
        }
      });
    }
  }
  armTimer(id, gate);
}

void Ingress::handle(const ServerExchange::Ptr& exchange) {
  const InstanceId id(exchange->request.get("Expected-Instance", ""));
  const auto server = dependencies_.findInstance(id);
  const auto it = gates_.find(id);
  const TimePoint now = dependencies_.loop.now();
  const bool open = !rejecting_ && server && it != gates_.end() &&
                    server->address == dependencies_.appAddress &&
                    server->status != membership::Instance::Status::gone &&
                    !(it->second.closesAt && *it->second.closesAt <= now);
  if (!open) {
    ++stats_.unavailable;
    const auto& row = responseFor(ErrorKind::noEndpoint);
    exchange->respond(row.status, row.reason, "", "",
                      {{peer_headers::kRejected, peer_headers::kUnavailable}});
    return;
  }
  std::make_shared<IngressRequest>(*this, exchange, id)->start();
}

}  // namespace merlingauge::proxy
