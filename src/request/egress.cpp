#include "request/egress.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPMessage.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

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
constexpr std::size_t kReplayLimit = 64 * 1024;  // request bodies up to here can be sent again
constexpr std::size_t kHoldAnswer = 64 * 1024;   // answers up to here are held until whole
constexpr std::size_t kPauseAbove = 256 * 1024;  // back-pressure between the two sides
constexpr Span kSignOfLife = std::chrono::milliseconds(150);
constexpr Span kFreshOnce = std::chrono::seconds(2);
constexpr Span kFreshOnceDirect = std::chrono::seconds(5);
constexpr double kMostJobsDirect = 2.0;  // of an edge's own at one server, in its slots
constexpr Span kFreshSafe = std::chrono::seconds(20);

double numberOf(const std::string& text, double otherwise) {
  double out = otherwise;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), out);
  return read.ec == std::errc() && std::isfinite(out) ? out : otherwise;
}
}  // namespace

// One request on its way: the io around an Ascent.
class Trip : public std::enable_shared_from_this<Trip> {
 public:
  Trip(Egress& egress, Visit::Ptr visit, const cairn::Route& route)
      : egress_(egress),
        visit_(std::move(visit)),
        rank_(route.priority),
        idempotent_(route.idempotent) {}

  void start(const cairn::Route& route) {
    auto& bell = egress_.parts_.bell;
    const double timeout = toMillis(route.timeout);
    const double asked = numberOf(visit_->request.get("Deadline-Ms", ""), timeout);
    deadline_ = visit_->began + fromMillis(std::clamp(asked, 0.0, timeout));
    target_ = visit_->began + route.target;
    Terms terms;
    terms.service = route.pickService(egress_.wayfinder_.uniform());
    terms.idempotent = route.idempotent;
    terms.maxAttempts = route.maxAttempts;
    terms.deadline = deadline_;
    service_ = terms.service;
    if (egress_.parts_.gateway) terms.mostJobs = kMostJobsDirect;
    auto& egress = egress_;
    ascent_ = std::make_unique<Ascent>(
        terms,
        [&egress, service = terms.service,
         once = !route.idempotent]() -> const std::vector<Candidate>& {
          return egress.range_.candidates(service, once, egress.parts_.bell.now());
        },
        egress_.wayfinder_, egress_.toll_);
    ++egress_.inFlight_;
    const auto self = shared_from_this();
    visit_->onBody = [self] { self->moreBody(); };
    visit_->onGone = [self] { self->callerLeft(); };
    visit_->onDrain = [self] { self->pace(); };
    timer_ = bell.after(deadline_ - bell.now(), [self] {
      self->timer_ = 0;
      self->timeUp();
    });
    takeBody();
    carryOut(ascent_->begin(bell.now()));
  }

 private:
  // One try of the request at one server.
  struct Try {
    InstanceId at;
    Call::Ptr call;
    hut::Bell::TimerId lifeTimer = 0;
    std::string held;
    std::unique_ptr<HTTPResponse> response;
    BodyPlan plan;
    Reading reading;
    bool answered = false;
    bool silent = false;  // has shown no sign of life for too long
    bool counted = false;
  };
  using TryPtr = std::shared_ptr<Try>;

  void takeBody() {
    body_.append(visit_->body);
    visit_->body.clear();
  }

  void moreBody() {
    const auto had = body_.size();
    takeBody();
    for (const auto& one : tries_) {
      if (one->answered) continue;
      one->call->body(std::string_view(body_).substr(had));
      if (visit_->bodyDone) one->call->bodyEnd();
    }
    if (replayable_ && body_.size() > kReplayLimit) {
      replayable_ = false;
      ascent_->bodyLost();
    }
    if (!replayable_ && !tries_.empty()) body_.clear();
    std::size_t unsent = tries_.empty() ? body_.size() : 0;
    for (const auto& one : tries_) unsent = std::max(unsent, one->call->unsent());
    visit_->takenBody(unsent);
  }

  void pace() {
    if (streaming_) streaming_->call->pause(visit_->unsent() > kPauseAbove);
  }

  void carryOut(const Step& step) {
    if (over_) return;
    switch (step.what) {
      case Step::Do::answer:
        refuse(step.error);
        break;
      case Step::Do::send:
        send(step);
        break;
      case Step::Do::wait:
        break;
    }
  }

  void send(const Step& step) {
    auto& parts = egress_.parts_;
    const Instant now = parts.bell.now();
    const auto& peak = Range::peak(step.to);
    const auto& approach = *parts.approach;
    const auto one = std::make_shared<Try>();
    one->at = peak.id;
    ++egress_.counts_.hops;
    HTTPRequest request(visit_->request.getMethod(), visit_->request.getURI(),
                        HTTPMessage::HTTP_1_1);
    saddle::copyHeaders(visit_->request, request, hop::dropAtEgress);
    request.set("Deadline-Ms",
                std::to_string(std::max<std::int64_t>(1, (deadline_ - now).count() / 1000)));
    request.set("Expected-Instance", one->at.str());
    if (!parts.callerService.empty()) request.set("Caller-Service", parts.callerService.str());
    approach.dress({one->at, rank_, step.mayWait, !idempotent_, target_ - now}, request);
    saddle::planHeaders(visit_->plan, visit_->request, request);
    egress_.loads_.began(one->at, now);
    one->counted = true;
    const Span once = parts.gateway ? kFreshOnceDirect : kFreshOnce;
    const Span fresh = egress_.freshness_.limit(service_, idempotent_ ? kFreshSafe : once, now);
    one->call = parts.ropes.call(peak.at, request, visit_->plan.kind, fresh, peak.life);
    tries_.push_back(one);
    auto& call = *one->call;
    const auto self = shared_from_this();
    call.onHead = [self, one](HTTPResponse& response, const BodyPlan& plan) {
      self->answerHead(*one, response, plan);
    };
    call.onInterim = [self, one] { self->signOfLife(*one); };
    call.onBody = [self, one](std::string& bytes) { self->answerBody(one, bytes); };
    call.onDone = [self, one] { self->answerDone(one); };
    call.onFail = [self, one](Call::Failure failure) { self->callFailed(one, failure); };
    call.onDrain = [self] {
      if (!self->over_) self->visit_->takenBody(0);
    };
    call.body(body_);
    if (visit_->bodyDone) call.bodyEnd();
    if (!replayable_) body_.clear();
    if (!approach.givesSign()) return;
    one->lifeTimer = parts.bell.after(kSignOfLife, [self, one] {
      one->lifeTimer = 0;
      self->noSignOfLife(*one);
    });
  }

  void signOfLife(Try& one) {
    egress_.parts_.bell.cancel(one.lifeTimer);
    one.lifeTimer = 0;
    one.silent = false;
    if (!over_) ascent_->sign(one.at);
  }

  // The node there has taken the bytes and says nothing, not even that it is at work: it stands
  // still, or is slow. Its server may be at work by now, so its answer is awaited all the same;
  // what may run twice goes to another node beside it.
  void noSignOfLife(Try& one) {
    if (over_) return;
    const Instant now = egress_.parts_.bell.now();
    one.silent = true;
    egress_.loads_.failed(one.at, now);
    carryOut(ascent_->silent(one.at, now));
  }

  void answerHead(Try& one, HTTPResponse& response, const BodyPlan& plan) {
    one.answered = true;
    signOfLife(one);
    one.response = std::make_unique<HTTPResponse>(response.getVersion(), response.getStatus(),
                                                  response.getReason());
    saddle::copyHeaders(response, *one.response, hop::ours);
    one.plan = plan;
    one.reading = egress_.parts_.approach->read(response);
    const auto& reading = one.reading;
    const Instant now = egress_.parts_.bell.now();
    if (reading.load) {
      // The load told of others is without the request that it answers.
      if (!reading.ownLoadIncluded) uncount(one);
      egress_.loads_.reported(one.at, *reading.load, now);
    }
    if (reading.gone) egress_.loads_.failed(one.at, now);
    if (egress_.parts_.gateway && reading.refused != Outcome::turnedAway) {
      egress_.loads_.answered(one.at, reading.wellDone, now);
    }
  }

  void answerBody(const TryPtr& one, std::string& bytes) {
    // Of an answer that isn't for the caller, or comes second, nothing is kept.
    if (one->reading.refused || over_ || (streaming_ && streaming_ != one)) {
      bytes.clear();
      return;
    }
    one->held.append(bytes);
    bytes.clear();
    if (!streaming_ && one->held.size() > kHoldAnswer) beginStream(one);
    if (streaming_ == one) {
      visit_->piece(one->held);
      one->held.clear();
      pace();
    }
  }

  // Statuses that promise "not run" are the node's to give, not a server's that may have run it.
  static bool hollowPromise(const HTTPResponse& response) {
    const int status = response.getStatus();
    return (status == 503 || status == 429 || status == 408) && !response.has("Not-Executed");
  }

  void beginStream(const TryPtr& one) {
    streaming_ = one;
    leaveOthers(one);
    visit_->head(*one->response, one->plan);
  }

  void answerDone(const TryPtr& one) {
    drop(one);
    uncount(*one);
    const Instant now = egress_.parts_.bell.now();
    if (one->reading.refused) {
      if (*one->reading.refused == Outcome::notThere) egress_.loads_.failed(one->at, now);
      if (*one->reading.refused == Outcome::full) egress_.loads_.worked(one->at);
      failed(*one, *one->reading.refused);
      return;
    }
    egress_.loads_.worked(one->at);
    if (over_ || (streaming_ && streaming_ != one)) return;
    if (!streaming_) {
      if (hollowPromise(*one->response)) {
        failed(*one, Outcome::maybeRun);
        return;
      }
      if (one->plan.kind != BodyKind::none || !one->held.empty()) {
        one->plan =
            BodyPlan{one->held.empty() ? BodyKind::none : BodyKind::length, one->held.size()};
      }
      visit_->head(*one->response, one->plan);
      visit_->piece(one->held);
    }
    ++egress_.counts_.served;
    leaveOthers(one);
    const auto visit = visit_;
    finish();
    visit->end();
  }

  void callFailed(const TryPtr& one, Call::Failure failure) {
    auto& parts = egress_.parts_;
    const Instant now = parts.bell.now();
    const Span idled = one->call->idled();
    drop(one);
    uncount(*one);
    const bool reused = idled >= Span(0);
    if (reused && failure == Call::Failure::stale) {
      egress_.freshness_.stale(service_, idled, now);
    } else if (reused && failure == Call::Failure::junk) {
      egress_.freshness_.outOfStep(service_, now);
    }
    if (parts.gateway && failure != Call::Failure::notSent && failure != Call::Failure::stale) {
      egress_.loads_.answered(one->at, false, now);
    }
    const bool shut =
        !parts.gateway || failure == Call::Failure::notSent || failure == Call::Failure::unclear;
    if (shut) egress_.loads_.failed(one->at, now);
    if (over_) return;
    if (streaming_ == one) {
      cutShort();
      return;
    }
    failed(*one, failure == Call::Failure::notSent ? Outcome::unreachable : Outcome::maybeRun);
  }

  void failed(const Try& one, Outcome outcome) {
    if (over_ || streaming_) return;
    carryOut(ascent_->after(one.at, outcome, egress_.parts_.bell.now()));
  }

  // Own answers are given where no try is out any more, or at the deadline.
  void refuse(ErrorKind kind) {
    if (answerFor(kind).notRun) {
      ++egress_.counts_.refused;
    } else {
      ++egress_.counts_.failed;
    }
    const auto visit = visit_;
    finish();
    visit->fail(kind);
  }

  // The answer has begun and can't be ended.
  void cutShort() {
    ++egress_.counts_.failed;
    const auto visit = visit_;
    finish();
    visit->cut();
  }

  void timeUp() {
    if (over_) {
      endLeft();
      return;
    }
    if (streaming_) {
      cutShort();
      return;
    }
    const bool sent = std::any_of(tries_.begin(), tries_.end(),
                                  [](const TryPtr& one) { return one->call->maybeSent(); });
    refuse(ascent_->atDeadline(sent));
  }

  void callerLeft() {
    if (over_) return;
    finish();
  }

  void uncount(Try& one) {
    if (!one.counted) return;
    one.counted = false;
    egress_.loads_.ended(one.at, egress_.parts_.bell.now());
  }

  // It is out no longer.
  void drop(const TryPtr& one) {
    egress_.parts_.bell.cancel(one->lifeTimer);
    one->lifeTimer = 0;
    std::erase(tries_, one);
    std::erase(left_, one);
  }

  void cancel(const TryPtr& one) {
    drop(one);
    uncount(*one);
    one->call->cancel();
  }

  // Another's answer has won. A try whose node stands still is called back: nothing of it is passed
  // on once the node goes on (`Ingress::visit`). One that shows life probably runs: its server is
  // let finish, for the slot is taken and an end half-way helps nobody.
  void leaveOthers(const TryPtr& winner) {
    const auto tries = tries_;
    for (const auto& one : tries) {
      if (one == winner) continue;
      if (one->silent || one->lifeTimer != 0 || !visit_->bodyDone) {
        cancel(one);
      } else {
        std::erase(tries_, one);
        left_.push_back(one);
      }
    }
  }

  void endLeft() {
    const auto left = left_;
    for (const auto& one : left) cancel(one);
  }

  void finish() {
    over_ = true;
    const auto tries = tries_;
    for (const auto& one : tries) cancel(one);
    if (left_.empty()) {
      egress_.parts_.bell.cancel(timer_);
      timer_ = 0;
    }
    --egress_.inFlight_;
    egress_.parts_.bell.later([a = std::move(visit_->onBody), b = std::move(visit_->onGone),
                               c = std::move(visit_->onDrain)] {});
    visit_->onBody = nullptr;
    visit_->onGone = nullptr;
    visit_->onDrain = nullptr;
  }

  Egress& egress_;
  Visit::Ptr visit_;
  int rank_;
  bool idempotent_;
  Instant deadline_;
  Instant target_;
  std::unique_ptr<Ascent> ascent_;
  hut::Bell::TimerId timer_ = 0;
  ServiceName service_;
  std::string body_;
  std::vector<TryPtr> tries_;  // out, and owed an answer
  std::vector<TryPtr> left_;   // out, and overtaken by another
  TryPtr streaming_;           // whose answer the caller is getting
  bool replayable_ = true;
  bool over_ = false;
};

Egress::Egress(Parts parts)
    : parts_(std::move(parts)),
      wayfinder_(parts_.seed),
      toll_(parts_.toll),
      range_({parts_.guestbook, *parts_.approach, loads_, parts_.self, parts_.zone, parts_.gateway,
              [this](const ServiceName& service) {
                const auto chart = parts_.chart();
                return chart ? chart->maxConnections(service) : 0;
              }},
             parts_.seed + 1) {}

const cairn::Route* Egress::routeOf(const Visit& visit, const cairn::Chart& chart) const {
  return chart.match(visit.request.get("Host", ""), visit.request.getURI());
}

bool Egress::mayRunAhead(const Visit& visit) const {
  const auto chart = parts_.chart();
  if (!chart || refusing_) return false;
  const auto* route = routeOf(visit, *chart);
  return route != nullptr && route->idempotent;
}

void Egress::visit(const Visit::Ptr& visit) {
  ++counts_.requests;
  const auto chart = parts_.chart();
  if (refusing_ || !chart) {
    ++counts_.refused;
    visit->fail(refusing_ ? ErrorKind::stopping : ErrorKind::noConfig);
    return;
  }
  const auto* route = routeOf(*visit, *chart);
  if (route == nullptr) {
    // A node that is behind can't say that there is no such route.
    visit->fail(parts_.current() ? ErrorKind::noRoute : ErrorKind::behind);
    return;
  }
  // A caller that closed while this node stood still has given the request up.
  if (visit->abandoned()) return;
  std::make_shared<Trip>(*this, visit, *route)->start(*route);
}

}  // namespace merlin::trail
