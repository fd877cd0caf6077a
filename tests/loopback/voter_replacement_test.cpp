// voter_replacement_test.cpp: the real program as five control nodes of which two may be lost at
// once: one is replaced after its loss and one after a planned shutdown, two more stop at once each
// time, and configuration changes go on being accepted.
#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <thread>
#include <vector>

#include "loopback/node_processes.hpp"
#include "loopback/polling.hpp"
#include "loopback/program_arguments.hpp"
#include "loopback/shared_fleet_test.hpp"

namespace merlingauge::test {
namespace {

using Clock = std::chrono::steady_clock;

double secondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

std::string controlNode(int number) { return "127.95.0." + std::to_string(number); }

std::vector<std::string> controlNodes(const std::vector<int>& numbers) {
  std::vector<std::string> out;
  for (const int number : numbers) out.push_back(controlNode(number));
  return out;
}

json statusOf(const std::string& ip) {
  return json::parse(call(at(ip, kControl), "GET", "/v1/Status").body, nullptr, false);
}

bool votersAre(const std::string& ip, const std::vector<std::string>& voters) {
  const auto status = statusOf(ip);
  return status.is_object() && status["voters"] == json(voters) && status["voters_before"].empty();
}

// Five control nodes that tolerate the loss of two; tests start the sixth and the seventh.
class Fleet {
 public:
  Fleet() : nodes(programPath(), "127.95") {
    nodes.adjust = [](json& settings) {
      settings["policy_terms"]["fault_tolerance"] = {{"machines", 2}};
    };
    for (int number = 1; number <= 5; ++number) {
      nodes.start(controlNode(number), NodeProcesses::Kind::core, true);
    }
  }

  // Whether the next configuration is accepted; an operator sends the same again until it is.
  bool changeConfiguration(const std::string& ip) {
    const auto base = std::to_string(revision_);
    const auto body = config(revision_ + 1, "/v" + base + "/");
    const auto reply = call(at(ip, kControl), "POST", "/v1/Configuration.Replace",
                            {{"Base-Revision", base}}, body);
    if (reply.status == 200) ++revision_;
    return reply.status == 200;
  }

  void suspendThirdAndFourth(bool on) {
    nodes.pause(controlNode(3), on);
    nodes.pause(controlNode(4), on);
  }

  NodeProcesses nodes;

 private:
  int revision_ = 0;
};

using VoterReplacementTest = SharedFleetTest<Fleet>;

TEST_F(VoterReplacementTest, FiveControlNodesBecomeVoters) {
  ASSERT_TRUE(becomesTrue([&] { return fleet_.changeConfiguration(controlNode(2)); }))
      << "five control nodes take the first change";
  ASSERT_TRUE(becomesTrue([&] {
    return votersAre(controlNode(2), controlNodes({1, 2, 3, 4, 5}));
  })) << "all five vote";
}

// The first of the voters is lost: it is the one that holds the lease for replacing voters.
TEST_F(VoterReplacementTest, SuccessorOfALostVoterLetsTwoMoreBeLost) {
  fleet_.nodes.stop(controlNode(1), SIGKILL);
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  fleet_.nodes.start(controlNode(6), NodeProcesses::Kind::core, false);
  const auto started = Clock::now();
  ASSERT_TRUE(becomesTrue([&] {
    return votersAre(controlNode(2), controlNodes({2, 3, 4, 5, 6})) &&
           statusOf(controlNode(6))["votes"] == true;
  })) << "the successor votes in place of the one that is lost";
  std::cout << "it took " << secondsSince(started) << " s from the successor's start\n";
  ASSERT_LT(secondsSince(started), 8)
      << "and that well before the lost one has been unresponsive for ten seconds";
  std::this_thread::sleep_until(started + std::chrono::milliseconds(4500));
  fleet_.suspendThirdAndFourth(true);
  ASSERT_TRUE(becomesTrue([&] { return fleet_.changeConfiguration(controlNode(5)); }))
      << "with two more frozen a change is taken";
  fleet_.suspendThirdAndFourth(false);
}

// A sixth is a spare: the voters stay odd.
TEST_F(VoterReplacementTest, SixthControlNodeIsASpareAndNoVoter) {
  fleet_.nodes.start(controlNode(7), NodeProcesses::Kind::core, false);
  ASSERT_TRUE(becomesTrue([&] {
    const auto status = statusOf(controlNode(2));
    int heard = 0;
    bool awake = false;
    for (const auto& node : status["nodes"]) {
      heard += node["heard"] == true ? 1 : 0;
      awake = awake || (node["node"] == controlNode(7) && node["awake"] == true);
    }
    return heard == 6 && awake && status["margin"] == 2;
  })) << "all are in touch again, with a spare";
  ASSERT_TRUE(votersAre(controlNode(2), controlNodes({2, 3, 4, 5, 6}))) << "which is no voter yet";
}

TEST_F(VoterReplacementTest, SpareVotesBeforeAPlannedShutdownEnds) {
  const auto asked = Clock::now();
  const int end = fleet_.nodes.stop(controlNode(2), SIGTERM);
  std::cout << "the planned shutdown took " << secondsSince(asked) << " s\n";
  ASSERT_TRUE(WIFEXITED(end) && WEXITSTATUS(end) == 0) << "the one that leaves ends in order";
  ASSERT_TRUE(votersAre(controlNode(5), controlNodes({3, 4, 5, 6, 7})))
      << "and the spare votes in its place before it has ended";
  fleet_.suspendThirdAndFourth(true);
  ASSERT_TRUE(becomesTrue([&] { return fleet_.changeConfiguration(controlNode(6)); }))
      << "with two more frozen a change is taken";
  fleet_.suspendThirdAndFourth(false);
}

}  // namespace
}  // namespace merlingauge::test
