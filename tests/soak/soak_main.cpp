// The soak run: real processes, servers and callers on real sockets, under random and overlapping
// kills, pauses, restarts, cuts, resets, half-closes and lost answers. Prints for each seed what
// was sent, answered and lost, and fails where a caller got what it must not, a request ran that
// must not, an acknowledged change was lost or a node counted a violated invariant.
//   soak PROGRAM [--deployment=mesh|gateway] [--seconds=N] [--seed=N] [--seeds=N]
#include <atomic>
#include <chrono>
#include <csignal>
#include <iostream>
#include <list>
#include <thread>

#include "soak/caller.hpp"
#include "soak/fleet.hpp"
#include "soak/ledger.hpp"

namespace merlingauge::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr int kCallers = 12;
constexpr std::size_t kMaxFaultsAtOnce = 3;
constexpr milliseconds kTick{20};
constexpr milliseconds kConfigInterval{700};
// Without faults, so that what lingers comes to its end under the callers' eyes.
constexpr seconds kCalmAtEnd{2};

struct Options {
  std::string program;
  bool gateway = false;
  int seconds = 10;
  std::uint64_t seed = 1;
  int seeds = 1;
};

// Begins faults at random times, several at once, and heals each when its time has come.
class FaultSchedule {
 public:
  FaultSchedule(SoakFleet& fleet, SoakLedger& ledger, std::uint64_t seed)
      : fleet_(fleet), ledger_(ledger), random_(seed) {}

  void run(seconds duration) {
    const auto end = steady_clock::now() + duration;
    auto nextConfigAt = steady_clock::now();
    while (steady_clock::now() < end) {
      heal(steady_clock::now());
      const bool begins = std::uniform_int_distribution<int>(0, 9)(random_) == 0;
      if (begins && active_.size() < kMaxFaultsAtOnce) begin();
      if (steady_clock::now() >= nextConfigAt) {
        nextConfigAt = steady_clock::now() + kConfigInterval;
        fleet_.changeConfiguration();
      }
      std::this_thread::sleep_for(kTick);
    }
    heal(steady_clock::time_point::max());
  }

 private:
  struct Active {
    SoakFleet::Fault fault;
    steady_clock::time_point until;
  };

  void begin() {
    std::map<std::string, int> busy;
    for (const auto& active : active_) ++busy[active.fault.target];
    auto fault = fleet_.strike(busy);
    if (fault.kind.empty()) return;
    ledger_.count("fault: " + fault.kind);
    ledger_.onFault(fault.kind + " " + fault.target);
    const auto until = steady_clock::now() + milliseconds(fault.lastsMs);
    active_.push_back({std::move(fault), until});
  }

  void heal(steady_clock::time_point now) {
    for (auto active = active_.begin(); active != active_.end();) {
      if (active->until > now) {
        ++active;
        continue;
      }
      active->fault.heal();
      ledger_.onFault("healed: " + active->fault.target);
      active = active_.erase(active);
    }
  }

  SoakFleet& fleet_;
  SoakLedger& ledger_;
  std::mt19937_64 random_;
  std::list<Active> active_;
};

bool runSeed(const Options& options, std::uint64_t seed) {
  std::cout << (options.gateway ? "gateway" : "mesh") << ", seed " << seed << ", "
            << options.seconds << " s" << std::endl;
  SoakLedger ledger;
  {
    SoakFleet fleet(options.program, options.gateway, ledger, seed);
    if (!fleet.waitUntilServing()) {
      std::cout << "FAILED: the fleet doesn't serve\n";
      return false;
    }
    std::atomic<bool> stop{false};
    std::list<SoakCaller> callers;
    std::list<std::thread> threads;
    for (int i = 0; i < kCallers; ++i) {
      auto& caller = callers.emplace_back("c" + std::to_string(i), fleet.callerAddresses(), ledger,
                                          seed * kCallers + static_cast<std::uint64_t>(i));
      threads.emplace_back([&caller, &stop] { caller.run(stop); });
    }
    FaultSchedule(fleet, ledger, seed + 1).run(seconds(options.seconds));
    std::this_thread::sleep_for(kCalmAtEnd);
    stop = true;
    for (auto& thread : threads) thread.join();
    fleet.checkAtEnd();
  }
  ledger.checkAtEnd();
  return ledger.report();
}

// False where an argument is wrong.
bool readOptions(int argc, char** argv, Options& options) {
  if (argc < 2) return false;
  options.program = argv[1];
  for (int i = 2; i < argc; ++i) {
    const std::string argument = argv[i];
    const auto equals = argument.find('=');
    if (equals == std::string::npos) return false;
    const auto name = argument.substr(0, equals);
    const auto value = argument.substr(equals + 1);
    if (name == "--deployment" && (value == "mesh" || value == "gateway")) {
      options.gateway = value == "gateway";
    } else if (name == "--seconds") {
      options.seconds = std::stoi(value);
    } else if (name == "--seed") {
      options.seed = std::stoull(value);
    } else if (name == "--seeds") {
      options.seeds = std::stoi(value);
    } else {
      return false;
    }
  }
  return true;
}

}  // namespace
}  // namespace merlingauge::test

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  merlingauge::test::Options options;
  if (!merlingauge::test::readOptions(argc, argv, options)) {
    std::cerr << "usage: soak PROGRAM [--deployment=mesh|gateway] [--seconds=N] [--seed=N]"
                 " [--seeds=N]\n";
    return 2;
  }
  int failed = 0;
  for (int i = 0; i < options.seeds; ++i) {
    const auto seed = options.seed + static_cast<std::uint64_t>(i);
    if (!merlingauge::test::runSeed(options, seed)) ++failed;
  }
  std::cout << options.seeds - failed << " of " << options.seeds << " seeds sound\n";
  return failed == 0 ? 0 : 1;
}
