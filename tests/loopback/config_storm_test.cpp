// Real core processes while the configuration changes again and again: one is down during many
// changes, one comes back with an empty disk, one is new, one is killed again and again. Each has
// to catch up while the changes go on. Waits are generous; the times taken are printed.
#include <sys/stat.h>

#include <atomic>
#include <cstring>
#include <random>

#include "loopback/play.hpp"

namespace merlingauge::test {
namespace {

constexpr int kRestarts = 6;
constexpr double kMostFileMb = 8;       // a quarter of the disk that the settings grant
constexpr int kRoutesTooLarge = 20000;  // more than a fifth of that as text

struct Sizes {
  int routes = 300;
  int gapMs = 100;
  int seconds = 3;  // that one is down
};

std::string large(int revision, int routes) {
  json rules = json::array();
  for (int i = 0; i < routes; ++i) {
    rules.push_back({{"name", "r" + std::to_string(i)},
                     {"hostname", "echo.example"},
                     {"path_prefix", "/p" + std::to_string(i) + "/"},
                     {"route_type", i % 7 == 0 ? "non_idempotent" : "idempotent"},
                     {"timeout_s", i == revision % routes ? 1 + revision % 5 : 2},
                     {"target_service", "echo"},
                     {"max_attempts", 2}});
  }
  return json{{"revision", revision}, {"route_rules", rules}, {"services", {{{"name", "echo"}}}}}
      .dump();
}

// The operator: changes one after the other, each sent until it is taken, to any node there is.
class Operator {
 public:
  Operator(std::vector<std::string> nodes, Sizes sizes) : nodes_(std::move(nodes)), sizes_(sizes) {}
  ~Operator() { stop(); }

  void begin() {
    running_ = true;
    thread_ = std::thread([this] {
      while (running_) {
        const auto next =
            std::chrono::steady_clock::now() + std::chrono::milliseconds(sizes_.gapMs);
        const int base = taken_;
        const auto body = large(base + 1, sizes_.routes);
        while (running_) {
          const auto& node = nodes_[random_() % nodes_.size()];
          const auto reply = call(at(node, kControl), "POST", "/v1/Configuration.Replace",
                                  {{"Base-Revision", std::to_string(base)}}, body);
          if (reply.status == 200) {
            taken_ = base + 1;
            break;
          }
          if (reply.status == 412) ++refused_;
          std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        std::this_thread::sleep_until(next);
      }
    });
  }
  void stop() {
    running_ = false;
    if (thread_.joinable()) thread_.join();
  }
  [[nodiscard]] int taken() const { return taken_; }
  [[nodiscard]] int refused() const { return refused_; }

 private:
  std::vector<std::string> nodes_;
  Sizes sizes_;
  std::mt19937 random_{7};
  std::atomic<bool> running_{false};
  std::atomic<int> taken_{0};
  std::atomic<int> refused_{0};
  std::thread thread_;
};

json statusOf(const std::string& ip) {
  return json::parse(call(at(ip, kControl), "GET", "/v1/Status").body, nullptr, false);
}

double memoryMb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("VmHWM:", 0) == 0) return std::stod(line.substr(6)) / 1024;
  }
  return 0;
}

void play(const std::string& program, const Sizes& sizes) {
  NodeProcesses mesh(program, "127.117");
  mesh.adjust = [](json& settings) {
    settings["policy_terms"]["fault_tolerance"]["machines"] = 1;
    settings["self_node"]["limits"]["disk_mb"] = 32;
  };
  std::vector<std::string> cores;
  for (int i = 1; i <= 3; ++i) cores.push_back("127.117.0." + std::to_string(i));
  for (const auto& ip : cores) mesh.start(ip, NodeProcesses::Kind::core, true);
  eventually("all of the core vote", [&] {
    const auto status = statusOf(cores[0]);
    return status.is_object() && status["voters"].size() == 3 && status["votes"] == true;
  });
  Operator changes({cores[0], cores[1]}, sizes);
  changes.begin();
  eventually("the first change is taken", [&] { return changes.taken() > 0; });
  const auto away = std::chrono::milliseconds(1000 * sizes.seconds);
  // Caught up: it votes, or is awake as the spare beside an odd number of voters, and knows what
  // had been taken when it was asked.
  const auto mayVote = [](const json& status, const std::string& ip) {
    if (status["votes"] == true) return true;
    for (const auto& node : status["nodes"]) {
      if (node["node"] == ip && status["voters"].size() % 2 == 1) return node["awake"] == true;
    }
    return false;
  };
  const auto catchesUp = [&](const std::string& what, const std::string& ip) {
    const auto began = std::chrono::steady_clock::now();
    const int before = changes.taken();
    eventually(what, [&] {
      const int newest = changes.taken();
      const auto status = statusOf(ip);
      return status.is_object() && mayVote(status, ip) && status["revision"] >= newest;
    });
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
    std::cout << "   after " << took.count() << " s, at change " << before << "\n";
  };
  mesh.stop(cores[2], SIGKILL);
  std::this_thread::sleep_for(away);
  mesh.start(cores[2], NodeProcesses::Kind::core, false);
  catchesUp("one that was down catches up while changes go on", cores[2]);
  mesh.stop(cores[2], SIGKILL);
  mesh.wipe(cores[2]);
  std::this_thread::sleep_for(away);
  mesh.start(cores[2], NodeProcesses::Kind::core, false);
  catchesUp("one that lost its disk does", cores[2]);
  // A snapshot of an earlier state is put back: it is read over, not voted with.
  const auto state = [&](const std::string& what, const std::string& ip) {
    const auto line = program + " state " + what + " " + mesh.dataOf("snapshot") +
                      " --data=" + mesh.dataOf(ip) + " > /dev/null 2>&1";
    const int status = std::system(line.c_str());
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  };
  require(state("save", cores[2]) == 0, "a snapshot is saved while changes go on");
  require(state("restore --force", cores[2]) == 75, "not put back below a running process");
  mesh.stop(cores[2], SIGKILL);
  require(state("restore", cores[2]) == 73, "not put back over state that is there");
  std::this_thread::sleep_for(away);
  require(state("restore --force", cores[2]) == 0, "put back");
  mesh.start(cores[2], NodeProcesses::Kind::core, false);
  catchesUp("one that was put back from a snapshot does", cores[2]);
  const std::string fresh = "127.117.0.4";
  mesh.start(fresh, NodeProcesses::Kind::core, false);
  catchesUp("a new one does", fresh);
  for (int i = 0; i < kRestarts; ++i) {
    mesh.stop(cores[2], SIGKILL);
    if (i % 2 == 1) mesh.wipe(cores[2]);
    mesh.start(cores[2], NodeProcesses::Kind::core, false);
    std::this_thread::sleep_for(std::chrono::milliseconds(150 * i));
  }
  catchesUp("one that is killed again and again does", cores[2]);
  changes.stop();
  const int before = changes.taken();
  const auto order = [&](int base, int routes) {
    return call(at(cores[1], kControl), "POST", "/v1/Configuration.Replace",
                {{"Base-Revision", std::to_string(base)}}, large(base + 1, routes))
        .status;
  };
  eventually("what the disks can't take is refused",
             [&] { return order(before, kRoutesTooLarge) == 400; });
  changes.begin();
  const int seen = changes.taken();
  eventually("the changes go on", [&] { return changes.taken() > seen + 3; });
  changes.stop();
  std::cout << "   changes taken: " << changes.taken() << "\n";
  require(changes.refused() == 0, "no change was refused that built on the newest");
  for (const auto& ip : {cores[0], cores[1], cores[2], fresh}) {
    eventually("all know the last change", [&] {
      const auto status = statusOf(ip);
      return status.is_object() && status["revision"] >= changes.taken();
    });
    struct stat info {};
    require(::stat((mesh.dataOf(ip) + "/register/data.mdb").c_str(), &info) == 0 &&
                static_cast<double>(info.st_size) <= kMostFileMb * (1U << 20U),
            "the file stays bounded");
    std::cout << "   " << ip << ": file " << static_cast<double>(info.st_size) / (1U << 20U)
              << " MB, memory at most " << memoryMb(mesh.pidOf(ip)) << " MB\n";
  }
}

}  // namespace
}  // namespace merlingauge::test

// stormtest PROGRAM [ROUTES [GAP_MS [SECONDS]]]
int main(int argc, char** argv) {
  merlingauge::test::Sizes sizes;
  if (argc > 2) sizes.routes = std::atoi(argv[2]);
  if (argc > 3) sizes.gapMs = std::atoi(argv[3]);
  if (argc > 4) sizes.seconds = std::atoi(argv[4]);
  return merlingauge::test::runPlay(std::min(argc, 2), argv, [&](const std::string& program) {
    merlingauge::test::play(program, sizes);
  });
}
