// gateway_test.cpp: the real program as a gateway: three control nodes, an edge, stand-in servers
// that it reaches directly, one of which answers each request twice.
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "loopback/duplicate_answer_server.hpp"
#include "loopback/node_processes.hpp"
#include "loopback/polling.hpp"
#include "loopback/program_arguments.hpp"
#include "loopback/shared_fleet_test.hpp"
#include "loopback/stand_in_server.hpp"

namespace merlingauge::test {
namespace {

// Three control nodes and an edge.
class Fleet {
 public:
  Fleet() : nodes(programPath(), "127.92") {
    for (const auto& ip : control) nodes.start(ip, NodeProcesses::Kind::core, true);
    nodes.start(edge, NodeProcesses::Kind::edge, true);
  }

  const std::vector<std::string> control = {"127.92.0.1", "127.92.0.2", "127.92.0.3"};
  const std::string edge = "127.92.0.11";
  NodeProcesses nodes;
  std::unique_ptr<StandInServer> server;                   // none until a test starts it
  std::unique_ptr<DuplicateAnswerServer> duplicateServer;  // none until a test starts it
};

using GatewayTest = SharedFleetTest<Fleet>;

std::string get(const std::string& path, const std::string& id, const std::string& more = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: echo.example\r\nAttempt-Id: " + id + "\r\n" + more +
         "\r\n";
}

TEST_F(GatewayTest, EdgeWithoutConfigurationIsNotReady) {
  ASSERT_TRUE(becomesTrue([&] {
    return call(at(fleet_.edge, kReady), "GET", "/v1/readiness").status == 503;
  })) << "an edge without a configuration is not ready";
}

TEST_F(GatewayTest, EdgeBecomesReadyWithTheFirstConfiguration) {
  ASSERT_TRUE(becomesTrue([&] {
    return call(at(fleet_.control[0], kControl), "POST", "/v1/Configuration.Replace",
                {{"Base-Revision", "0"}}, config(3, "/once/"))
               .status == 200;
  })) << "the first configuration is taken";
  ASSERT_TRUE(becomesTrue([&] {
    return call(at(fleet_.edge, kReady), "GET", "/v1/readiness").status == 200;
  })) << "the edge is ready";
}

TEST_F(GatewayTest, RequestReachesServerDirectlyWithoutACallerName) {
  fleet_.server = std::make_unique<StandInServer>("127.92.0.21", "i-1");
  ASSERT_TRUE(becomesTrue([&] {
    return fleet_.server->sendHeartbeat("available", at(fleet_.control[1], kControl)) == 200;
  })) << "a heartbeat to a control node is acknowledged";
  const std::map<std::string, std::string> headers = {
      {"Host", "echo.example"}, {"Attempt-Id", "a1"}, {"Caller-Service", "forged"}};
  Reply reply;
  ASSERT_TRUE(becomesTrue([&] {
    reply = call(at(fleet_.edge, kEgress), "POST", "/once/1?q=2", headers, "x");
    return reply.status == 200;
  })) << "a request reaches the server directly";
  const auto body = json::parse(reply.body);
  // NOLINTNEXTLINE(readability-container-size-empty): json's empty() doesn't ask about a text
  ASSERT_TRUE(body["caller"] == "" && body["path"] == "/once/1?q=2" && body["id"] == "a1")
      << "with its path and id, and no caller's name that it made up";
}

TEST_F(GatewayTest, PipelinedRequestsRunTogetherAndAreAnsweredInOrder) {
  const auto began = std::chrono::steady_clock::now();
  const auto piped = raw(at(fleet_.edge, kEgress),
                         get("/safe/slow1", "p1") + get("/safe/slow2", "p2") +
                             get("/safe/3", "p3", "Connection: close\r\n") + get("/safe/4", "p4"));
  const auto took = std::chrono::steady_clock::now() - began;
  const auto first = piped.find("\"id\":\"p1\"");
  const auto second = piped.find("\"id\":\"p2\"");
  const auto third = piped.find("\"id\":\"p3\"");
  ASSERT_TRUE(first < second && second < third && third != std::string::npos)
      << "pipelined answers come in the order of their requests";
  ASSERT_TRUE(took < std::chrono::milliseconds(1150)) << "and their requests ran at the same time";
  ASSERT_TRUE(piped.find("p4") == std::string::npos && !fleet_.server->runs().contains("p4"))
      << "what stands behind a closing answer is not passed on";
}

TEST_F(GatewayTest, NonIdempotentRequestBehindAClosingAnswerIsNotForwarded) {
  raw(at(fleet_.edge, kEgress),
      get("/safe/slow3", "p5", "Connection: close\r\n") +
          "POST /once/2 HTTP/1.1\r\nHost: echo.example\r\nAttempt-Id: p6\r\nContent-Length: "
          "0\r\n\r\n");
  ASSERT_FALSE(fleet_.server->runs().contains("p6")) << "nor anything that must not run twice";
}

TEST_F(GatewayTest, AcknowledgedDrainOutlivesTheControlNodeThatHeardIt) {
  const auto request = [&] {
    return call(at(fleet_.edge, kEgress), "GET", "/safe/5", {{"Host", "echo.example"}}).status;
  };
  ASSERT_EQ(fleet_.server->sendHeartbeat("draining", at(fleet_.control[1], kControl)), 200)
      << "a leaving is acknowledged";
  fleet_.nodes.stop(fleet_.control[1], SIGKILL);
  fleet_.nodes.start(fleet_.control[1], NodeProcesses::Kind::core, false);
  ASSERT_TRUE(becomesTrue([&] { return request() == 503; }))
      << "with the control node that heard it lost at once, the edge sends nothing more";
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const auto before = fleet_.server->runs().size();
  for (int i = 0; i < 5; ++i) request();
  ASSERT_EQ(fleet_.server->runs().size(), before) << "and goes on sending nothing";
}

TEST_F(GatewayTest, AnswersOfAServerThatAnswersTwiceAreNeverMixedUp) {
  fleet_.duplicateServer = std::make_unique<DuplicateAnswerServer>("127.92.0.22");
  const json heartbeat = {
      {"address", at("127.92.0.22", kApp)},
      {"node_info", {{"target_service", "echo"}, {"zone", "z"}, {"capacity", 2}}},
      {"status_detail", {{"status", "available"}, {"sequence", 1}}}};
  ASSERT_TRUE(becomesTrue([&] {
    return call(at(fleet_.control[2], kControl), "POST", "/v1/Instances.Heartbeat/i-2", {},
                heartbeat.dump())
                   .status == 200 &&
           call(at(fleet_.edge, kEgress), "GET", "/safe/0",
                {{"Host", "echo.example"}, {"Attempt-Id", "x"}})
                   .status == 200;
  })) << "the server that answers twice is known";
  int served = 0;
  for (int i = 0; i < 30; ++i) {
    const auto id = "g" + std::to_string(i);
    const bool idempotent = i % 2 == 0;
    const auto reply = call(at(fleet_.edge, kEgress), idempotent ? "GET" : "POST",
                            idempotent ? "/safe/1" : "/once/1",
                            {{"Host", "echo.example"}, {"Attempt-Id", id}}, idempotent ? "" : "x");
    if (reply.status != 200) continue;
    ASSERT_EQ(reply.body, id) << "a server that answers twice: every answer is its own request's";
    ++served;
  }
  ASSERT_GT(served, 0) << "and some are served";
  for (const auto& [id, runs] : fleet_.duplicateServer->runs()) {
    ASSERT_TRUE(runs == 1 || id[0] != 'g' || (id.back() - '0') % 2 == 0)
        << "and none runs twice: " << id;
  }
}

TEST_F(GatewayTest, TerminationSignalEndsEdgeInOrder) {
  const int status = fleet_.nodes.stop(fleet_.edge, SIGTERM);
  ASSERT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << "SIGTERM ends an edge in order";
}

}  // namespace
}  // namespace merlingauge::test
