// A fleet that is renewed: five voters of two versions of the program, first three old and two new,
// then two old and three new, at last each of them as the other version on the disk it had. Orders
// are taken through both kinds at any time, and nothing that was taken is lost. Two sidecars of
// different versions pass a request on to each other meanwhile.
#include <algorithm>

#include "loopback/play.hpp"

namespace merlingauge::test {
namespace {

constexpr int kVoters = 5;
constexpr int kToldPasses = 3;
constexpr auto kLongest = std::chrono::seconds(90);  // one step, also where the disk is busy

// By the clock: what never comes is to end the play in time, also where each try takes long.
template <class Test>
void inTime(const std::string& what, Test test) {
  const auto end = std::chrono::steady_clock::now() + kLongest;
  bool done = test();
  while (!done && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    done = test();
  }
  require(done, what);
}

class Fleet {
 public:
  // Both kinds of nodes share the folder of this process, so a voter keeps its disk.
  Fleet(const std::string& oldProgram, const std::string& newProgram)
      : hosts_(hostsOfThisProcess()), old_(oldProgram, hosts_), new_(newProgram, hosts_) {
    const auto adjust = [this](json& settings) {
      json seeds = json::array();
      for (int n = 1; n <= kVoters; ++n) seeds.push_back(at(voter(n), kControl));
      settings["network"]["seed_nodes"] = seeds;
      settings["policy_terms"]["fault_tolerance"] = {{"machines", (kVoters - 1) / 2}};
    };
    old_.adjust = adjust;
    new_.adjust = adjust;
  }

  enum class Kind { oldOne, newOne };
  [[nodiscard]] std::string voter(int n) const { return hosts_ + ".0." + std::to_string(n); }
  [[nodiscard]] std::string front() const { return hosts_ + ".0.11"; }
  [[nodiscard]] std::string back() const { return hosts_ + ".0.12"; }

  void start(const std::string& ip, Kind kind, NodeProcesses::Kind what, bool first) {
    kinds_[ip] = kind;
    meshOf(ip).start(ip, what, first);
  }
  // As the other version, on the disk it had.
  void exchange(const std::string& ip, NodeProcesses::Kind what) {
    const int end = meshOf(ip).stop(ip, SIGTERM);
    require(WIFEXITED(end) && WEXITSTATUS(end) == 0, ip + " ends in order");
    start(ip, kinds_.at(ip) == Kind::oldOne ? Kind::newOne : Kind::oldOne, what, false);
  }
  void stopAll() {
    for (const auto& [ip, kind] : kinds_) meshOf(ip).stop(ip, SIGKILL);
    kinds_.clear();
  }
  [[nodiscard]] std::string kindOf(const std::string& ip) const {
    return kinds_.at(ip) == Kind::oldOne ? "old" : "new";
  }
  [[nodiscard]] std::string logOf(const std::string& ip) {
    std::ifstream in(old_.dataOf(ip) + ".log");
    return {std::istreambuf_iterator<char>(in), {}};
  }

 private:
  NodeProcesses& meshOf(const std::string& ip) {
    return kinds_.at(ip) == Kind::oldOne ? old_ : new_;
  }
  std::string hosts_;
  NodeProcesses old_;
  NodeProcesses new_;
  std::map<std::string, Kind> kinds_;
};

json status(const std::string& ip) {
  auto told = json::parse(call(at(ip, kControl), "GET", "/v1/Status").body, nullptr, false);
  return told.is_object() ? told : json::object();  // empty where the node doesn't answer
}

// The operator: every order builds on the one before, and all are kept.
class Operator {
 public:
  explicit Operator(Fleet& fleet) : fleet_(fleet) {}

  void change(int n) {
    const int next = revision() + 1;
    const auto ip = fleet_.voter(n);
    orders_.push_back(config(next, "/v" + std::to_string(next) + "/"));
    inTime("revision " + std::to_string(next) + " is taken through voter " + std::to_string(n) +
               " (" + fleet_.kindOf(ip) + ")",
           [&] { return send(ip, next) == 200; });
  }
  // Two ways to read: what each says of itself, and what a majority says through it.
  void readEverywhere() {
    for (int n = 1; n <= kVoters; ++n) {
      const auto ip = fleet_.voter(n);
      const auto who = "voter " + std::to_string(n) + " (" + fleet_.kindOf(ip) + ") ";
      inTime(who + "knows revision " + std::to_string(revision()),
             [&] { return status(ip).value("revision", 0) == revision(); });
      inTime(who + "gives its text back", [&] {
        const auto told = call(at(ip, kControl), "GET", "/v1/Configuration.Describe");
        return told.status == 200 && told.body == orders_.back();
      });
    }
  }
  // An order that was taken is known by its digest, however long ago; one that never was is not.
  void checkAllOrders() {
    for (int n = 1; n <= kVoters; ++n) {
      const auto ip = fleet_.voter(n);
      for (int r = 1; r <= revision(); ++r) {
        inTime("revision " + std::to_string(r) + " is known at voter " + std::to_string(n),
               [&] { return send(ip, r) == 200; });
      }
      const auto other = config(revision(), "/never/");
      inTime("and another order on the same base is refused there",
             [&] { return put(ip, revision() - 1, other) == 412; });
    }
  }
  [[nodiscard]] int revision() const { return static_cast<int>(orders_.size()); }

 private:
  static int put(const std::string& ip, int base, const std::string& text) {
    return call(at(ip, kControl), "POST", "/v1/Configuration.Replace",
                {{"Base-Revision", std::to_string(base)}}, text)
        .status;
  }
  int send(const std::string& ip, int order) {
    return put(ip, order - 1, orders_.at(static_cast<std::size_t>(order - 1)));
  }
  Fleet& fleet_;
  std::vector<std::string> orders_;
};

void request(Fleet& fleet, StandInServer& app) {
  const auto ask = [&](const std::string& path) {
    return call(at(fleet.front(), kEgress), "POST", path,
                {{"Host", "echo.example"}, {"Deadline-Ms", "2000"}}, "x")
        .status;
  };
  int passed = 0;
  inTime("requests pass from a sidecar (" + fleet.kindOf(fleet.front()) + ") to a sidecar (" +
             fleet.kindOf(fleet.back()) + ")",
         [&] {
           app.sendHeartbeat("available");
           passed = ask("/safe/1") == 200 ? passed + 1 : 0;
           return passed == kToldPasses;
         });
}

void renew(Fleet& fleet, Operator& orders, int n) {
  const auto ip = fleet.voter(n);
  const auto before = fleet.logOf(ip).size();
  fleet.exchange(ip, NodeProcesses::Kind::core);
  const auto who = "voter " + std::to_string(n) + ", now " + fleet.kindOf(ip) + ", ";
  inTime(who + "reads its disk", [&] {
    return fleet.logOf(ip).find("state read back, version " + std::to_string(orders.revision()),
                                before) != std::string::npos;
  });
  inTime(who + "votes", [&] { return status(ip).value("votes", false); });
  orders.change(n);
  orders.readEverywhere();
}

void play(const std::string& oldProgram, const std::string& newProgram) {
  Fleet fleet(oldProgram, newProgram);
  Operator orders(fleet);
  for (int n = 1; n <= kVoters; ++n) {
    fleet.start(fleet.voter(n), n <= 3 ? Fleet::Kind::oldOne : Fleet::Kind::newOne,
                NodeProcesses::Kind::core, true);
  }
  fleet.start(fleet.front(), Fleet::Kind::oldOne, NodeProcesses::Kind::sidecar, true);
  fleet.start(fleet.back(), Fleet::Kind::newOne, NodeProcesses::Kind::sidecar, true);
  StandInServer app(fleet.back(), "i-1");

  std::cout << "-- three old, two new\n";
  for (int n = 1; n <= kVoters; ++n) {
    orders.change(n);
    orders.readEverywhere();
  }
  request(fleet, app);

  std::cout << "-- two old, three new\n";
  renew(fleet, orders, 3);
  for (int n = 1; n <= kVoters; ++n) orders.change(n);
  orders.readEverywhere();
  orders.checkAllOrders();

  std::cout << "-- the sidecars change their versions\n";
  fleet.exchange(fleet.front(), NodeProcesses::Kind::sidecar);
  fleet.exchange(fleet.back(), NodeProcesses::Kind::sidecar);
  request(fleet, app);

  std::cout << "-- the rest of the old ones is renewed, the new ones go back\n";
  for (const int n : {1, 2, 4, 5}) renew(fleet, orders, n);
  orders.checkAllOrders();
  request(fleet, app);
  fleet.stopAll();
}

}  // namespace
}  // namespace merlingauge::test

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "mixedversionstest OLD-PROGRAM NEW-PROGRAM\n";
    return 2;
  }
  std::cout << std::unitbuf;  // what was reached is seen also where the limit of time ends it
  const auto began = std::chrono::steady_clock::now();
  try {
    merlingauge::test::play(argv[1], argv[2]);
  } catch (const merlingauge::test::Failure& failure) {
    std::cerr << "FAILED: " << failure.what << "\n";
    return 1;
  } catch (const std::exception& problem) {
    std::cerr << "FAILED: " << problem.what() << "\n";
    return 1;
  }
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
  std::cout << "it took " << took.count() << " s\n";
  return 0;
}
