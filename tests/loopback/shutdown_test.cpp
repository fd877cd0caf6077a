// shutdown_test.cpp: the real program when processes end at work: SIGTERM in the middle of an
// answer, with pipelined requests behind it, at each kind of node that carries traffic; a server
// that drains in the middle of one; nodes suspended for longer than every limit, with requests in
// their sockets; hostile sizes. Judged by what servers saw and callers got.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

#include "loopback/node_processes.hpp"
#include "loopback/polling.hpp"
#include "loopback/program_arguments.hpp"
#include "loopback/shared_fleet_test.hpp"
#include "loopback/split_answer_server.hpp"

namespace merlingauge::test {
namespace {

std::string requestText(const std::string& path, const std::string& id, int deadlineMs = 5500) {
  return "POST " + path + " HTTP/1.1\r\nHost: echo.example\r\nAttempt-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\nContent-Length: 0\r\n\r\n";
}

// Three control nodes, a sidecar beside the callers, an edge, three sidecars with a server each.
class Fleet {
 public:
  Fleet() : nodes(programPath(), "127.96") {
    for (const auto& ip : control) nodes.start(ip, NodeProcesses::Kind::core, true);
    nodes.start(front, NodeProcesses::Kind::sidecar, true);
    for (const auto& ip : backs) nodes.start(ip, NodeProcesses::Kind::sidecar, true);
    nodes.start(edge, NodeProcesses::Kind::edge, true);
    for (auto& rule : routes["route_rules"]) rule["timeout_s"] = 5.5;
  }

  [[nodiscard]] int runs(const std::string& id) const {
    int sum = 0;
    for (const auto& server : servers) sum += server->runs(id);
    return sum;
  }

  static bool serves(const std::string& address) {
    return raw(address, requestText("/safe/0", "w"), "w ends").find("w ends") != std::string::npos;
  }

  const std::vector<std::string> control = {"127.96.0.1", "127.96.0.2", "127.96.0.3"};
  const std::string front = "127.96.0.11";
  const std::string edge = "127.96.0.21";
  const std::vector<std::string> backs = {"127.96.0.12", "127.96.0.13", "127.96.0.14"};
  json routes = json::parse(config(3, "/once/"));
  NodeProcesses nodes;
  std::vector<std::unique_ptr<SplitAnswerServer>> servers;  // none until a test starts them
};

// Requests that one caller sends on one connection without waiting for answers.
struct Pipeline {
  std::vector<std::string> ids;
  std::vector<std::string> kinds;  // first segments of the paths: safe (idempotent) or once
  std::string wire;
  bool big = false;
  std::string received;
};

// Small and big answers, and idempotent and other requests before and behind each other.
std::vector<Pipeline> pipelinesOfEveryKind(const std::string& name) {
  std::vector<Pipeline> pipelines;
  for (const bool big : {false, true}) {
    for (const std::string first : {"safe", "once"}) {
      for (const std::string second : {"safe", "once"}) {
        Pipeline pipeline;
        pipeline.big = big;
        const std::string tail = big ? "/1000/big" : "/1000/small";
        const auto id = name + std::to_string(pipelines.size());
        for (const auto& [kind, suffix] :
             {std::pair(first, "a"), std::pair(second, "b"), std::pair(first, "c")}) {
          pipeline.ids.push_back(id + suffix);
          pipeline.kinds.push_back(kind);
          std::string path = "/";
          path.append(kind).append(tail);
          pipeline.wire += requestText(path, id + suffix);
        }
        pipelines.push_back(pipeline);
      }
    }
  }
  return pipelines;
}

class ShutdownTest : public SharedFleetTest<Fleet> {
 protected:
  // Requests of every kind are in flight at `address`, pipelined behind each other, while `then`
  // happens; whatever a server has seen must come back complete, and nothing that is promised not
  // to run may have run.
  void completesWhatServersBegan(const std::string& name, const std::string& address,
                                 const std::function<void()>& then) {
    auto pipelines = pipelinesOfEveryKind(name);
    std::vector<std::thread> callers;
    for (auto& pipeline : pipelines) {
      callers.emplace_back(
          [&] { pipeline.received = raw(address, pipeline.wire, pipeline.ids.back() + " ends"); });
    }
    const bool begun = becomesTrue([&] {
      return std::all_of(pipelines.begin(), pipelines.end(),
                         [&](const auto& pipeline) { return fleet_.runs(pipeline.ids[0]) > 0; });
    });
    if (begun) then();
    for (auto& caller : callers) caller.join();
    ASSERT_TRUE(begun) << name << ": the first of each are being answered";
    std::size_t complete = 0;
    for (const auto& pipeline : pipelines) {
      ASSERT_NO_FATAL_FAILURE(checkAnswers(name, pipeline, complete));
    }
    ASSERT_GE(complete, pipelines.size()) << name << ": all that servers began came back whole";
    std::cout << name << ": " << complete << " answers\n";
  }

  // Answers come complete, in order, and exactly for what has run; `complete` counts them.
  void checkAnswers(const std::string& name, const Pipeline& pipeline, std::size_t& complete) {
    std::size_t from = 0;
    for (std::size_t i = 0; i < pipeline.ids.size(); ++i) {
      const auto& id = pipeline.ids[i];
      const int ran = fleet_.runs(id);
      const auto position = pipeline.received.find(SplitAnswerServer::body(id, pipeline.big), from);
      const bool served = position != std::string::npos;
      if (served) from = position;
      complete += served ? 1 : 0;
      ASSERT_FALSE((pipeline.kinds[i] == "once" && ran > 1) || (ran > 0) != served)
          << name << ": " << id << " ran " << ran << " times, "
          << (served ? "whole" : "not whole, got: " + pipeline.received.substr(0, 300));
    }
  }

  // The node at `ip` is suspended for longer than every limit and resumed with whatever lies in its
  // sockets.
  void keepsPromisesWhenSuspended(const std::string& name, const std::string& ip,
                                  const std::string& address) {
    std::vector<std::string> received(24);
    fleet_.nodes.pause(ip, true);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < received.size(); ++i) {
      const auto id = name + "-" + std::to_string(i);
      const std::string path = i % 2 == 0 ? "/once/0" : "/safe/0";
      callers.emplace_back([&, i, id, path] {
        received[i] = raw(address, requestText(path, id, 2000), id + " ends");
      });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(3200));
    fleet_.nodes.pause(ip, false);
    for (auto& caller : callers) caller.join();
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    std::size_t complete = 0;
    for (std::size_t i = 0; i < received.size(); ++i) {
      const auto id = name + "-" + std::to_string(i);
      const auto status = received[i].substr(0, 12);
      const bool promised =
          status == "HTTP/1.1 503" || status == "HTTP/1.1 429" || status == "HTTP/1.1 408";
      const int ran = fleet_.runs(id);
      const bool done = received[i].find(SplitAnswerServer::body(id, false)) != std::string::npos;
      complete += done ? 1 : 0;
      ASSERT_TRUE((i % 2 != 0 || ran <= 1) && !(promised && ran > 0) && (!done || ran > 0))
          << name << ": " << id << " ran " << ran << " times, got " << received[i].substr(0, 200);
    }
    std::cout << name << " suspended and resumed: " << complete << " served\n";
  }

  void isRejected(int port, const std::string& path, const std::string& text) {
    const int status =
        call(at(fleet_.control[0], port), "POST", path, {{"Base-Revision", "3"}}, text).status;
    ASSERT_TRUE(status >= 400 && status < 500) << path.substr(0, 26) << ": refused";
  }
};

TEST_F(ShutdownTest, ServersAreReachedThroughEgressAndEdge) {
  ASSERT_TRUE(becomesTrue([&] {
    return call(at(fleet_.control[0], kControl), "POST", "/v1/Configuration.Replace",
                {{"Base-Revision", "0"}}, fleet_.routes.dump())
               .status == 200;
  })) << "the configuration is taken";
  for (const auto& ip : fleet_.backs) {
    fleet_.servers.push_back(std::make_unique<SplitAnswerServer>(ip, "i-" + ip, at(ip, kControl)));
  }
  ASSERT_TRUE(becomesTrue([&] {
    return Fleet::serves(at(fleet_.front, kEgress)) && Fleet::serves(at(fleet_.edge, kEgress));
  })) << "servers are reached through egress and edge";
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));  // all of them are known by then
}

TEST_F(ShutdownTest, StoppedEgressCompletesWhatServersBegan) {
  completesWhatServersBegan("egress", at(fleet_.front, kEgress), [&] {
    const int status = fleet_.nodes.stop(fleet_.front, SIGTERM);
    ASSERT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << "it ends in order";
  });
}

TEST_F(ShutdownTest, StoppedEdgeCompletesWhatServersBegan) {
  fleet_.nodes.start(fleet_.front, NodeProcesses::Kind::sidecar, false);
  completesWhatServersBegan("edge", at(fleet_.edge, kEgress), [&] {
    const int status = fleet_.nodes.stop(fleet_.edge, SIGTERM);
    ASSERT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << "it ends in order";
  });
}

TEST_F(ShutdownTest, StoppedIngressCompletesWhatServersBegan) {
  ASSERT_TRUE(becomesTrue([&] { return Fleet::serves(at(fleet_.front, kEgress)); }))
      << "the egress is back";
  completesWhatServersBegan("ingress", at(fleet_.front, kEgress),
                            [&] { fleet_.nodes.stop(fleet_.backs[0], SIGTERM); });
}

TEST_F(ShutdownTest, DrainingServerCompletesWhatItBegan) {
  fleet_.nodes.start(fleet_.backs[0], NodeProcesses::Kind::sidecar, false);
  completesWhatServersBegan("drain", at(fleet_.front, kEgress), [&] {
    fleet_.servers[1]->draining = true;
    ASSERT_EQ(fleet_.servers[1]->sendHeartbeat(), 200) << "the drain is acknowledged";
  });
}

TEST_F(ShutdownTest, ResumedEgressBreaksNoPromise) {
  keepsPromisesWhenSuspended("egress", fleet_.front, at(fleet_.front, kEgress));
}

TEST_F(ShutdownTest, ResumedIngressBreaksNoPromise) {
  keepsPromisesWhenSuspended("ingress", fleet_.backs[2], at(fleet_.front, kEgress));
}

// Reads at some 1 MB/s: the kernels hold a few MB of the answer, the egress the rest.
std::string readSlowly(net::StreamSocket& socket, const std::string& until) {
  std::string received;
  std::array<char, 16384> chunk{};
  try {
    while (received.find(until, received.size() > 200000 ? received.size() - 200000 : 0) ==
           std::string::npos) {
      std::this_thread::sleep_for(std::chrono::milliseconds(16));
      const int size = socket.receiveBytes(chunk.data(), chunk.size());
      if (size <= 0) break;
      received.append(chunk.data(), static_cast<std::size_t>(size));
    }
  } catch (const Poco::Exception&) {
    // What has come until then counts.
  }
  return received;
}

// The last of the answer still lies in the egress when it has ended there.
TEST_F(ShutdownTest, StoppedEgressDeliversToASlowReader) {
  ASSERT_TRUE(becomesTrue([&] { return Fleet::serves(at(fleet_.front, kEgress)); }));
  const auto text = requestText("/once/0/huge", "slow");
  net::StreamSocket socket;
  socket.init(AF_INET);
  socket.setReceiveBufferSize(65536);
  socket.connect(net::SocketAddress(at(fleet_.front, kEgress)));
  socket.sendBytes(text.data(), static_cast<int>(text.size()));
  std::thread stopper([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    EXPECT_EQ(fleet_.nodes.stop(fleet_.front, SIGTERM), 0);
  });
  const auto received = readSlowly(socket, "slow ends");
  stopper.join();
  EXPECT_NE(received.find("slow ends"), std::string::npos) << received.size() << " bytes came";
  fleet_.nodes.start(fleet_.front, NodeProcesses::Kind::sidecar, false);
  ASSERT_TRUE(becomesTrue([&] {
    return call(at(fleet_.front, kReady), "GET", "/v1/readiness").status == 200;
  })) << "the egress is back";
}

TEST_F(ShutdownTest, TerminationSignalEndsEgressInOrder) {
  ASSERT_EQ(fleet_.nodes.stop(fleet_.front, SIGTERM), 0) << "the egress ends in order";
}

// Documents that nest a million deep, a server whose name is no text.
TEST_F(ShutdownTest, ControlNodesRejectDeepDocumentsAndLiveOn) {
  const std::string deep = std::string(1000000, '[') + std::string(1000000, ']');
  const auto rule = fleet_.routes["route_rules"][0].dump();
  const auto deepRule = rule.substr(0, rule.size() - 1) + ",\"x\":" + deep + "}";
  struct Call {
    int port;
    std::string path;
    std::string text;
  };
  const Call calls[] = {
      {kInner, "/news", R"({"f":"x","s":0,"w":0,"d":0,"h":0,"i":)" + deep + "}"},
      {kInner, "/register", R"({"k":0,"v":)" + deep + "}"},
      {kControl, "/v1/Configuration.Update",
       R"({"revision":4,"upserts":{"route_rules":[)" + deepRule + "]}}"},
      {kControl, "/v1/Configuration.Replace",
       R"({"revision":4,"services":[{"name":"echo"}],"route_rules":[)" + deepRule + "]}"},
      {kControl, "/v1/Instances.Heartbeat/a\xff",
       R"({"address":"127.96.0.99:1","node_info":{"target_service":"echo","capacity":1},)"
       R"("status_detail":{"status":"available","sequence":1}})"}};
  for (const auto& [port, path, text] : calls) {
    ASSERT_NO_FATAL_FAILURE(isRejected(port, path, text));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  for (const auto& ip : fleet_.control) {
    ASSERT_EQ(fleet_.nodes.stop(ip, SIGTERM), 0) << "a control node has lived through them all";
  }
}

}  // namespace
}  // namespace merlingauge::test
