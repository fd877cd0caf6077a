// mesh_test.cpp: the real program as a mesh of three control nodes, sidecars and stand-in servers.
#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "loopback/node_processes.hpp"
#include "loopback/polling.hpp"
#include "loopback/program_arguments.hpp"
#include "loopback/shared_fleet_test.hpp"
#include "loopback/stand_in_server.hpp"

namespace merlingauge::test {
namespace {

// Three control nodes and three sidecars: `front` beside the callers, `back` and `other` beside
// servers of the service echo.
class Fleet {
 public:
  Fleet() : nodes(programPath(), hosts) {
    for (const auto& ip : control) nodes.start(ip, NodeProcesses::Kind::core, true);
    for (const auto& ip : {front, back, other}) nodes.start(ip, NodeProcesses::Kind::sidecar, true);
  }

  static int replaceConfiguration(const std::string& ip, int base, const std::string& body) {
    return call(at(ip, kControl), "POST", "/v1/Configuration.Replace",
                {{"Base-Revision", std::to_string(base)}}, body)
        .status;
  }

  [[nodiscard]] int post(const std::string& path, const std::string& id) const {
    return call(at(front, kEgress), "POST", path, {{"Host", "echo.example"}, {"Attempt-Id", id}},
                "x")
        .status;
  }

  [[nodiscard]] int postWithin(const std::string& path, const std::string& id,
                               const std::string& deadlineMs) const {
    return call(at(front, kEgress), "POST", path,
                {{"Host", "echo.example"}, {"Attempt-Id", id}, {"Deadline-Ms", deadlineMs}}, "x")
        .status;
  }

  static int readiness(const std::string& ip) {
    return call(at(ip, kReady), "GET", "/v1/readiness").status;
  }

  const std::string hosts = hostsOfThisProcess();
  const std::vector<std::string> control = {hosts + ".0.1", hosts + ".0.2", hosts + ".0.3"};
  const std::string front = hosts + ".0.11";
  const std::string back = hosts + ".0.12";
  const std::string other = hosts + ".0.13";
  NodeProcesses nodes;
  std::unique_ptr<StandInServer> server;  // beside `back`; none until a test starts it
};

class MeshTest : public SharedFleetTest<Fleet> {
 protected:
  // The headers of a caller that also sends those that only nodes may set.
  static std::map<std::string, std::string> forgedHeaders() {
    return {{"Host", "echo.example"},        {"Attempt-Id", "t1"}, {"Caller-Service", "forged"},
            {"Expected-Instance", "forged"}, {"Hut-Refused", "x"}, {"Deadline-Ms", "2000"}};
  }
};

TEST_F(MeshTest, SidecarWithoutConfigurationIsNotReady) {
  ASSERT_TRUE(becomesTrue([&] { return Fleet::readiness(fleet_.front) == 503; }))
      << "a node without a configuration is not ready";
}

TEST_F(MeshTest, FirstConfigurationIsAcceptedOnceAndSaysSoAgain) {
  ASSERT_TRUE(becomesTrue([&] {
    return Fleet::replaceConfiguration(fleet_.control[1], 0, config(3, "/a/")) == 200;
  })) << "the first configuration is taken";
  ASSERT_EQ(Fleet::replaceConfiguration(fleet_.control[2], 0, config(3, "/a/")), 200)
      << "the same again through another node is 200";
}

TEST_F(MeshTest, ConflictingAndMalformedConfigurationsAreRejected) {
  EXPECT_EQ(Fleet::replaceConfiguration(fleet_.control[0], 0, config(4, "/b/")), 412)
      << "another on the same version is 412";
  EXPECT_EQ(Fleet::replaceConfiguration(fleet_.control[0], 3, config(2, "/b/")), 400)
      << "a revision that doesn't rise is 400";
  EXPECT_EQ(Fleet::replaceConfiguration(fleet_.control[0], 3, "{\"revision\":"), 400)
      << "half a document is 400";
}

TEST_F(MeshTest, ControlPlaneRejectsUnknownAndMalformedCalls) {
  const auto address = at(fleet_.control[0], kControl);
  EXPECT_EQ(call(address, "GET", "/v1/Configuration.Replace").status, 405) << "wrong method is 405";
  EXPECT_EQ(call(address, "GET", "/v1/Nothing").status, 404) << "no such call is 404";
  EXPECT_EQ(call(address, "POST", "/v1/Instances.Heartbeat/x", {}, "{").status, 400)
      << "a bad heartbeat is 400";
}

// What another version of the program might say, and worse: rejected, and the node lives on.
TEST_F(MeshTest, ForeignPeerMessagesAreRejected) {
  const std::pair<const char*, const char*> foreign[] = {
      {"/news", "{\"x\":1}"},
      {"/news", "[1,2]"},
      {"/news", "{"},
      {"/news", R"({"from":"127.91.0.12","vector":{"127.91.0.12":[7,1]},"pages":[]})"},
      {"/news", R"({"f":"127.91.0.12","s":0,"w":"soon","d":0,"h":0})"},
      {"/news", R"({"f":"127.91.0.12","s":0,"w":0,"d":0,"h":0,"a":1,"v":{"y":"z"}})"},
      {"/register", R"({"kind":"prepare","ballot":7})"},
      {"/register", R"([])"},
      {"/register", R"({"k":1,"f":"x","b":[9,"x"],"l":{},"v":{"s":9,"e":0,"v":[],"h":7}})"},
      {"/register", R"({"k":1,"f":"x","b":[9,"x"],"l":{},"v":{"s":9,"e":0,"v":[],
                        "h":{"i":1,"f":-1,"s":1,"a":"BAAAAAAAAAAA"}}})"},
      {"/register", R"({"k":1,"f":"x","b":[9,"x"],"l":{},"v":{"s":9,"e":0,"v":[],
                        "h":{"i":1,"f":0,"s":1,"a":"BAAAAAAAAAAA"}}})"},
      {"/register", R"({"k":1,"f":"x","b":[9,"x"],"l":{},"v":{"s":9,"e":0,"v":[],
                        "h":{"i":1,"f":0,"s":1,"a":"*"}}})"},
      {"/pages", "{}"}};
  for (const auto& [path, text] : foreign) {
    const int status = call(at(fleet_.control[0], kInner), "POST", path, {}, text).status;
    EXPECT_TRUE(status >= 400 && status < 500) << "a foreign message is refused: " << text;
  }
  EXPECT_EQ(call(at(fleet_.control[0], kControl), "GET", "/v1/Status").status, 200)
      << "the node is still there";
}

TEST_F(MeshTest, SidecarsBecomeReady) {
  ASSERT_TRUE(becomesTrue([&] {
    return Fleet::readiness(fleet_.front) == 200 && Fleet::readiness(fleet_.back) == 200;
  })) << "the sidecars are ready";
}

TEST_F(MeshTest, RequestWithoutServerOrRouteIsRejected) {
  const auto none = call(at(fleet_.front, kEgress), "POST", "/a/1", forgedHeaders(), "x");
  EXPECT_TRUE(none.status == 503 && none.headers.contains("Retry-After"))
      << "without a server: 503 and when to come back";
  EXPECT_EQ(call(at(fleet_.front, kEgress), "GET", "/z/1", {{"Host", "echo.example"}}).status, 404)
      << "no route is 404";
}

TEST_F(MeshTest, RequestReachesServerWithItsOwnCallerPathAndBody) {
  fleet_.server = std::make_unique<StandInServer>(fleet_.back, "i-1");
  ASSERT_EQ(fleet_.server->sendHeartbeat("available"), 200) << "the heartbeat is acknowledged";
  Reply reply;
  ASSERT_TRUE(becomesTrue([&] {
    reply = call(at(fleet_.front, kEgress), "POST", "/a/1?q=2", forgedHeaders(),
                 std::string(200000, 'x'));
    return reply.status == 200;
  })) << "a request reaches the server";
  const auto body = json::parse(reply.body);
  EXPECT_TRUE(body["caller"] == "front" && body["path"] == "/a/1?q=2" && body["body"] == 200000 &&
              body["hut"] == false)
      << "with its own caller, path and body, and nothing of ours";
  EXPECT_EQ(reply.headers["Response-Seal"], "sealed") << "the seal comes back";
  for (const auto& [id, runs] : fleet_.server->runs()) EXPECT_EQ(runs, 1) << "it ran once: " << id;
}

TEST_F(MeshTest, AnswerOfTheOnlyNodeIsAwaitedWhileItIsSuspended) {
  int status = 0;
  fleet_.nodes.pause(fleet_.back, true);
  std::thread waiting([&] { status = fleet_.postWithin("/safe/1", "w1", "2000"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  fleet_.nodes.pause(fleet_.back, false);
  waiting.join();
  ASSERT_EQ(status, 200)
      << "with nowhere else to go, the answer of an unresponsive node is waited for";
  ASSERT_EQ(fleet_.server->runs()["w1"], 1) << "and it ran once";
}

TEST_F(MeshTest, ResumedServerSidecarForwardsNothingForCallersThatLeft) {
  fleet_.nodes.pause(fleet_.back, true);
  ASSERT_EQ(fleet_.postWithin("/a/1", "w2", "300"), 504)
      << "what may have run is never promised not to have";
  fleet_.nodes.pause(fleet_.back, false);
  ASSERT_TRUE(becomesTrue([&] { return fleet_.postWithin("/a/1", "w3", "2000") == 200; }))
      << "the node takes requests again";
  ASSERT_FALSE(fleet_.server->runs().contains("w2"))
      << "a node that goes on passes nothing on for callers that left";
}

TEST_F(MeshTest, RequestIsNotRetriedAtServerThatClosesDuringExecution) {
  ASSERT_TRUE(fleet_.postWithin("/safe/drop", "w6", "2000") == 502 &&
              fleet_.server->runs()["w6"] == 1)
      << "a server that breaks off at work isn't sent the request again by its own node";
}

TEST_F(MeshTest, ResumedCallerSidecarForwardsNothingForCallersThatLeft) {
  fleet_.nodes.pause(fleet_.front, true);
  {
    net::StreamSocket socket{net::SocketAddress(at(fleet_.front, kEgress))};
    const std::string text =
        "POST /a/1 HTTP/1.1\r\nHost: echo.example\r\nAttempt-Id: w4\r\nContent-Length: 0\r\n\r\n";
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
  }
  fleet_.nodes.pause(fleet_.front, false);
  ASSERT_TRUE(becomesTrue([&] { return fleet_.postWithin("/a/1", "w5", "2000") == 200; }))
      << "the first node takes requests again";
  ASSERT_FALSE(fleet_.server->runs().contains("w4"))
      << "nor does the node that a caller gave up on pass anything on";
}

TEST_F(MeshTest, IdempotentRequestsAreServedElsewhereWhileANodeIsSuspended) {
  StandInServer second(fleet_.other, "i-2");
  second.sendHeartbeat("available");
  const auto get = [&](const std::string& id) {
    return call(at(fleet_.front, kEgress), "GET", "/safe/1",
                {{"Host", "echo.example"}, {"Attempt-Id", id}});
  };
  ASSERT_TRUE(becomesTrue([&] {
    fleet_.server->sendHeartbeat("available");
    second.sendHeartbeat("available");
    get("s0");
    return second.runs().contains("s0");
  })) << "a second server takes its part";
  fleet_.nodes.pause(fleet_.other, true);
  int served = 0;
  for (int i = 0; i < 10; ++i) served += get("f" + std::to_string(i)).status == 200 ? 1 : 0;
  ASSERT_EQ(served, 10) << "with its node frozen, repeatable requests are all served elsewhere";
  fleet_.nodes.pause(fleet_.other, false);
  second.sendHeartbeat("available");
  for (int i = 0; i < 10; ++i) {
    ASSERT_FALSE(second.runs().contains("f" + std::to_string(i)))
        << "what was served elsewhere isn't run once the frozen node goes on";
  }
  ASSERT_TRUE(becomesTrue([&] {
    return call(at(fleet_.other, kControl), "POST", "/v1/Instances.Deregister/i-2").status == 200;
  })) << "its leave is acknowledged";
}

TEST_F(MeshTest, RequestWithTwoLengthsIsRejectedAndClosed) {
  const auto smuggled =
      raw(at(fleet_.front, kEgress),
          "POST /a/1 HTTP/1.1\r\nHost: echo.example\r\nAttempt-Id: t2\r\nContent-Length: "
          "4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  ASSERT_TRUE(smuggled.rfind("HTTP/1.1 400", 0) == 0 &&
              smuggled.find("(open)") == std::string::npos)
      << "two lengths: 400 and closed";
  ASSERT_FALSE(fleet_.server->runs().contains("t2")) << "and nothing ran";
}

TEST_F(MeshTest, WipedControlNodeVotesAgainAndKeepsAcknowledgedConfiguration) {
  const auto& control = fleet_.control;
  ASSERT_NE(fleet_.nodes.stop(control[0], SIGKILL), 0)
      << "a control node is killed and its disk wiped";
  fleet_.nodes.wipe(control[0]);
  ASSERT_EQ(Fleet::replaceConfiguration(control[1], 3, config(5, "/c/")), 200)
      << "two of three still take a change";
  fleet_.nodes.start(control[0], NodeProcesses::Kind::core, false);
  ASSERT_TRUE(becomesTrue([&] {
    const auto status =
        json::parse(call(at(control[0], kControl), "GET", "/v1/Status").body, nullptr, false);
    return status.is_object() && status["votes"] == true && status["revision"] == 5;
  })) << "the wiped node votes again";
  fleet_.nodes.stop(control[1], SIGKILL);
  ASSERT_TRUE(becomesTrue([&] {
    const auto read = call(at(control[0], kControl), "GET", "/v1/Configuration.Describe");
    return read.status == 200 && json::parse(read.body)["revision"] == 5;
  })) << "and reads back what was acknowledged without it";
  ASSERT_TRUE(becomesTrue([&] { return fleet_.post("/c/1", "t3") == 200; }))
      << "the new route is in force at the sidecar";
}

// Requests go on to a server whose node is stopped: none is begun that the node can't end.
TEST_F(MeshTest, StoppedSidecarCutsNoRequestOff) {
  std::vector<std::thread> callers;
  std::atomic<int> cut{0};
  std::atomic<int> complete{0};
  std::thread stopping([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    fleet_.nodes.stop(fleet_.back, SIGTERM);
  });
  for (int i = 0; i < 22; ++i) {
    callers.emplace_back([&, i] {
      const int status = fleet_.post("/c/slow", "q" + std::to_string(i));
      complete += status == 200 ? 1 : 0;
      cut += status == 200 || status == 503 ? 0 : 1;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(350));
  }
  for (auto& caller : callers) caller.join();
  stopping.join();
  ASSERT_TRUE(complete > 0 && cut == 0) << "a node that is stopped cuts nothing off";
  fleet_.nodes.start(fleet_.back, NodeProcesses::Kind::sidecar, false);
  ASSERT_TRUE(becomesTrue([&] {
    fleet_.server->sendHeartbeat("available");
    return fleet_.post("/c/1", "t4") == 200;
  })) << "it is there again";
}

TEST_F(MeshTest, DrainingServerGetsNoRequest) {
  ASSERT_EQ(fleet_.server->sendHeartbeat("draining"), 200) << "the drain is acknowledged";
  ASSERT_TRUE(becomesTrue([&] {
    return call(at(fleet_.front, kEgress), "POST", "/c/1", {{"Host", "echo.example"}}, "x")
               .status == 503;
  })) << "a drained server gets nothing more";
}

TEST_F(MeshTest, TerminationSignalEndsNodeInOrder) {
  const int status = fleet_.nodes.stop(fleet_.front, SIGTERM);
  ASSERT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << "SIGTERM ends a node in order";
}

}  // namespace
}  // namespace merlingauge::test
