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

namespace merlingauge::test {
namespace {

constexpr double kSettleMs = 150;
constexpr double kGiveUpMs = 40000;  // far above every limit: whatever waits still, hangs
constexpr int kWarmings = 60;
constexpr int kTries = 4;  // where a busy machine kept the request from reaching the step
constexpr std::size_t kThreads = 4;
// Cases on one loop: fewer while it lags behind, or requests would not get far before they end.
constexpr double kAtOnce = 48;
constexpr double kAtOnceLeast = 3;
constexpr double kLagMs = 25;
constexpr double kLookMs = 10;

// Which steps each fault is played at.
constexpr unsigned bit(Step step) { return 1U << static_cast<unsigned>(step); }
constexpr unsigned kAll = bit(Step::count_) - 1;
// Bytes put in are bytes of the answer once its head is out: nobody could tell them apart.
constexpr unsigned kBetween = (bit(Step::answerHead) - 1) | bit(Step::end);
struct Row {
  const char* name;
  unsigned steps;
  bool atClient;  // played between client and node too
};
constexpr std::array<Row, static_cast<std::size_t>(Fault::count_)> kFaults = {{
    {"silence", kAll, true},
    {"frozen", kAll, true},
    {"reset", kAll, true},
    {"close", kAll, true},
    {"half-near", kAll, true},
    {"half-far", kAll, true},
    {"killed", kAll, false},
    {"taken-over", kAll, false},
    {"own-answer", kBetween & ~bit(Step::opened), false},
    {"stray-answer", kBetween, false},
    {"surplus", kBetween, false},
    {"other-id", bit(Step::answerHead), false},
    {"no-id", bit(Step::answerHead), false},
}};

struct Case {
  bool gateway = false;
  Where where = Where::server;
  bool once = false;
  bool kept = false;
  bool piped = false;
  bool big = false;
  Step step = Step::opened;
  Fault fault = Fault::silence;
  [[nodiscard]] std::string name() const {
    return std::string(gateway ? "gateway " : "mesh ") + kWhereNames.at(static_cast<int>(where)) +
           (once ? " once" : " safe") + (kept ? " kept" : " fresh") +
           (piped ? " piped" : " single") + (big ? " long " : " short ") +
           kStepNames.at(static_cast<std::size_t>(step)) + " " +
           kFaults.at(static_cast<std::size_t>(fault)).name;
  }
};

std::vector<Case> enumerate() {
  std::vector<Case> out;
  Case c;
  for (const bool gateway : {false, true}) {
    for (const auto where : {Where::client, Where::ingress, Where::server}) {
      if (gateway && where == Where::ingress) continue;
      for (unsigned flags = 0; flags < 16; ++flags) {
        c.gateway = gateway;
        c.where = where;
        c.once = (flags & 1) != 0;
        c.kept = (flags & 2) != 0;
        c.piped = (flags & 4) != 0;
        c.big = (flags & 8) != 0;
        for (unsigned f = 0; f < kFaults.size(); ++f) {
          const auto& row = kFaults.at(f);
          if (where == Where::client && !row.atClient) continue;
          for (unsigned s = 0; s < static_cast<unsigned>(Step::count_); ++s) {
            c.step = static_cast<Step>(s);
            c.fault = static_cast<Fault>(f);
            // How long the answer is makes no difference before it begins.
            const bool lengthMatters = c.step >= Step::answerHead;
            if ((row.steps & bit(c.step)) == 0 || (c.big && !lengthMatters)) continue;
            if (c.step == Step::interim && where != Where::ingress) continue;
            out.push_back(c);
          }
        }
      }
    }
  }
  return out;
}

// One case: a node that takes requests, two servers (in a mesh each with a node beside it), the
// links that may be struck, a client. Stays where it is until the process ends.
class Play {
 public:
  Play(EventLoop& loop, const Case& c, std::size_t number, std::function<void(Play&)> done)
      : loop_(loop), case_(c), done_(std::move(done)) {
    trap_.step = c.step;
    trap_.fault = c.fault;
    trap_.target = "target";
    trap_.big = c.big;
    path_ = std::make_unique<ProxyPath>(
        loop, number, c.gateway, c.where,
        [this](const auto& at, const auto& to, const auto& other, int i) {
          links_.push_back(std::make_unique<Link>(loop_, at, to, other, i,
                                                  case_.where == Where::client, ledger_, trap_));
        },
        ledger_);
    loop_.after(fromMillis(kGiveUpMs), [this] {
      if (over_) return;
      ledger_.wrong("hung", "waits in stage " + std::to_string(stage_));
      finish();
    });
    caller_ = newCaller();
    next();
  }

  [[nodiscard]] const Case& what() const { return case_; }
  [[nodiscard]] const Ledger& ledger() const { return ledger_; }
  [[nodiscard]] bool struck() const { return trap_.fired; }
  [[nodiscard]] int served() const { return served_; }

 private:
  std::unique_ptr<Caller> newCaller() {
    auto caller = std::make_unique<Caller>(loop_, path_->way(), ledger_);
    caller->onIdle = [this] {
      if (std::exchange(asking_, false)) after(0);
    };
    return caller;
  }
  void after(double ms) {
    loop_.after(fromMillis(ms), [this] {
      if (!over_) next();
    });
  }
  void ask(const std::vector<std::pair<std::string, std::string>>& requests) {
    if (!caller_->open()) caller_ = newCaller();
    for (const auto& [path, id] : requests) {
      if (path.find("/once/") != std::string::npos) once_.insert(id);
      asked_.push_back(id);
    }
    asking_ = true;
    caller_->ask(requests);
  }
  [[nodiscard]] bool warm() const {
    if (!case_.kept || case_.where == Where::client) return !case_.kept || stage_ > 0;
    return std::all_of(links_.begin(), links_.end(), [](const auto& l) { return l->open() > 0; });
  }

  // What the client does, one step after the other.
  void next() {
    const auto length = std::string(case_.big ? "/big" : "/short");
    const auto safe = "/safe" + length;
    const auto once = "/once" + length;
    if (stage_ < kWarmings) {
      if (!warm()) {
        ask({{safe, "w" + std::to_string(stage_++)}});
        return;
      }
      stage_ = kWarmings;
    }
    switch (stage_++) {
      case kWarmings: {
        trap_.armed = true;
        if (case_.kept && case_.step == Step::opened) {
          for (const auto& l : links_) l->strikeIdle();
        }
        const auto path = case_.once ? once : safe;
        if (case_.piped) {
          ask({{safe, "p1"}, {path, trap_.target}, {safe, "p2"}});
        } else {
          ask({{path, trap_.target}});
        }
        return;
      }
      case kWarmings + 1:
        ask({{once, "f1"}});
        return;
      case kWarmings + 2:
        ask({{safe, "f2"}});
        return;
      case kWarmings + 3:
        if (trap_.fired && !trap_.over) --stage_;
        after(kSettleMs);
        return;
      case kWarmings + 4:
        ask({{safe, "f3"}});
        return;
      case kWarmings + 5:
        ask({{once, "f4"}});
        return;
      case kWarmings + 6:
        after(kSettleMs);
        return;
      default:
        finish();
    }
  }

  void finish() {
    over_ = true;
    for (const auto& id : asked_) judge(id);
    caller_.reset();
    for (const auto& l : links_) l->close();
    path_->close();
    done_(*this);
  }

  void judge(const std::string& id) {
    const auto status = ledger_.statuses.contains(id) ? ledger_.statuses.at(id) : 0;
    const auto count = [&](const auto& map) { return map.contains(id) ? map.at(id) : 0; };
    const int runs = count(ledger_.runs);
    const int proofs = count(ledger_.proofs);
    const auto peers = [&](const auto& map) {
      return map.contains(id) ? static_cast<int>(map.at(id).size()) : 0;
    };
    const int offers = case_.where == Where::client ? 0 : peers(ledger_.offered);
    served_ += status == 200 ? 1 : 0;
    const auto told = id + ": " + std::to_string(status) + ", runs " + std::to_string(runs) +
                      ", offered to " + std::to_string(offers) + ", proofs " +
                      std::to_string(proofs);
    if (once_.contains(id) && (runs > 1 || offers - proofs > 1)) ledger_.wrong("twice", told);
    if (peers(ledger_.runAt) > 2) ledger_.wrong("often", told);
    const bool promised = status == 503 || status == 429 || status == 408 || status == 421;
    if (promised && runs > 0) ledger_.wrong("promise", told);
    if (status == 200 && runs == 0) ledger_.wrong("made up", told);
  }

  EventLoop& loop_;
  Case case_;
  std::function<void(Play&)> done_;
  Ledger ledger_;
  Trap trap_;
  std::unique_ptr<ProxyPath> path_;
  std::vector<std::unique_ptr<Link>> links_;
  std::unique_ptr<Caller> caller_;
  std::set<std::string> once_;
  std::vector<std::string> asked_;
  int stage_ = 0;
  int served_ = 0;
  bool asking_ = false;
  bool over_ = false;
};

struct Totals {
  std::mutex lock;
  std::size_t played = 0;
  std::size_t skipped = 0;
  std::size_t again = 0;
  std::size_t served = 0;
  std::map<std::string, std::size_t> kinds;
  std::vector<std::string> lines;
};

// Plays its share of the cases on a loop of its own.
void work(const std::vector<Case>& cases, std::size_t first, std::size_t stride, Totals& totals) {
  auto& loop = *new EventLoop;  // lives as long as the plays on it: to the end of the process
  auto& plays = *new std::deque<std::unique_ptr<Play>>;
  std::size_t next = first;
  std::size_t running = 0;
  std::map<std::size_t, int> tries;
  double atOnce = 8;
  std::function<void()> fill;
  std::function<void(std::size_t)> begin = [&](std::size_t number) {
    ++running;
    plays.push_back(std::make_unique<Play>(loop, cases[number], number, [&, number](Play& play) {
      const bool once_more =
          !play.struck() && play.ledger().broken.empty() && ++tries[number] < kTries;
      {
        const std::lock_guard<std::mutex> hold(totals.lock);
        totals.again += once_more ? 1 : 0;
        if (!once_more) {
          ++totals.played;
          totals.skipped += play.struck() ? 0 : 1;
          totals.served += static_cast<std::size_t>(play.served());
          if (!play.struck()) totals.lines.push_back("never struck: " + play.what().name());
          for (const auto& [kind, what] : play.ledger().broken) {
            ++totals.kinds[kind];
            totals.lines.push_back(kind + ": " + play.what().name() + ": " + what);
          }
        }
      }
      loop.after(fromMillis(20), [&, number, once_more] {
        --running;
        if (once_more) begin(number);
        fill();
      });
    }));
  };
  fill = [&] {
    while (static_cast<double>(running) < atOnce && next < cases.size()) {
      const auto number = next;
      next += stride;
      begin(number);
    }
    if (running == 0) loop.stop();
  };
  std::function<void()> look = [&] {
    loop.after(fromMillis(kLookMs), [&, due = EventLoop::readClock() + fromMillis(kLookMs)] {
      const bool lags = EventLoop::readClock() - due > fromMillis(kLagMs);
      atOnce = lags ? std::max(kAtOnceLeast, atOnce * 0.9) : std::min(kAtOnce, atOnce + 0.5);
      fill();
      look();
    });
  };
  loop.defer(fill);
  loop.defer(look);
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
  auto& totals = *new Totals;
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < kThreads; ++i) {
    threads.emplace_back([&, i] { work(cases, i, kThreads, totals); });
  }
  for (auto& thread : threads) thread.join();
  std::sort(totals.lines.begin(), totals.lines.end());
  for (std::size_t i = 0; i < std::min<std::size_t>(totals.lines.size(), 60); ++i) {
    std::cout << totals.lines[i] << "\n";
  }
  std::cout << totals.played << " played, " << totals.skipped << " skipped, " << totals.again
            << " played again, " << totals.served << " requests served\n";
  for (const auto& [kind, n] : totals.kinds)
    std::cout << "violations, " << kind << ": " << n << "\n";
  if (!finds.empty()) return totals.kinds.contains(finds) ? 0 : 1;
  const bool sound = totals.kinds.empty() && totals.skipped == 0 && totals.played == cases.size() &&
                     totals.served > 2 * cases.size();
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
  std::_Exit(code);  // loops and plays are left as they are
}
