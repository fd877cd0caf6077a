#include "request/ingress.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPMessage.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <utility>

#include "request/approach.hpp"
#include "request/hop.hpp"

namespace merlin::trail {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using saddle::BodyKind;
using saddle::BodyPlan;
using saddle::Call;
using saddle::Visit;

namespace {
constexpr std::size_t kPauseAbove = 256 * 1024;
constexpr std::size_t kReplayLimit = 64 * 1024;
constexpr Span kFreshOnce = std::chrono::milliseconds(1500);
constexpr Span kFreshSafe = std::chrono::seconds(20);
// A server that had closed a kept connection resets it at once; what breaks off later was read.
constexpr Span kUnreadWithin = std::chrono::milliseconds(40);
// Servers that say they drain take nothing new after this part of the drain time.
constexpr double kDrainPart = 0.5;
constexpr double kWeight = 0.1;  // of the newest answer in the share that fails
constexpr int kTellStep = 2;     // tenths by which it must have changed to be told
constexpr Span kTellEvery = std::chrono::milliseconds(500);

std::int64_t numberOf(const std::string& text, std::int64_t otherwise) {
  std::int64_t out = otherwise;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), out);
  return read.ec == std::errc() ? out : otherwise;
}
}  // namespace

// One request at the server beside this node.
class Passage : public std::enable_shared_from_this<Passage> {
 public:
  Passage(Ingress& ingress, Visit::Ptr visit, InstanceId id)
      : ingress_(ingress),
        visit_(std::move(visit)),
        id_(std::move(id)),
        ticket_(++ingress.tickets_) {}

  void start() {
    auto& bell = ingress_.parts_.bell;
    const Instant now = bell.now();
    const auto ms = numberOf(visit_->request.get("Deadline-Ms", ""), 60000);
    deadline_ = visit_->began + fromMillis(static_cast<double>(std::max<std::int64_t>(ms, 0)));
    once_ = visit_->request.has(hop::kOnce);
    auto& gate = ingress_.gates_.at(id_);
    Turnstile::Arrival arrival;
    arrival.ticket = ticket_;
    arrival.rank = static_cast<int>(numberOf(visit_->request.get(hop::kRank, ""), 9));
    arrival.deadline = deadline_;
    arrival.target =
        visit_->began +
        fromMillis(static_cast<double>(numberOf(visit_->request.get(hop::kTarget, ""), ms)));
    arrival.mayWait = visit_->request.has(hop::kWait);
    const auto answer = gate.turnstile.arrive(arrival, now);
    if (answer == Turnstile::Answer::full) {
      ++ingress_.counts_.full;
      refuse(hop::kFull);
      return;
    }
    const auto self = shared_from_this();
    visit_->onBody = [self] { self->moreBody(); };
    visit_->onGone = [self] { self->callerLeft(); };
    visit_->onDrain = [self] { self->pace(); };
    takeBody();
    visit_->processing();
    if (answer == Turnstile::Answer::run) {
      run();
      return;
    }
    ++ingress_.counts_.queued;
    queued_ = true;
    gate.waiting[ticket_] = weak_from_this();
    ingress_.arm(id_, gate);
  }

  // Its turn has come, or its time is up: the queue has let go of it.
  void called(bool runs) {
    queued_ = false;
    running_ = runs;
  }

  [[nodiscard]] bool over() const { return over_; }

  void run() {
    running_ = true;
    // A caller that closed was called elsewhere or has given up: what it sent stays here.
    if (visit_->abandoned()) {
      finish(Span(0));
      return;
    }
    ++ingress_.counts_.admitted;
    began_ = ingress_.parts_.bell.now();
    send(ingress_.freshness_.limit(service(), once_ ? kFreshOnce : kFreshSafe, began_));
  }

  void refuse(const char* why) {
    const auto visit = visit_;
    finish(Span(0));
    const auto& row = answerFor(ErrorKind::overloaded);
    visit->answer(row.status, row.reason, "", "", {{hop::kRefused, why}, {hop::kLoad, load()}});
  }

 private:
  // One server stands behind an ingress: one name does for all its lives.
  static ServiceName service() { return ServiceName(); }

  [[nodiscard]] std::string load() const {
    const auto it = ingress_.gates_.find(id_);
    if (it == ingress_.gates_.end()) return "0,1";
    const auto& turnstile = it->second.turnstile;
    return std::to_string(turnstile.running() + turnstile.waiting()) + "," +
           std::to_string(turnstile.slots());
  }

  void takeBody() {
    body_.append(visit_->body);
    visit_->body.clear();
  }

  void moreBody() {
    const auto had = body_.size();
    takeBody();
    if (call_ && !answered_) {
      call_->body(std::string_view(body_).substr(had));
      if (visit_->bodyDone) call_->bodyEnd();
      if (!replayable()) body_.clear();
    }
    visit_->takenBody(call_ ? call_->unsent() : body_.size());
  }

  [[nodiscard]] bool replayable() {
    replayable_ = replayable_ && body_.size() <= kReplayLimit;
    return replayable_;
  }

  void pace() {
    if (call_ && streaming_) call_->pause(visit_->unsent() > kPauseAbove);
  }

  void send(Span freshness) {
    auto& parts = ingress_.parts_;
    HTTPRequest request(visit_->request.getMethod(), visit_->request.getURI(),
                        HTTPMessage::HTTP_1_1);
    saddle::copyHeaders(visit_->request, request, hop::dropAtIngress);
    const auto left = (deadline_ - parts.bell.now()).count() / 1000;
    request.set("Deadline-Ms", std::to_string(std::max<std::int64_t>(1, left)));
    saddle::planHeaders(visit_->plan, visit_->request, request);
    call_ = parts.ropes.call(Poco::Net::SocketAddress(parts.appAddress), request, visit_->plan.kind,
                             freshness, id_.str());
    const auto self = shared_from_this();
    call_->onHead = [self](HTTPResponse& response, const BodyPlan& plan) {
      self->answerHead(response, plan);
    };
    call_->onBody = [self](std::string& bytes) { self->answerBody(bytes); };
    call_->onDone = [self] { self->answerDone(); };
    call_->onFail = [self](Call::Failure failure) { self->callFailed(failure); };
    call_->onDrain = [self] {
      if (!self->over_) self->visit_->takenBody(0);
    };
    call_->body(body_);
    if (visit_->bodyDone) call_->bodyEnd();
    if (!replayable()) body_.clear();
  }

  void answerHead(HTTPResponse& response, const BodyPlan& plan) {
    answered_ = true;
    const int status = response.getStatus();
    turnedAway_ = turnedAway(response);
    if (turnedAway_) return;
    const bool hollow = status == 503 && !response.has("Not-Executed");
    ingress_.answered(id_, status != 500 && status != 502 && !hollow && !unsealed(response));
    HTTPResponse out(HTTPMessage::HTTP_1_1, response.getStatus(), response.getReason());
    saddle::copyHeaders(response, out, hop::ours);
    // This request still counts as running: the load told is without it.
    const auto it = ingress_.gates_.find(id_);
    if (it != ingress_.gates_.end()) {
      const auto& turnstile = it->second.turnstile;
      out.set(hop::kLoad,
              std::to_string(std::max(0, turnstile.running() + turnstile.waiting() - 1)) + "," +
                  std::to_string(turnstile.slots()));
    }
    streaming_ = true;
    visit_->head(out, plan);
  }

  void answerBody(std::string& bytes) {
    if (streaming_) {
      visit_->piece(bytes);
      pace();
    }
    bytes.clear();
  }

  void answerDone() {
    call_ = nullptr;
    if (turnedAway_ && resent_) {
      unclear();
      return;
    }
    if (turnedAway_) {
      refuse(hop::kTurnedAway);
      return;
    }
    const auto visit = visit_;
    finish(ingress_.parts_.bell.now() - began_);
    visit->end();
  }

  void callFailed(Call::Failure failure) {
    const Instant now = ingress_.parts_.bell.now();
    const Span idled = call_ ? call_->idled() : Span(-1);
    call_ = nullptr;
    if (idled >= Span(0) && failure == Call::Failure::stale) {
      ingress_.freshness_.stale(service(), idled, now);
    } else if (idled >= Span(0) && failure == Call::Failure::junk) {
      ingress_.freshness_.outOfStep(service(), now);
    }
    if (failure != Call::Failure::notSent && failure != Call::Failure::stale) {
      ingress_.answered(id_, false);
    }
    if (streaming_) {
      ++ingress_.counts_.unclear;
      const auto visit = visit_;
      finish(Span(0));
      visit->cut();
      return;
    }
    if (failure == Call::Failure::notSent && !resent_) {
      ++ingress_.counts_.notThere;
      ingress_.parts_.serverRefuses(id_);
      refuse(hop::kNotThere);
      return;
    }
    // A kept connection that the server had dropped: what may run twice goes on a new one.
    if (failure == Call::Failure::stale && !once_ && replayable_ && !resent_ &&
        now - began_ < kUnreadWithin) {
      resent_ = true;
      send(Span(-1));
      return;
    }
    unclear();
  }

  void unclear() {
    ++ingress_.counts_.unclear;
    const auto visit = visit_;
    finish(Span(0));
    const auto& row = answerFor(ErrorKind::maybeRun);
    visit->answer(row.status, row.reason, "", "", {{hop::kUnclear, "1"}, {hop::kLoad, load()}});
  }

  void callerLeft() {
    if (!over_) finish(Span(0));
  }

  void finish(Span took) {
    if (over_) return;
    over_ = true;
    if (call_) call_->cancel();
    call_ = nullptr;
    ingress_.parts_.bell.later([a = std::move(visit_->onBody), b = std::move(visit_->onGone),
                                c = std::move(visit_->onDrain), self = shared_from_this()] {});
    visit_->onBody = nullptr;
    visit_->onGone = nullptr;
    visit_->onDrain = nullptr;
    const auto it = ingress_.gates_.find(id_);
    if (it == ingress_.gates_.end()) return;
    auto& gate = it->second;
    const Instant now = ingress_.parts_.bell.now();
    gate.waiting.erase(ticket_);
    if (queued_) {
      ingress_.move(id_, gate.turnstile.cancel(ticket_, now));
    } else if (running_) {
      running_ = false;
      ingress_.move(id_, gate.turnstile.done(now, took));
    }
  }

  Ingress& ingress_;
  Visit::Ptr visit_;
  InstanceId id_;
  Turnstile::Ticket ticket_;
  Instant deadline_;
  Instant began_;
  Call::Ptr call_;
  std::string body_;
  bool once_ = true;
  bool queued_ = false;
  bool running_ = false;
  bool replayable_ = true;
  bool answered_ = false;
  bool turnedAway_ = false;
  bool resent_ = false;  // so the server may have seen it, whatever becomes of the second call
  bool streaming_ = false;
  bool over_ = false;
};

Ingress::Ingress(Parts parts) : parts_(std::move(parts)) {}

int Ingress::running() const {
  int sum = 0;
  for (const auto& [id, gate] : gates_) sum += gate.turnstile.running() + gate.turnstile.waiting();
  return sum;
}

void Ingress::heard(const cairn::Server& server, Instant now) {
  if (server.address != parts_.appAddress) return;
  auto it = gates_.find(server.id);
  if (it == gates_.end()) {
    // Lives that are over and idle are forgotten when a new one comes.
    std::erase_if(gates_, [](const auto& entry) {
      const auto& gate = entry.second;
      return gate.closes && gate.turnstile.running() == 0 && gate.waiting.empty();
    });
    it = gates_.emplace(server.id, Gate(server.slots)).first;
    // It drained before this life of the node began: an earlier one may have acknowledged it.
    if (server.status != cairn::Server::Status::available) it->second.closes = now;
  }
  auto& gate = it->second;
  gate.turnstile.setSlots(server.slots);
  if (server.status == cairn::Server::Status::available || gate.closes) return;
  const bool gone = server.status == cairn::Server::Status::gone;
  gate.closes = gone ? now : now + fromSeconds(toSeconds(parts_.drainTimeout) * kDrainPart);
  parts_.bell.after(*gate.closes - now, [this, id = server.id] {
    const auto at = gates_.find(id);
    if (at == gates_.end()) return;
    Turnstile::Moves moves;
    moves.tooLate = at->second.turnstile.sendAllAway();
    move(id, moves);
  });
}

void Ingress::answered(const InstanceId& id, bool well) {
  const auto it = gates_.find(id);
  if (it == gates_.end()) return;
  auto& gate = it->second;
  gate.failing += kWeight * ((well ? 0.0 : 1.0) - gate.failing);
  const int tenths = static_cast<int>(std::lround(gate.failing * 10));
  const Instant now = parts_.bell.now();
  const bool tell = std::abs(tenths - gate.ill) >= kTellStep || (tenths == 0 && gate.ill != 0);
  if (!tell || now - gate.illAt < kTellEvery) return;
  gate.ill = tenths;
  gate.illAt = now;
  parts_.ill(id, tenths);
}

void Ingress::arm(const InstanceId& id, Gate& gate) {
  parts_.bell.cancel(gate.timer);
  gate.timer = 0;
  const Instant first = gate.turnstile.nextDeadline();
  if (first == Instant::max()) return;
  gate.timer = parts_.bell.after(first - parts_.bell.now() + fromMillis(1), [this, id] {
    const auto it = gates_.find(id);
    if (it == gates_.end()) return;
    it->second.timer = 0;
    move(id, it->second.turnstile.tick(parts_.bell.now()));
  });
}

void Ingress::move(const InstanceId& id, const Turnstile::Moves& moves) {
  const auto it = gates_.find(id);
  if (it == gates_.end()) return;
  auto& gate = it->second;
  for (const bool runs : {true, false}) {
    for (const auto ticket : runs ? moves.run : moves.tooLate) {
      const auto at = gate.waiting.find(ticket);
      const auto passage = at == gate.waiting.end() ? nullptr : at->second.lock();
      if (at != gate.waiting.end()) gate.waiting.erase(at);
      if (!passage) continue;
      passage->called(runs);
      // Not from inside whatever made room: each starts on its own.
      parts_.bell.later([passage, runs] {
        if (passage->over()) return;
        if (runs) {
          passage->run();
        } else {
          passage->refuse(hop::kFull);
        }
      });
    }
  }
  arm(id, gate);
}

void Ingress::visit(const Visit::Ptr& visit) {
  const InstanceId id(visit->request.get("Expected-Instance", ""));
  const auto server = parts_.server(id);
  const auto it = gates_.find(id);
  const Instant now = parts_.bell.now();
  const bool open = !refusing_ && server && it != gates_.end() &&
                    server->address == parts_.appAddress &&
                    server->status != cairn::Server::Status::gone &&
                    !(it->second.closes && *it->second.closes <= now);
  if (!open) {
    ++counts_.notThere;
    const auto& row = answerFor(ErrorKind::noServer);
    visit->answer(row.status, row.reason, "", "", {{hop::kRefused, hop::kNotThere}});
    return;
  }
  std::make_shared<Passage>(*this, visit, id)->start();
}

}  // namespace merlin::trail
