// config_storm_test.cpp: real control nodes while the configuration changes again and again: one is
// down during many changes, one comes back with an empty disk, one is new, one is killed again and
// again. Each has to catch up while the changes go on. Waits are generous; the times taken are
// printed. `config_storm_test PROGRAM [ROUTES [GAP_MS [SECONDS_DOWN]]]`
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>
#include <vector>

#include "loopback/node_processes.hpp"
#include "loopback/polling.hpp"
#include "loopback/program_arguments.hpp"
#include "loopback/shared_fleet_test.hpp"

namespace merlingauge::test {
namespace {

constexpr int kRestarts = 6;
constexpr double kMaximumFileMb = 8;    // a quarter of the disk that the settings grant
constexpr int kRoutesTooLarge = 20000;  // more than a fifth of that as text

struct Sizes {
  int routes = sizeArgument(1, 300);
  int gapMs = sizeArgument(2, 100);
  int secondsDown = sizeArgument(3, 3);
};

std::string largeConfiguration(int revision, int routes) {
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

// The operator: changes one after the other, each sent until it is accepted, to any of the nodes.
class ConfigurationWriter {
 public:
  ConfigurationWriter(std::vector<std::string> nodes, Sizes sizes)
      : nodes_(std::move(nodes)), sizes_(sizes) {}
  ~ConfigurationWriter() { stop(); }

  void start() {
    running_ = true;
    thread_ = std::thread([this] { run(); });
  }
  void stop() {
    running_ = false;
    if (thread_.joinable()) thread_.join();
  }
  [[nodiscard]] int accepted() const { return accepted_; }
  // Changes that were rejected although they built on the newest.
  [[nodiscard]] int rejected() const { return rejected_; }

 private:
  void run() {
    while (running_) {
      const auto next = std::chrono::steady_clock::now() + std::chrono::milliseconds(sizes_.gapMs);
      sendNext();
      std::this_thread::sleep_until(next);
    }
  }

  void sendNext() {
    const int base = accepted_;
    const auto body = largeConfiguration(base + 1, sizes_.routes);
    while (running_) {
      const auto& node = nodes_[random_() % nodes_.size()];
      const auto reply = call(at(node, kControl), "POST", "/v1/Configuration.Replace",
                              {{"Base-Revision", std::to_string(base)}}, body);
      if (reply.status == 200) {
        accepted_ = base + 1;
        return;
      }
      if (reply.status == 412) ++rejected_;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  std::vector<std::string> nodes_;
  Sizes sizes_;
  std::mt19937 random_{7};
  std::atomic<bool> running_{false};
  std::atomic<int> accepted_{0};
  std::atomic<int> rejected_{0};
  std::thread thread_;
};

json statusOf(const std::string& ip) {
  return json::parse(call(at(ip, kControl), "GET", "/v1/Status").body, nullptr, false);
}

double peakMemoryMb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("VmHWM:", 0) == 0) return std::stod(line.substr(6)) / 1024;
  }
  return 0;
}

// Whether the node votes, or is awake as the spare beside an odd number of voters.
bool mayVote(const json& status, const std::string& ip) {
  if (status["votes"] == true) return true;
  for (const auto& node : status["nodes"]) {
    if (node["node"] == ip && status["voters"].size() % 2 == 1) return node["awake"] == true;
  }
  return false;
}

// Three control nodes, of which the tests restart `restarted`, and the writer, which goes on from
// test to test; a test starts `added`.
class Fleet {
 public:
  Fleet() : nodes(programPath(), "127.117") {
    nodes.adjust = [](json& settings) {
      settings["policy_terms"]["fault_tolerance"]["machines"] = 1;
      settings["self_node"]["limits"]["disk_mb"] = 32;
    };
    for (const auto& ip : control) nodes.start(ip, NodeProcesses::Kind::core, true);
  }

  void startAgain() { nodes.start(restarted, NodeProcesses::Kind::core, false); }
  void staysDown() const { std::this_thread::sleep_for(std::chrono::seconds(sizes.secondsDown)); }

  // The exit status of `state WHAT` for the snapshot and the data of the restarted node.
  [[nodiscard]] int stateCommand(const std::string& what) const {
    const auto line = programPath() + " state " + what + " " + nodes.dataOf("snapshot") +
                      " --data=" + nodes.dataOf(restarted) + " > /dev/null 2>&1";
    const int status = std::system(line.c_str());
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  const Sizes sizes;
  const std::vector<std::string> control = {"127.117.0.1", "127.117.0.2", "127.117.0.3"};
  const std::string restarted = control[2];
  const std::string added = "127.117.0.4";
  NodeProcesses nodes;
  ConfigurationWriter writer{{control[0], control[1]}, sizes};
};

class ConfigStormTest : public SharedFleetTest<Fleet> {
 protected:
  // Caught up: it may vote and knows what had been accepted when it was asked.
  void catchesUp(const std::string& what, const std::string& ip) {
    const auto began = std::chrono::steady_clock::now();
    const int before = fleet_.writer.accepted();
    ASSERT_TRUE(becomesTrue([&] {
      const int newest = fleet_.writer.accepted();
      const auto status = statusOf(ip);
      return status.is_object() && mayVote(status, ip) && status["revision"] >= newest;
    })) << what;
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
    std::cout << "   after " << took.count() << " s, at change " << before << "\n";
  }
};

TEST_F(ConfigStormTest, AllControlNodesVoteAndAcceptTheFirstChange) {
  ASSERT_TRUE(becomesTrue([&] {
    const auto status = statusOf(fleet_.control[0]);
    return status.is_object() && status["voters"].size() == 3 && status["votes"] == true;
  })) << "all of the control nodes vote";
  fleet_.writer.start();
  ASSERT_TRUE(becomesTrue([&] { return fleet_.writer.accepted() > 0; }))
      << "the first change is taken";
}

TEST_F(ConfigStormTest, NodeThatWasDownCatchesUp) {
  fleet_.nodes.stop(fleet_.restarted, SIGKILL);
  fleet_.staysDown();
  fleet_.startAgain();
  catchesUp("one that was down catches up while changes go on", fleet_.restarted);
}

TEST_F(ConfigStormTest, NodeThatLostItsDiskCatchesUp) {
  fleet_.nodes.stop(fleet_.restarted, SIGKILL);
  fleet_.nodes.wipe(fleet_.restarted);
  fleet_.staysDown();
  fleet_.startAgain();
  catchesUp("one that lost its disk does", fleet_.restarted);
}

// A snapshot of an earlier state is put back: it is read over, not voted with.
TEST_F(ConfigStormTest, NodeRestoredFromASnapshotCatchesUp) {
  ASSERT_EQ(fleet_.stateCommand("save"), 0) << "a snapshot is saved while changes go on";
  ASSERT_EQ(fleet_.stateCommand("restore --force"), 75) << "not put back below a running process";
  fleet_.nodes.stop(fleet_.restarted, SIGKILL);
  ASSERT_EQ(fleet_.stateCommand("restore"), 73) << "not put back over state that is there";
  fleet_.staysDown();
  ASSERT_EQ(fleet_.stateCommand("restore --force"), 0) << "put back";
  fleet_.startAgain();
  catchesUp("one that was put back from a snapshot does", fleet_.restarted);
}

TEST_F(ConfigStormTest, NewNodeCatchesUp) {
  fleet_.nodes.start(fleet_.added, NodeProcesses::Kind::core, false);
  catchesUp("a new one does", fleet_.added);
}

TEST_F(ConfigStormTest, NodeKilledAgainAndAgainCatchesUp) {
  for (int i = 0; i < kRestarts; ++i) {
    fleet_.nodes.stop(fleet_.restarted, SIGKILL);
    if (i % 2 == 1) fleet_.nodes.wipe(fleet_.restarted);
    fleet_.startAgain();
    std::this_thread::sleep_for(std::chrono::milliseconds(150 * i));
  }
  catchesUp("one that is killed again and again does", fleet_.restarted);
}

TEST_F(ConfigStormTest, ConfigurationTooLargeForTheDisksIsRejectedAndChangesGoOn) {
  fleet_.writer.stop();
  const int base = fleet_.writer.accepted();
  ASSERT_TRUE(becomesTrue([&] {
    return call(at(fleet_.control[1], kControl), "POST", "/v1/Configuration.Replace",
                {{"Base-Revision", std::to_string(base)}},
                largeConfiguration(base + 1, kRoutesTooLarge))
               .status == 400;
  })) << "what the disks can't take is refused";
  fleet_.writer.start();
  const int seen = fleet_.writer.accepted();
  ASSERT_TRUE(becomesTrue([&] { return fleet_.writer.accepted() > seen + 3; }))
      << "the changes go on";
  fleet_.writer.stop();
  std::cout << "   changes accepted: " << fleet_.writer.accepted() << "\n";
  ASSERT_EQ(fleet_.writer.rejected(), 0) << "no change was refused that built on the newest";
}

TEST_F(ConfigStormTest, AllNodesKnowTheLastChangeInAFileOfBoundedSize) {
  for (const auto& ip : {fleet_.control[0], fleet_.control[1], fleet_.control[2], fleet_.added}) {
    ASSERT_TRUE(becomesTrue([&] {
      const auto status = statusOf(ip);
      return status.is_object() && status["revision"] >= fleet_.writer.accepted();
    })) << "all know the last change";
    struct stat info {};
    ASSERT_EQ(::stat((fleet_.nodes.dataOf(ip) + "/register/data.mdb").c_str(), &info), 0)
        << "the file stays bounded";
    ASSERT_LE(static_cast<double>(info.st_size), kMaximumFileMb * (1U << 20U))
        << "the file stays bounded";
    std::cout << "   " << ip << ": file " << static_cast<double>(info.st_size) / (1U << 20U)
              << " MB, memory at most " << peakMemoryMb(fleet_.nodes.pidOf(ip)) << " MB\n";
  }
}

}  // namespace
}  // namespace merlingauge::test
