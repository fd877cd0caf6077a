// acknowledged_leaving_test: the real program; a sidecar is killed right after it has acknowledged
// that the server beside it leaves.
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "loopback/node_processes.hpp"
#include "loopback/polling.hpp"
#include "loopback/program_arguments.hpp"
#include "loopback/stand_in_server.hpp"

namespace merlingauge::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// The drain timeout of the nodes, and as long as the late heartbeat would count.
constexpr seconds kDrainTimeout{1};
constexpr seconds kWatchedFor{4};
constexpr milliseconds kBetweenRequests{50};

// Three control nodes, a sidecar beside the callers and one beside a server of the service echo.
class AcknowledgedLeaving : public testing::Test {
 protected:
  AcknowledgedLeaving() : nodes_(programPath(), hosts_) {
    for (const char* host : {".0.1", ".0.2", ".0.3"}) {
      control_.push_back(hosts_ + host);
      nodes_.start(control_.back(), NodeProcesses::Kind::core, true);
    }
    for (const auto& ip : {front_, back_}) nodes_.start(ip, NodeProcesses::Kind::sidecar, true);
  }

  void SetUp() override {
    ASSERT_TRUE(becomesTrue([&] { return putConfiguration() == 200; }));
    ASSERT_TRUE(becomesTrue([&] {
      server_.sendHeartbeat("available");
      return isReady(front_) && isReady(back_) && request() == 200;
    }));
  }

  [[nodiscard]] int putConfiguration() const {
    return call(at(control_[0], kControl), "POST", "/v1/Configuration.Replace",
                {{"Base-Revision", "0"}}, config(1, "/a/"))
        .status;
  }

  static bool isReady(const std::string& ip) {
    return call(at(ip, kReady), "GET", "/v1/readiness").status == 200;
  }

  int request() {
    return call(at(front_, kEgress), "GET", "/safe/x",
                {{"Host", "echo.example"}, {"Attempt-Id", std::to_string(++requests_)}})
        .status;
  }

  int deregister() {
    return call(at(back_, kControl), "POST", "/v1/Instances.Deregister/i-1", {}, "{}").status;
  }

  // The sidecar is lost with its acknowledgement and starts again; a heartbeat of before comes
  // late.
  void loseSidecarBesideServer() {
    nodes_.stop(back_, SIGKILL);
    acknowledgedAt_ = steady_clock::now();
    nodes_.start(back_, NodeProcesses::Kind::sidecar, false);
    ASSERT_TRUE(becomesTrue([&] { return isReady(back_); }));
    std::this_thread::sleep_until(acknowledgedAt_ + kDrainTimeout);
    runsBefore_ = server_.runs().size();
    server_.sendHeartbeat("available");
  }

  void expectNoRequestAtServer() {
    const auto until = steady_clock::now() + kWatchedFor;
    while (steady_clock::now() < until) {
      EXPECT_EQ(request(), 503);
      std::this_thread::sleep_for(kBetweenRequests);
      if (HasFailure()) break;
    }
    EXPECT_EQ(server_.runs().size(), runsBefore_);
  }

  const std::string hosts_ = hostsOfThisProcess();
  const std::string front_ = hosts_ + ".0.11";
  const std::string back_ = hosts_ + ".0.12";
  std::vector<std::string> control_;
  NodeProcesses nodes_;
  StandInServer server_{back_, "i-1"};
  steady_clock::time_point acknowledgedAt_;
  std::size_t runsBefore_ = 0;
  int requests_ = 0;
};

// Guards against review case 3: only the killed process knew of the deregistration.
TEST_F(AcknowledgedLeaving, DeregistrationOutlivesTheSidecar) {
  ASSERT_TRUE(becomesTrue([&] { return deregister() == 200; }));
  loseSidecarBesideServer();
  expectNoRequestAtServer();
}

// The same of a server that says that it drains.
TEST_F(AcknowledgedLeaving, DrainingOutlivesTheSidecar) {
  ASSERT_TRUE(becomesTrue([&] { return server_.sendHeartbeat("draining") == 200; }));
  loseSidecarBesideServer();
  expectNoRequestAtServer();
}

}  // namespace
}  // namespace merlingauge::test
