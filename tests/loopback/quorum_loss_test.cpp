// quorum_loss_test.cpp: the real program without a quorum of its control nodes, and a control node
// that was suspended for longer than its quorum lease lasts.
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <thread>

#include "loopback/node_processes.hpp"
#include "loopback/polling.hpp"
#include "loopback/program_arguments.hpp"
#include "loopback/shared_fleet_test.hpp"
#include "loopback/stand_in_server.hpp"

namespace merlingauge::test {
namespace {

// A connection that a node has taken and answered on: what is sent later lies there to be read.
class EstablishedConnection {
 public:
  explicit EstablishedConnection(const std::string& address)
      : socket_(net::SocketAddress(address)) {
    socket_.setReceiveTimeout(Poco::Timespan(20, 0));
  }
  void send(const std::string& method, const std::string& path) {
    const auto text = method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    socket_.sendBytes(text.data(), static_cast<int>(text.size()));
  }
  // The status of the next answer, which fits into one read.
  int receiveStatus() {
    std::string head;
    char chunk[4096];
    while (head.find("\r\n\r\n") == std::string::npos) {
      const int count = socket_.receiveBytes(chunk, sizeof chunk);
      if (count <= 0) return 0;
      head.append(chunk, static_cast<std::size_t>(count));
    }
    return std::stoi(head.substr(9, 3));
  }

 private:
  net::StreamSocket socket_;
};

// Three control nodes and a sidecar.
class Fleet {
 public:
  Fleet() : nodes(programPath(), "127.98") {
    for (const auto& ip : {first, second, third}) {
      nodes.start(ip, NodeProcesses::Kind::core, true);
    }
    nodes.start(sidecar, NodeProcesses::Kind::sidecar, true);
  }

  static int replaceConfiguration(const std::string& ip, int base, const std::string& body) {
    return call(at(ip, kControl), "POST", "/v1/Configuration.Replace",
                {{"Base-Revision", std::to_string(base)}}, body)
        .status;
  }

  static int readiness(const std::string& ip, int port) {
    return call(at(ip, port), "GET", "/v1/readiness").status;
  }

  [[nodiscard]] int requestWithoutRoute() const {
    return call(at(sidecar, kEgress), "GET", "/z/1", {{"Host", "echo.example"}}).status;
  }

  const std::string first = "127.98.0.1";
  const std::string second = "127.98.0.2";
  const std::string third = "127.98.0.3";
  const std::string sidecar = "127.98.0.11";
  NodeProcesses nodes;
  std::unique_ptr<StandInServer> server;  // reports to `first`; none until a test starts it
};

using QuorumLossTest = SharedFleetTest<Fleet>;

TEST_F(QuorumLossTest, FleetBecomesReadyWithAConfiguration) {
  ASSERT_TRUE(becomesTrue([&] {
    return Fleet::replaceConfiguration(fleet_.first, 0, config(1, "/a/")) == 200;
  })) << "a configuration is taken";
  ASSERT_TRUE(becomesTrue([&] {
    return Fleet::readiness(fleet_.first, kControl) == 200 &&
           Fleet::readiness(fleet_.second, kControl) == 200 &&
           Fleet::readiness(fleet_.third, kControl) == 200 &&
           Fleet::readiness(fleet_.sidecar, kReady) == 200;
  })) << "all are ready";
  ASSERT_TRUE(becomesTrue([&] { return fleet_.requestWithoutRoute() == 404; }))
      << "no route is 404";
  fleet_.server = std::make_unique<StandInServer>("127.98.0.31", "i-1");
  ASSERT_EQ(fleet_.server->sendHeartbeat("available", at(fleet_.first, kControl)), 200)
      << "a server sends heartbeats";
}

// One control node is suspended for longer than its quorum lease lasts, the others go on. What lay
// in its sockets meanwhile is not answered from what it knew before.
TEST_F(QuorumLossTest, ResumedControlNodeAnswersNothingOnAnExpiredLease) {
  EstablishedConnection readinessCall(at(fleet_.first, kControl));
  EstablishedConnection deregisterCall(at(fleet_.first, kControl));
  for (auto* connection : {&readinessCall, &deregisterCall}) {
    connection->send("GET", "/v1/readiness");
    ASSERT_EQ(connection->receiveStatus(), 200) << "a kept connection is there";
  }
  fleet_.nodes.pause(fleet_.first, true);
  readinessCall.send("GET", "/v1/readiness");
  deregisterCall.send("POST", "/v1/Instances.Deregister/i-1");
  std::this_thread::sleep_for(std::chrono::milliseconds(4000));
  ASSERT_TRUE(becomesTrue([&] {
    return Fleet::replaceConfiguration(fleet_.second, 1, config(2, "/b/")) == 200;
  })) << "the others take a change";
  fleet_.nodes.pause(fleet_.first, false);
  ASSERT_EQ(readinessCall.receiveStatus(), 503) << "thawed, it is not ready on what it knew before";
  ASSERT_EQ(deregisterCall.receiveStatus(), 503) << "nor does it acknowledge a leaving";
  ASSERT_TRUE(becomesTrue([&] {
    return Fleet::readiness(fleet_.first, kControl) == 200 && fleet_.requestWithoutRoute() == 404;
  })) << "it is in touch again";
}

TEST_F(QuorumLossTest, ControlNodeWithoutQuorumAcknowledgesNothingUntilTheOthersResume) {
  fleet_.nodes.pause(fleet_.second, true);
  fleet_.nodes.pause(fleet_.third, true);
  ASSERT_TRUE(becomesTrue([&] { return Fleet::readiness(fleet_.first, kControl) == 503; }))
      << "without a majority a control node is not ready";
  const auto status = json::parse(call(at(fleet_.first, kControl), "GET", "/v1/Status").body);
  ASSERT_TRUE(status["authority"] == false && status["authority_age_ms"] > 3000)
      << "and its status says so";
  ASSERT_EQ(fleet_.server->sendHeartbeat("draining", at(fleet_.first, kControl)), 503)
      << "it doesn't acknowledge a leaving";
  ASSERT_TRUE(becomesTrue([&] { return fleet_.requestWithoutRoute() == 503; }))
      << "a sidecar that hears only that control node doesn't say 404";
  ASSERT_EQ(Fleet::readiness(fleet_.sidecar, kReady), 200) << "but goes on with what it has";
  fleet_.nodes.pause(fleet_.second, false);
  fleet_.nodes.pause(fleet_.third, false);
  ASSERT_TRUE(becomesTrue([&] {
    return Fleet::readiness(fleet_.first, kControl) == 200 && fleet_.requestWithoutRoute() == 404;
  })) << "afterwards all is as before";
}

}  // namespace
}  // namespace merlingauge::test
