// The path of a request: many egresses choosing among a few instances, each behind its queue,
// with a loss at any action. Watches what the rules promise.
#include <algorithm>
#include <cmath>
#include <memory>
#include <set>

#include "proxy/admission_queue.hpp"
#include "proxy/attempt_planner.hpp"
#include "proxy/endpoint_table.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test {

using proxy::AdmissionQueue;
using proxy::AttemptOutcome;
using proxy::AttemptPlanner;
using proxy::Candidate;
using proxy::DAdaptivePicker;
using proxy::EndpointTable;
using proxy::PlannedAction;
using proxy::RetryBudget;

namespace {

struct Request {
  int number = 0;
  int node = 0;
  bool idempotent = false;
  int priority = 0;
  double began = 0;
  TimePoint deadline;
  std::unique_ptr<AttemptPlanner> planner;
  int runs = 0;
  bool over = false;
  int turn = 0;
  std::set<int> out;           // tries that are out; answers to others are nobody's
  std::set<int> acknowledged;  // of which their nodes have said that they have them
  int working = 0;             // servers at work on it
};

struct Waiting {
  std::shared_ptr<Request> request;
  int turn;
};

struct Host {
  InstanceId id;
  double speed = 1;
  std::unique_ptr<AdmissionQueue> gate;
  bool down = false;
  double closesAt = -1;
  double drainedAt = -1;
  std::map<AdmissionQueue::Ticket, Waiting> waiting;
  int epoch = 0;
};

struct Node {
  std::unique_ptr<DAdaptivePicker> picker;
  std::unique_ptr<RetryBudget> retryBudget;
  EndpointTable endpoints;
  std::unique_ptr<proxy::CandidateSource> candidates;
};

class ProxyWorld {
 public:
  ProxyWorld(const Scenario& scenario, std::uint64_t seed) : scenario_(scenario), clock_(seed) {
    const int servers = static_cast<int>(number(scenario_, "servers", 8));
    const int slots = static_cast<int>(number(scenario_, "slots", 9));
    const auto speeds = linesOf(scenario_, "speeds");
    for (int i = 0; i < servers; ++i) {
      auto host = std::make_unique<Host>();
      host->id = InstanceId("s" + std::to_string(i));
      host->gate = std::make_unique<AdmissionQueue>(slots);
      if (!speeds.empty()) {
        const auto& w = speeds[0]->words;
        host->speed = std::stod(w[1 + static_cast<std::size_t>(i) % (w.size() - 1)]);
      }
      hosts_.push_back(std::move(host));
    }
    const int nodes = static_cast<int>(number(scenario_, "nodes", 12));
    retryBudgetOptions_.ratio = number(scenario_, "ratio", 0.2);
    retryBudgetOptions_.slack = number(scenario_, "slack", 60);
    for (int i = 0; i < nodes; ++i) {
      auto node = std::make_unique<Node>();
      node->picker = std::make_unique<DAdaptivePicker>(clock_.random());
      node->retryBudget = std::make_unique<RetryBudget>(retryBudgetOptions_);
      node->retryBudget->setNodeCount(static_cast<std::size_t>(nodes));
      node->candidates = std::make_unique<NodeCandidates>(*this, *node);
      nodes_.push_back(std::move(node));
    }
  }

  void play(std::map<std::string, double>& out) {
    const double length = number(scenario_, "length", 15000);
    for (const auto* line : linesOf(scenario_, "at")) schedule(*line);
    arrive(length);
    clock_.runUntil(length + 5000);
    check();
    std::sort(times_.begin(), times_.end());
    const auto n = static_cast<double>(requests_.size());
    out = {{"served", served_ / n},
           {"refused", refused_ / n},
           {"unclear", unclear_ / n},
           {"overdue", overdue_ / n},
           {"silent", silent_},
           {"besides", besides_},
           {"repeats", static_cast<double>(repeats_.size())},
           {"p99", times_.empty() ? 0 : times_[times_.size() * 99 / 100]},
           {"p50", times_.empty() ? 0 : times_[times_.size() / 2]},
           {"after_drain", afterDrain_},
           {"in_target", static_cast<double>(std::count_if(
                             times_.begin(), times_.end(),
                             [&](double t) { return t <= number(scenario_, "target", 800); })) /
                             n},
           {"high_served", highServed_ / std::max(1.0, high_)},
           {"low_served", lowServed_ / std::max(1.0, low_)}};
  }

 private:
  void schedule(const Line& line) {
    const auto& w = line.words;
    clock_.after(std::stod(w.at(1)), [this, w] {
      auto& host = *hosts_.at(std::stoul(w.at(3)));
      if (w[2] == "crash") {
        host.down = true;
        ++host.epoch;
        clock_.after(std::stod(w.at(4)), [this, &host] {
          host.down = false;
          host.gate = std::make_unique<AdmissionQueue>(host.gate->slots());
          host.waiting.clear();
          return this;
        });
      } else if (w[2] == "drain") {
        host.drainedAt = clock_.ms();
        host.closesAt = clock_.ms() + std::stod(w.at(4)) / 2;
      } else if (w[2] == "slow") {
        host.speed *= std::stod(w.at(4));
      } else {
        throw Broken{"no such thing to do: " + w[2]};
      }
    });
  }

  void arrive(double length) {
    const double perSecond = number(scenario_, "rate", 150);
    const double gap = std::exponential_distribution<double>(perSecond / 1000)(clock_.random);
    if (clock_.ms() + gap > length) return;
    clock_.after(gap, [this, length] {
      begin();
      arrive(length);
    });
  }

  void begin() {
    auto request = std::make_shared<Request>();
    request->number = static_cast<int>(requests_.size());
    request->node = static_cast<int>(clock_.random() % nodes_.size());
    request->idempotent = clock_.chance(number(scenario_, "idempotent", 0.6));
    request->priority = clock_.chance(0.3) ? 0 : 2;
    request->began = clock_.ms();
    request->deadline = clock_.now() + fromMillis(number(scenario_, "deadline", 2000));
    requests_.push_back(request);
    firsts_.push_back(clock_.ms());
    (request->priority == 0 ? high_ : low_) += 1;
    proxy::RequestPolicy policy;
    policy.service = ServiceName("svc");
    policy.idempotent = request->idempotent;
    policy.maxAttempts = static_cast<int>(number(scenario_, "max_attempts", 2));
    policy.deadline = request->deadline;
    auto& node = *nodes_[static_cast<std::size_t>(request->node)];
    request->planner =
        std::make_unique<AttemptPlanner>(policy, *node.candidates, *node.picker, *node.retryBudget);
    clock_.at(request->deadline, [this, request] {
      if (request->over) return;
      const bool sent = request->turn > 0;
      const auto kind = request->planner->errorAtDeadline(sent);
      end(*request, responseFor(kind).notExecuted ? refused_ : overdue_,
          responseFor(kind).notExecuted);
    });
    carryOut(request, request->planner->start(clock_.now()));
  }

  // What one node may choose from.
  class NodeCandidates : public proxy::CandidateSource {
   public:
    NodeCandidates(ProxyWorld& world, Node& node) : world_(world), node_(node) {}
    const std::vector<Candidate>& candidates(const ServiceName&, bool, TimePoint) override {
      return world_.candidates(node_);
    }

   private:
    ProxyWorld& world_;
    Node& node_;
  };

  const std::vector<Candidate>& candidates(Node& node) {
    auto& out = candidates_;
    out.clear();
    for (const auto& host : hosts_) {
      // News of a drain takes a while to get round.
      if (host->drainedAt >= 0 && clock_.ms() - host->drainedAt > number(scenario_, "news", 50))
        continue;
      const auto& state = node.endpoints.state(host->id);
      if (!state.reachability.isReachable(clock_.now())) continue;
      out.push_back(
          {&host->id, nullptr, state.load.estimatedLoad(clock_.now()), 0, host->gate->slots()});
    }
    return out;
  }

  void carryOut(const std::shared_ptr<Request>& request, const PlannedAction& action) {
    if (request->over || action.kind == PlannedAction::Kind::wait) return;
    if (action.kind == PlannedAction::Kind::respond) {
      require(request->out.empty() && request->working == 0,
              "an answer of our own while a server's is owed");
      const auto& row = responseFor(action.error);
      end(*request, row.notExecuted ? refused_ : unclear_, row.notExecuted);
      return;
    }
    const int turn = ++request->turn;
    request->out.insert(turn);
    auto& host = hostOf(*action.candidate.id);
    auto& node = *nodes_[static_cast<std::size_t>(request->node)];
    node.endpoints.onRequestStarted(host.id, clock_.now());
    if (lost("unsent")) {
      attemptEnded(request, turn, host, AttemptOutcome::unreachable, 300);
      return;
    }
    if (lost("before_ingress")) {
      attemptEnded(request, turn, host, AttemptOutcome::maybeExecuted, 50);
      return;
    }
    const double way = lost("slow_way") ? clock_.uniform(100, number(scenario_, "slow_way", 400))
                                        : clock_.uniform(0.1, 1.2);
    clock_.after(way, [this, request, turn, &host, mayQueue = action.mayQueue] {
      if (request->out.contains(turn)) arriveAtIngress(request, turn, host, mayQueue);
    });
    clock_.after(150, [this, request, turn, &host, &node] {
      if (request->over || !request->out.contains(turn) || request->acknowledged.contains(turn))
        return;
      ++silent_;
      node.endpoints.state(host.id).reachability.onUnreachable(clock_.now());
      const auto next = request->planner->onAttemptSilent(host.id, clock_.now());
      besides_ += next.kind == PlannedAction::Kind::send ? 1 : 0;
      carryOut(request, next);
    });
  }

  void arriveAtIngress(const std::shared_ptr<Request>& request, int turn, Host& host,
                       bool mayQueue) {
    const bool closed = host.closesAt >= 0 && clock_.ms() >= host.closesAt;
    if (host.down || closed) {
      attemptEnded(request, turn, host, AttemptOutcome::unavailable, 1);
      return;
    }
    clock_.after(1, [request, turn, &host] {
      request->acknowledged.insert(turn);
      if (!request->over && request->out.contains(turn))
        request->planner->onInterimResponse(host.id);
    });
    AdmissionQueue::Arrival arrival;
    arrival.ticket = ++tickets_;
    arrival.priority = request->priority;
    arrival.deadline = request->deadline;
    arrival.targetTime = TimePoint(fromMillis(request->began + number(scenario_, "target", 800)));
    arrival.mayQueue = mayQueue;
    switch (host.gate->admit(arrival, clock_.now())) {
      case AdmissionQueue::Admission::rejected:
        attemptEnded(request, turn, host, AttemptOutcome::overloaded, 1);
        break;
      case AdmissionQueue::Admission::queued:
        host.waiting[arrival.ticket] = {request, turn};
        clock_.at(host.gate->nextDeadline() + fromMillis(1),
                  [this, &host] { applyTransitions(host, host.gate->tick(clock_.now())); });
        break;
      case AdmissionQueue::Admission::admitted:
        run(request, turn, host);
        break;
    }
  }

  void run(const std::shared_ptr<Request>& request, int turn, Host& host) {
    if (lost("before_server")) {
      applyTransitions(host, host.gate->onRequestEnded(clock_.now(), Duration(0)));
      arrivals_.emplace_back(clock_.ms(), request->number);
      attemptEnded(request, turn, host, AttemptOutcome::maybeExecuted, 1);
      return;
    }
    arrivals_.emplace_back(clock_.ms(), request->number);
    if (lost("turned_away")) {
      applyTransitions(host, host.gate->onRequestEnded(clock_.now(), Duration(0)));
      attemptEnded(request, turn, host, AttemptOutcome::notExecuted, 1);
      return;
    }
    ++request->runs;
    ++request->working;
    if (host.drainedAt >= 0 &&
        clock_.ms() - host.drainedAt > number(scenario_, "drain_timeout", 2000)) {
      ++afterDrain_;
    }
    const double mean = number(scenario_, "work", 200);
    const double work =
        std::exp(std::normal_distribution<double>(std::log(mean) - 0.125, 0.5)(clock_.random)) *
        host.speed;
    const int epoch = host.epoch;
    const double began = clock_.ms();
    clock_.after(work, [this, request, turn, &host, epoch, began] {
      --request->working;
      if (host.epoch != epoch) {
        attemptEnded(request, turn, host, AttemptOutcome::maybeExecuted, 1);
        return;
      }
      const auto transitions =
          host.gate->onRequestEnded(clock_.now(), fromMillis(clock_.ms() - began));
      const int jobs = host.gate->running() + host.gate->queued();
      applyTransitions(host, transitions);
      if (lost("after_run")) {
        attemptEnded(request, turn, host, AttemptOutcome::maybeExecuted, 1);
        return;
      }
      clock_.after(clock_.uniform(0.1, 1.2), [this, request, turn, &host, jobs] {
        auto& node = *nodes_[static_cast<std::size_t>(request->node)];
        if (request->out.erase(turn) == 0) return;
        node.endpoints.onRequestEnded(host.id, clock_.now());
        node.endpoints.state(host.id).load.onLoadReported(jobs, clock_.now());
        if (request->over) return;
        request->over = true;
        served_ += 1;
        (request->priority == 0 ? highServed_ : lowServed_) += 1;
        times_.push_back(clock_.ms() - request->began);
      });
    });
  }

  void applyTransitions(Host& host, const AdmissionQueue::Transitions& transitions) {
    for (const auto ticket : transitions.admitted) {
      const auto w = host.waiting.extract(ticket);
      if (w.empty()) continue;
      if (w.mapped().request->over) {
        applyTransitions(host, host.gate->onRequestEnded(clock_.now(), Duration(0)));
      } else {
        run(w.mapped().request, w.mapped().turn, host);
      }
    }
    for (const auto ticket : transitions.expired) {
      const auto w = host.waiting.extract(ticket);
      if (!w.empty())
        attemptEnded(w.mapped().request, w.mapped().turn, host, AttemptOutcome::overloaded, 1);
    }
  }

  void attemptEnded(const std::shared_ptr<Request>& request, int turn, Host& host,
                    AttemptOutcome outcome, double ms) {
    clock_.after(ms, [this, request, turn, &host, outcome] {
      auto& node = *nodes_[static_cast<std::size_t>(request->node)];
      if (request->out.erase(turn) == 0) return;
      node.endpoints.onRequestEnded(host.id, clock_.now());
      if (outcome == AttemptOutcome::unreachable || outcome == AttemptOutcome::unavailable) {
        node.endpoints.state(host.id).reachability.onUnreachable(clock_.now());
      }
      if (request->over) return;
      carryOut(request, request->planner->onAttemptEnded(host.id, outcome, clock_.now()));
    });
  }

  void end(Request& request, double& count, bool promise) {
    request.over = true;
    count += 1;
    if (promise) promised_.insert(request.number);
  }

  bool lost(const std::string& action) {
    for (const auto* line : linesOf(scenario_, "lose")) {
      if (line->words.at(1) == action) return clock_.chance(std::stod(line->words.at(2)));
    }
    return false;
  }

  Host& hostOf(const InstanceId& id) {
    for (auto& host : hosts_) {
      if (host->id == id) return *host;
    }
    throw Broken{"a server was chosen that isn't there"};
  }

  void check() {
    for (const auto& request : requests_) {
      require(request->idempotent || request->runs <= 1, "a request that must not ran twice");
      require(!promised_.contains(request->number) || request->runs == 0,
              "a request was promised not to have run, and it ran");
    }
    std::set<int> seen;
    for (const auto& [at, number] : arrivals_) {
      if (!seen.insert(number).second) repeats_.push_back(at);
    }
    const double window = 10000;
    for (const double end : repeats_) {
      const auto in = [&](const std::vector<double>& list) {
        return std::count_if(list.begin(), list.end(),
                             [&](double t) { return t > end - window && t <= end; });
      };
      const double may =
          retryBudgetOptions_.ratio * static_cast<double>(in(firsts_)) + retryBudgetOptions_.slack;
      require(static_cast<double>(in(repeats_)) <= may, "the retry budget is overdrawn");
    }
  }

  const Scenario& scenario_;
  Clock clock_;
  proxy::RetryBudgetOptions retryBudgetOptions_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Candidate> candidates_;
  std::vector<std::shared_ptr<Request>> requests_;
  std::vector<double> firsts_;
  std::vector<std::pair<double, int>> arrivals_;
  std::vector<double> repeats_;
  std::vector<double> times_;
  std::set<int> promised_;
  AdmissionQueue::Ticket tickets_ = 0;
  double served_ = 0;
  double refused_ = 0;
  double unclear_ = 0;
  double overdue_ = 0;
  double silent_ = 0;
  double besides_ = 0;
  double afterDrain_ = 0;
  double high_ = 0;
  double low_ = 0;
  double highServed_ = 0;
  double lowServed_ = 0;
};

}  // namespace

void playPath(const Scenario& scenario, std::uint64_t seed, std::map<std::string, double>& out) {
  ProxyWorld(scenario, seed).play(out);
}

}  // namespace merlingauge::test
