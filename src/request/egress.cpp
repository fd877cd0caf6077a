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
    }
    if (replayable_ && body_.size() > kReplayLimit) {
      replayable_ = false;
      ascent_->bodyLost();
    }
    if (!replayable_ && call_) body_.clear();
    visit_->takenBody(call_ ? call_->unsent() : body_.size());
  }

  void pace() {
    if (call_ && streaming_) call_->pause(visit_->unsent() > kPauseAbove);
  }

  void carryOut(const Step& step) {
    if (over_) return;
    if (step.what == Step::Do::answer) {
      refuse(step.error);
      return;
    }
    send(step);
  }

  void send(const Step& step) {
    auto& parts = egress_.parts_;
    const Instant now = parts.bell.now();
    const auto& peak = Range::peak(step.to);
    const auto& approach = *parts.approach;
    at_ = peak.id;
    ++egress_.counts_.hops;
    HTTPRequest request(visit_->request.getMethod(), visit_->request.getURI(),
                        HTTPMessage::HTTP_1_1);
    saddle::copyHeaders(visit_->request, request, hop::dropAtEgress);
    request.set("Deadline-Ms",
                std::to_string(std::max<std::int64_t>(1, (deadline_ - now).count() / 1000)));
    request.set("Expected-Instance", at_.str());
    if (!parts.callerService.empty()) request.set("Caller-Service", parts.callerService.str());
    approach.dress({at_, rank_, step.mayWait, !idempotent_, target_ - now}, request);
    saddle::planHeaders(visit_->plan, visit_->request, request);
    answered_ = false;
    held_.clear();
    egress_.loads_.began(at_, now);
    counted_ = true;
    const Span once = parts.gateway ? kFreshOnceDirect : kFreshOnce;
    const Span fresh = egress_.freshness_.limit(service_, idempotent_ ? kFreshSafe : once, now);
    call_ = parts.ropes.call(peak.at, request, visit_->plan.kind, fresh, peak.life);
    const auto self = shared_from_this();
    call_->onHead = [self](HTTPResponse& response, const BodyPlan& plan) {
      self->answerHead(response, plan);
    };
    call_->onInterim = [self] { self->signOfLife(); };
    call_->onBody = [self](std::string& bytes) { self->answerBody(bytes); };
    call_->onDone = [self] { self->answerDone(); };
    call_->onFail = [self](Call::Failure failure) { self->callFailed(failure); };
    call_->onDrain = [self] {
      if (!self->over_) self->visit_->takenBody(0);
    };
    call_->body(body_);
    if (visit_->bodyDone) call_->bodyEnd();
    if (!replayable_) body_.clear();
    signOfLife();
    if (!approach.givesSign()) return;
    lifeTimer_ = parts.bell.after(kSignOfLife, [self] {
      self->lifeTimer_ = 0;
      self->noSignOfLife();
    });
  }

  void signOfLife() {
    egress_.parts_.bell.cancel(lifeTimer_);
    lifeTimer_ = 0;
  }

  // The node there has taken the bytes and says nothing, not even that it is at work: it stands
  // still. What may run twice goes elsewhere, the rest can only wait.
  void noSignOfLife() {
    if (over_ || !call_) return;
    egress_.loads_.failed(at_, egress_.parts_.bell.now());
    if (!idempotent_) return;
    const bool sent = call_->maybeSent();
    call_->cancel();
    call_ = nullptr;
    failed(sent ? Outcome::maybeRun : Outcome::unreachable);
  }

  void answerHead(HTTPResponse& response, const BodyPlan& plan) {
    answered_ = true;
    signOfLife();
    response_ = std::make_unique<HTTPResponse>(response.getVersion(), response.getStatus(),
                                               response.getReason());
    saddle::copyHeaders(response, *response_, hop::ours);
    plan_ = plan;
    reading_ = egress_.parts_.approach->read(response);
    const Instant now = egress_.parts_.bell.now();
    if (reading_.load) {
      // The load told of others is without the request that it answers.
      if (!reading_.ownLoadIncluded) uncount();
      egress_.loads_.reported(at_, *reading_.load, now);
    }
    if (reading_.gone) egress_.loads_.failed(at_, now);
    if (egress_.parts_.gateway && reading_.refused != Outcome::turnedAway) {
      egress_.loads_.answered(at_, reading_.wellDone, now);
    }
  }

  [[nodiscard]] bool passable() const { return !reading_.refused; }

  void answerBody(std::string& bytes) {
    held_.append(bytes);
    bytes.clear();
    if (!passable()) {
      held_.clear();
      return;
    }
    if (!streaming_ && held_.size() > kHoldAnswer) beginStream();
    if (streaming_) {
      visit_->piece(held_);
      held_.clear();
      pace();
    }
  }

  // Statuses that promise "not run" are the node's to give, not a server's that may have run it.
  bool hollowPromise() const {
    const int status = response_->getStatus();
    return (status == 503 || status == 429 || status == 408) && !response_->has("Not-Executed");
  }

  void beginStream() {
    streaming_ = true;
    visit_->head(*response_, plan_);
  }

  void answerDone() {
    call_ = nullptr;
    uncount();
    const Instant now = egress_.parts_.bell.now();
    if (reading_.refused) {
      if (*reading_.refused == Outcome::notThere) egress_.loads_.failed(at_, now);
      if (*reading_.refused == Outcome::full) egress_.loads_.worked(at_);
      failed(*reading_.refused);
      return;
    }
    egress_.loads_.worked(at_);
    if (!streaming_ && hollowPromise()) {
      failed(Outcome::maybeRun);
      return;
    }
    if (!streaming_) {
      if (plan_.kind != BodyKind::none || !held_.empty()) {
        plan_ = BodyPlan{held_.empty() ? BodyKind::none : BodyKind::length, held_.size()};
      }
      visit_->head(*response_, plan_);
      visit_->piece(held_);
    }
    ++egress_.counts_.served;
    const auto visit = visit_;
    finish();
    visit->end();
  }

  void callFailed(Call::Failure failure) {
    auto& parts = egress_.parts_;
    const Instant now = parts.bell.now();
    const Span idled = call_ ? call_->idled() : Span(-1);
    call_ = nullptr;
    signOfLife();
    uncount();
    const bool reused = idled >= Span(0);
    if (reused && failure == Call::Failure::stale) {
      egress_.freshness_.stale(service_, idled, now);
    } else if (reused && failure == Call::Failure::junk) {
      egress_.freshness_.outOfStep(service_, now);
    }
    if (parts.gateway && failure != Call::Failure::notSent && failure != Call::Failure::stale) {
      egress_.loads_.answered(at_, false, now);
    }
    const bool shut =
        !parts.gateway || failure == Call::Failure::notSent || failure == Call::Failure::unclear;
    if (shut) egress_.loads_.failed(at_, now);
    if (streaming_) {
      cutShort();
      return;
    }
    failed(failure == Call::Failure::notSent ? Outcome::unreachable : Outcome::maybeRun);
  }

  void failed(Outcome outcome) {
    uncount();
    if (over_) return;
    carryOut(ascent_->after(outcome, egress_.parts_.bell.now()));
  }

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
    if (over_) return;
    const bool sent = call_ != nullptr && call_->maybeSent();
    if (streaming_) {
      cutShort();
      return;
    }
    refuse(ascent_->atDeadline(sent));
  }

  void callerLeft() {
    if (over_) return;
    finish();
  }

  void uncount() {
    if (!counted_) return;
    counted_ = false;
    egress_.loads_.ended(at_, egress_.parts_.bell.now());
  }

  void finish() {
    over_ = true;
    uncount();
    egress_.parts_.bell.cancel(timer_);
    signOfLife();
    if (call_) call_->cancel();
    call_ = nullptr;
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
  hut::Bell::TimerId lifeTimer_ = 0;
  Call::Ptr call_;
  ServiceName service_;
  InstanceId at_;
  std::string body_;
  std::string held_;
  std::unique_ptr<HTTPResponse> response_;
  BodyPlan plan_;
  Reading reading_;
  bool replayable_ = true;
  bool answered_ = false;
  bool streaming_ = false;
  bool counted_ = false;
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
  std::make_shared<Trip>(*this, visit, *route)->start(*route);
}

}  // namespace merlin::trail
