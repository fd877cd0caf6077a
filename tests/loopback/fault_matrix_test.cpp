// Every step of a request x every fault: the real egress, ingress, edge, pools and framing between
// scripted ends, on real sockets, each case on addresses of its own. The cases are enumerated; what
// counts is who got what and how often a server saw a request, never how long anything took.
//   fault_matrix_test CASES           all of them; there must be so many, and no violation
//   fault_matrix_test --finds KIND WORD...   those whose names have all the words, on a mutant (see
//       CMakeLists.txt): a violation of this kind must be found
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <mutex>
#include <thread>

#include "loopback/proxy_path.hpp"
#include "loopback/scripted_client.hpp"

namespace merlingauge::test {
namespace {

constexpr double kSettleMs = 150;
constexpr double kGiveUpMs = 40000;  // far above every limit: whatever waits still, hangs
constexpr int kWarmUpRequests = 60;
constexpr int kMaxAttempts = 4;  // where a busy machine kept the request from reaching the step
constexpr std::size_t kThreads = 4;
// Cases on one loop: fewer while it lags behind, or requests would not get far before they end.
constexpr double kMaxConcurrentCases = 48;
constexpr double kMinConcurrentCases = 3;
constexpr double kLagMs = 25;
constexpr double kLagCheckMs = 10;

// Which steps each fault is played at.
constexpr unsigned bit(Step step) { return 1U << static_cast<unsigned>(step); }
constexpr unsigned kAll = bit(Step::count) - 1;
// Bytes put in are bytes of the answer once its head is out: nobody could tell them apart.
constexpr unsigned kBetweenResponses = (bit(Step::responseHead) - 1) | bit(Step::responseEnd);
struct FaultRow {
  const char* name;
  unsigned steps;
  bool atClient;  // played between client and node too
};
constexpr std::array<FaultRow, static_cast<std::size_t>(Fault::count)> kFaults = {{
    {"silence", kAll, true},
    {"frozen", kAll, true},
    {"reset", kAll, true},
    {"close", kAll, true},
    {"half-near", kAll, true},
    {"half-far", kAll, true},
    {"killed", kAll, false},
    {"taken-over", kAll, false},
    {"own-answer", kBetweenResponses & ~bit(Step::opened), false},
    {"stray-answer", kBetweenResponses, false},
    {"surplus", kBetweenResponses, false},
    {"other-id", bit(Step::responseHead), false},
    {"no-id", bit(Step::responseHead), false},
}};

struct Case {
  bool gateway = false;
  FaultLocation where = FaultLocation::server;
  bool once = false;
  bool kept = false;
  bool piped = false;
  bool big = false;
  bool chunked = false;
  Step step = Step::opened;
  Fault fault = Fault::silence;
  [[nodiscard]] std::string name() const {
    return std::string(gateway ? "gateway " : "mesh ") +
           kFaultLocationNames.at(static_cast<int>(where)) + (once ? " once" : " safe") +
           (kept ? " kept" : " fresh") + (piped ? " piped" : " single") +
           (big ? " long " : " short ") + (chunked ? "chunked " : "") +
           kStepNames.at(static_cast<std::size_t>(step)) + " " +
           kFaults.at(static_cast<std::size_t>(fault)).name;
  }
};

std::vector<Case> enumerate() {
  std::vector<Case> out;
  Case c;
  for (const bool gateway : {false, true}) {
    for (const auto where :
         {FaultLocation::client, FaultLocation::ingress, FaultLocation::server}) {
      if (gateway && where == FaultLocation::ingress) continue;
      for (unsigned flags = 0; flags < 32; ++flags) {
        c.gateway = gateway;
        c.where = where;
        c.once = (flags & 1) != 0;
        c.kept = (flags & 2) != 0;
        c.piped = (flags & 4) != 0;
        c.big = (flags & 8) != 0;
        c.chunked = (flags & 16) != 0;
        for (unsigned f = 0; f < kFaults.size(); ++f) {
          const auto& row = kFaults.at(f);
          if (where == FaultLocation::client && !row.atClient) continue;
          for (unsigned s = 0; s < static_cast<unsigned>(Step::count); ++s) {
            c.step = static_cast<Step>(s);
            c.fault = static_cast<Fault>(f);
            // How the answer looks makes no difference before it begins.
            const bool answerMatters = c.step >= Step::responseHead;
            if ((row.steps & bit(c.step)) == 0) continue;
            if ((c.big || c.chunked) && !answerMatters) continue;
            if (c.step == Step::interim && where != FaultLocation::ingress) continue;
            out.push_back(c);
          }
        }
      }
    }
  }
  return out;
}

// One case: a node that takes requests, two servers (in a mesh each with a node beside it), the
// links that may inject the fault, a client. Stays where it is until the process ends.
class CaseRun {
 public:
  CaseRun(EventLoop& loop, const Case& c, std::size_t number, std::function<void(CaseRun&)> done)
      : loop_(loop), case_(c), done_(std::move(done)) {
    plan_.step = c.step;
    plan_.fault = c.fault;
    plan_.targetId = "target";
    plan_.isLongResponse = c.big;
    path_ = std::make_unique<ProxyPath>(
        loop, number, c.gateway, c.where,
        [this](const LinkAddresses& addresses, int server) {
          links_.push_back(std::make_unique<FaultLink>(
              loop_, addresses, server, case_.where == FaultLocation::client, ledger_, plan_));
        },
        ledger_);
    if (c.chunked) {
      for (const auto& server : path_->servers()) {
        server->substitute = [](const std::string&, const std::string& correctResponse) {
          return withChunks(correctResponse);
        };
      }
    }
    loop_.after(fromMillis(kGiveUpMs), [this] {
      if (over_) return;
      ledger_.addViolation("hung", "waits in stage " + std::to_string(stage_));
      finish();
    });
    client_ = newClient();
    next();
  }

  [[nodiscard]] const Case& what() const { return case_; }
  [[nodiscard]] const RequestLedger& ledger() const { return ledger_; }
  [[nodiscard]] bool injected() const { return plan_.injected; }
  [[nodiscard]] int served() const { return served_; }

 private:
  std::unique_ptr<ScriptedClient> newClient() {
    auto client = std::make_unique<ScriptedClient>(loop_, path_->clientAddress(), ledger_);
    client->onIdle = [this] {
      if (std::exchange(asking_, false)) after(0);
    };
    return client;
  }
  void after(double ms) {
    loop_.after(fromMillis(ms), [this] {
      if (!over_) next();
    });
  }
  void ask(const std::vector<ScriptedRequest>& requests) {
    if (!client_->isOpen()) client_ = newClient();
    for (const auto& request : requests) {
      if (request.path.find("/once/") != std::string::npos) once_.insert(request.id);
      asked_.push_back(request.id);
    }
    asking_ = true;
    client_->send(requests);
  }
  [[nodiscard]] bool warm() const {
    if (!case_.kept || case_.where == FaultLocation::client) return !case_.kept || stage_ > 0;
    return std::all_of(links_.begin(), links_.end(),
                       [](const auto& l) { return l->openConnections() > 0; });
  }

  // What the client does, one step after the other.
  void next() {
    const auto length = std::string(case_.big ? "/big" : "/short");
    const auto safe = "/safe" + length;
    const auto once = "/once" + length;
    if (stage_ < kWarmUpRequests) {
      if (!warm()) {
        ask({{safe, "w" + std::to_string(stage_++)}});
        return;
      }
      stage_ = kWarmUpRequests;
    }
    switch (stage_++) {
      case kWarmUpRequests: {
        plan_.armed = true;
        if (case_.kept && case_.step == Step::opened) {
          for (const auto& l : links_) l->injectOnIdleConnections();
        }
        const auto path = case_.once ? once : safe;
        if (case_.piped) {
          ask({{safe, "p1"}, {path, plan_.targetId}, {safe, "p2"}});
        } else {
          ask({{path, plan_.targetId}});
        }
        return;
      }
      case kWarmUpRequests + 1:
        ask({{once, "f1"}});
        return;
      case kWarmUpRequests + 2:
        ask({{safe, "f2"}});
        return;
      case kWarmUpRequests + 3:
        if (plan_.injected && !plan_.ended) --stage_;
        after(kSettleMs);
        return;
      case kWarmUpRequests + 4:
        ask({{safe, "f3"}});
        return;
      case kWarmUpRequests + 5:
        ask({{once, "f4"}});
        return;
      case kWarmUpRequests + 6:
        after(kSettleMs);
        return;
      default:
        finish();
    }
  }

  void finish() {
    over_ = true;
    for (const auto& id : asked_) judge(id);
    if (path_->invariantViolations() > 0) ledger_.addViolation("invariant", "is violated");
    client_.reset();
    for (const auto& l : links_) l->close();
    path_->close();
    done_(*this);
  }

  void judge(const std::string& id) {
    const auto status = ledger_.statuses.contains(id) ? ledger_.statuses.at(id) : 0;
    const auto count = [&](const auto& map) { return map.contains(id) ? map.at(id) : 0; };
    const int runs = count(ledger_.runs);
    const int proofs = count(ledger_.notExecutedProofs);
    const auto peers = [&](const auto& map) {
      return map.contains(id) ? static_cast<int>(map.at(id).size()) : 0;
    };
    const int offers = case_.where == FaultLocation::client ? 0 : peers(ledger_.offeredTo);
    served_ += status == 200 ? 1 : 0;
    const auto told = id + ": " + std::to_string(status) + ", runs " + std::to_string(runs) +
                      ", offered to " + std::to_string(offers) + ", proofs " +
                      std::to_string(proofs);
    if (once_.contains(id) && (runs > 1 || offers - proofs > 1))
      ledger_.addViolation("twice", told);
    if (peers(ledger_.servers) > 2) ledger_.addViolation("often", told);
    const bool promised = status == 503 || status == 429 || status == 408 || status == 421;
    if (promised && runs > 0) ledger_.addViolation("promise", told);
    if (status == 200 && runs == 0) ledger_.addViolation("made up", told);
  }

  EventLoop& loop_;
  Case case_;
  std::function<void(CaseRun&)> done_;
  RequestLedger ledger_;
  FaultPlan plan_;
  std::unique_ptr<ProxyPath> path_;
  std::vector<std::unique_ptr<FaultLink>> links_;
  std::unique_ptr<ScriptedClient> client_;
  std::set<std::string> once_;
  std::vector<std::string> asked_;
  int stage_ = 0;
  int served_ = 0;
  bool asking_ = false;
  bool over_ = false;
};

struct Results {
  std::mutex lock;
  std::size_t played = 0;
  std::size_t skipped = 0;
  std::size_t retried = 0;
  std::size_t served = 0;
  std::map<std::string, std::size_t> kinds;
  std::vector<std::string> lines;
};

// Plays its share of the cases on a loop of its own.
void work(const std::vector<Case>& cases, std::size_t first, std::size_t stride, Results& results) {
  auto& loop = *new EventLoop;  // lives as long as the caseRuns on it: to the end of the process
  auto& caseRuns = *new std::deque<std::unique_ptr<CaseRun>>;
  std::size_t next = first;
  std::size_t running = 0;
  std::map<std::size_t, int> attempts;
  double concurrencyLimit = 8;
  std::function<void()> fill;
  std::function<void(std::size_t)> begin = [&](std::size_t number) {
    ++running;
    caseRuns.push_back(
        std::make_unique<CaseRun>(loop, cases[number], number, [&, number](CaseRun& play) {
          const bool retry = !play.injected() && play.ledger().violations.empty() &&
                             ++attempts[number] < kMaxAttempts;
          {
            const std::lock_guard<std::mutex> hold(results.lock);
            results.retried += retry ? 1 : 0;
            if (!retry) {
              ++results.played;
              results.skipped += play.injected() ? 0 : 1;
              results.served += static_cast<std::size_t>(play.served());
              if (!play.injected()) results.lines.push_back("never struck: " + play.what().name());
              for (const auto& [kind, description] : play.ledger().violations) {
                ++results.kinds[kind];
                auto line = kind;
                line.append(": ").append(play.what().name()).append(": ").append(description);
                results.lines.push_back(std::move(line));
              }
            }
          }
          loop.after(fromMillis(20), [&, number, retry] {
            --running;
            if (retry) begin(number);
            fill();
          });
        }));
  };
  fill = [&] {
    while (static_cast<double>(running) < concurrencyLimit && next < cases.size()) {
      const auto number = next;
      next += stride;
      begin(number);
    }
    if (running == 0) loop.stop();
  };
  std::function<void()> checkLag = [&] {
    loop.after(fromMillis(kLagCheckMs),
               [&, due = EventLoop::readClock() + fromMillis(kLagCheckMs)] {
                 const bool lags = EventLoop::readClock() - due > fromMillis(kLagMs);
                 concurrencyLimit = lags ? std::max(kMinConcurrentCases, concurrencyLimit * 0.9)
                                         : std::min(kMaxConcurrentCases, concurrencyLimit + 0.5);
                 fill();
                 checkLag();
               });
  };
  loop.defer(fill);
  loop.defer(checkLag);
  loop.run();
}

int run(const std::string& finds, std::size_t expected, const std::vector<std::string>& words) {
  auto cases = enumerate();
  std::cout << cases.size() << " cases\n";
  if (finds.empty() && cases.size() != expected) {
    std::cout << "FAILED: " << expected << " were expected\n";
    return 1;
  }
  std::erase_if(cases, [&](const Case& c) {
    return !std::all_of(words.begin(), words.end(), [name = c.name()](const auto& word) {
      return name.find(word) != std::string::npos;
    });
  });
  auto& results = *new Results;
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < kThreads; ++i) {
    threads.emplace_back([&, i] { work(cases, i, kThreads, results); });
  }
  for (auto& thread : threads) thread.join();
  std::sort(results.lines.begin(), results.lines.end());
  for (std::size_t i = 0; i < std::min<std::size_t>(results.lines.size(), 60); ++i) {
    std::cout << results.lines[i] << "\n";
  }
  std::cout << results.played << " played, " << results.skipped << " skipped, " << results.retried
            << " played again, " << results.served << " requests served\n";
  for (const auto& [kind, n] : results.kinds)
    std::cout << "violations, " << kind << ": " << n << "\n";
  if (!finds.empty()) return results.kinds.contains(finds) ? 0 : 1;
  const bool sound = results.kinds.empty() && results.skipped == 0 &&
                     results.played == cases.size() && results.served > 2 * cases.size();
  return sound ? 0 : 1;
}

}  // namespace
}  // namespace merlingauge::test

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  std::vector<std::string> words(argv + 1, argv + argc);
  const bool mutant = words.size() > 1 && words[0] == "--finds";
  const std::string finds = mutant ? words[1] : "";
  const std::size_t expected = mutant || words.empty() ? 0 : std::stoul(words[0]);
  words.erase(words.begin(), words.begin() + (mutant ? 2 : words.empty() ? 0 : 1));
  const int code = merlingauge::test::run(finds, expected, words);
  std::cout.flush();
  std::_Exit(code);  // loops and caseRuns are left as they are
}
