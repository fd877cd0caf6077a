// change_history_test.cpp: the real program: five control nodes, one configuration change after the
// other, and changes of long ago sent again through any of them.
// `change_history_test PROGRAM [CHANGES]`; it also prints what a change costs.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>
#include <vector>

#include "loopback/node_processes.hpp"
#include "loopback/polling.hpp"
#include "loopback/program_arguments.hpp"
#include "loopback/shared_fleet_test.hpp"

namespace merlingauge::test {
namespace {

constexpr int kChangesOfTheShortRun = 60;

// What the control nodes have spent since their start.
struct Cost {
  double bytes = 0;
  double syncs = 0;
  double ticks = 0;  // of processor time
};

// Some numbers are left out, as operators do.
int revision(int change) { return change * 3 + change % 2; }

std::string body(int change) {
  return config(revision(change), "/p" + std::to_string(change) + "/");
}

// Five control nodes that tolerate the loss of two.
class Fleet {
 public:
  Fleet() : nodes(programPath(), "127.97") {
    nodes.adjust = [](json& settings) {
      settings["policy_terms"]["fault_tolerance"] = {{"machines", 2}};
    };
    for (int i = 1; i <= 5; ++i) control.push_back("127.97.0." + std::to_string(i));
    for (const auto& ip : control) nodes.start(ip, NodeProcesses::Kind::core, true);
  }

  [[nodiscard]] Reply send(std::size_t node, int change, const std::string& text) const {
    return call(at(control[node % control.size()], kControl), "POST", "/v1/Configuration.Replace",
                {{"Base-Revision", std::to_string(change == 1 ? 0 : revision(change - 1))}}, text);
  }

  // Sent again while no quorum answers in time: how busy the machine is must not matter.
  [[nodiscard]] Reply sendUntilAnswered(std::size_t node, int change,
                                        const std::string& text) const {
    Reply reply;
    for (int attempt = 0; attempt < 200; ++attempt) {
      reply = send(node, change, text);
      const bool busy = reply.status == 503 && (reply.body.find("majority") != std::string::npos ||
                                                reply.body.find("voters") != std::string::npos);
      if (reply.status != 0 && !busy) break;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return reply;
  }

  [[nodiscard]] bool accepts(int change) const {
    return sendUntilAnswered(static_cast<std::size_t>(change), change, body(change)).status == 200;
  }

  [[nodiscard]] Cost cost() const {
    Cost sum;
    for (const auto& ip : control) {
      const auto status = json::parse(call(at(ip, kControl), "GET", "/v1/Status").body);
      const auto& counters = status["control"];
      sum.bytes += counters["asked_bytes"].get<double>() + counters["told_bytes"].get<double>();
      sum.syncs += counters["syncs"].get<double>();
      std::ifstream stat("/proc/" + std::to_string(nodes.pidOf(ip)) + "/stat");
      std::string field;
      for (int number = 1; stat >> field; ++number) {
        if (number == 14 || number == 15) sum.ticks += std::stod(field);
      }
    }
    return sum;
  }

  // The exit status of `config put`.
  [[nodiscard]] int configPut(int base, const std::string& text) const {
    const auto file =
        std::filesystem::temp_directory_path() / ("order-" + std::to_string(::getpid()));
    std::ofstream(file) << text;
    const auto line = programPath() + " config put " + file.string() +
                      " --node=" + at(control[1], kControl) + " --base=" + std::to_string(base) +
                      " >/dev/null 2>&1";
    const int status = std::system(line.c_str());
    std::filesystem::remove(file);
    return WEXITSTATUS(status);
  }

  const int changes = sizeArgument(1, kChangesOfTheShortRun);
  std::vector<std::string> control;
  NodeProcesses nodes;
};

using ChangeHistoryTest = SharedFleetTest<Fleet>;

TEST_F(ChangeHistoryTest, ChangesAreAcceptedOneAfterTheOther) {
  ASSERT_TRUE(becomesTrue([&] { return fleet_.send(0, 1, body(1)).status == 200; }))
      << "the first configuration is taken";
  const auto before = fleet_.cost();
  const auto began = std::chrono::steady_clock::now();
  bool all = true;
  for (int change = 2; change <= fleet_.changes; ++change) all = all && fleet_.accepts(change);
  ASSERT_TRUE(all) << "one change after the other is taken";
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  const auto after = fleet_.cost();
  const double count = fleet_.changes - 1;
  const double perTick = 1e3 / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::cout << "per change: " << (after.bytes - before.bytes) / count << " bytes, "
            << (after.syncs - before.syncs) / count << " syncs, "
            << (after.ticks - before.ticks) * perTick / count << " ms of processor time, "
            << seconds * 1e3 / count << " ms\n";
}

TEST_F(ChangeHistoryTest, OldChangeSentAgainIsAcknowledgedAndItsRivalRejected) {
  for (const int ago : {1, 8, 31, 40, 100, 250, 500, 510, 550}) {
    if (ago >= fleet_.changes) break;
    const int old = fleet_.changes - ago;
    const auto node = static_cast<std::size_t>(ago);
    const int wanted = ago < 512 ? 200 : 503;
    ASSERT_EQ(fleet_.sendUntilAnswered(node, old, body(old)).status, wanted)
        << "one taken " << ago << " changes ago, sent again: " << wanted;
    const auto rival =
        fleet_.sendUntilAnswered(node + 1, old, config(revision(old), "/rival/")).status;
    ASSERT_EQ(rival, wanted == 200 ? 412 : 503) << "another order with its base and number";
  }
}

TEST_F(ChangeHistoryTest, ChangeOnAVersionToComeIsToBeRetried) {
  const int later = fleet_.changes + 5;
  const auto early = fleet_.sendUntilAnswered(3, later, body(later));
  ASSERT_TRUE(early.status == 503 && early.headers.contains("Retry-After"))
      << "one on a version that isn't there yet is not refused";
}

TEST_F(ChangeHistoryTest, ConfigPutEndsWithTheStatusOfTheAnswer) {
  const int changes = fleet_.changes;
  ASSERT_TRUE(becomesTrue([&] {
    return fleet_.configPut(revision(changes - 2), body(changes - 1)) == 0;
  })) << "config put of an order that was taken ends with 0";
  ASSERT_TRUE(becomesTrue([&] {
    return fleet_.configPut(revision(changes - 2), body(changes)) == 69;
  })) << "of a rival with 69";
  ASSERT_EQ(fleet_.configPut(revision(changes), "{}"), 65) << "of what is no configuration with 65";
  ASSERT_EQ(fleet_.configPut(revision(changes) + 5, body(changes + 5)), 75)
      << "without a clear answer with 75";
}

TEST_F(ChangeHistoryTest, HistoryOutlivesTheKillOfAllAndTheLossOfTwoDisks) {
  for (const auto& ip : fleet_.control) fleet_.nodes.stop(ip, SIGKILL);
  fleet_.nodes.wipe(fleet_.control[0]);
  fleet_.nodes.wipe(fleet_.control[3]);
  for (const auto& ip : fleet_.control) {
    fleet_.nodes.start(ip, NodeProcesses::Kind::core, false);
  }
  const int oldest = std::max(1, fleet_.changes - 400);
  ASSERT_TRUE(becomesTrue([&] { return fleet_.send(0, oldest, body(oldest)).status == 200; }))
      << "after a kill of all and the loss of two disks the oldest is known again";
  ASSERT_TRUE(fleet_.accepts(fleet_.changes + 1)) << "and the next change is taken";
  ASSERT_EQ(fleet_.sendUntilAnswered(3, oldest, body(oldest)).status, 200)
      << "by a node that lost its disk too";
}

}  // namespace
}  // namespace merlingauge::test
