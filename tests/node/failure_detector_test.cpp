// failure_detector_test: suspicion, probe, refutation; heartbeats that stop.
#include "node/failure_detector.hpp"

#include "node/node_parts_fixture.hpp"

namespace merlingauge::node {
namespace {

constexpr const char* kSidecar = "10.0.0.9";
constexpr Duration kUnheardAfter = std::chrono::milliseconds(4500);
constexpr Duration kTick = std::chrono::milliseconds(100);

class FailureDetectorTest : public NodeParts {
 protected:
  FailureDetectorTest() {
    learnFrom(sidecar);
    holdLease();
    hear(kSidecar);
  }
  // Time passes in ticks, with a quorum all the while.
  void run(Duration time) {
    for (Duration passed{}; passed < time; passed += kTick) {
      pass(kTick);
      holdLease();
      detector.detectNodeFailures(now());
    }
  }
  [[nodiscard]] std::vector<ManualEnvironment::Sent> probes() const {
    std::vector<ManualEnvironment::Sent> found;
    for (const auto& sent : environment.sent) {
      if (sent.recipient == NodeId(kSidecar)) found.push_back(sent);
    }
    return found;
  }
  void answerProbes(bool reachable) {
    const auto pending = probes();
    environment.sent.clear();
    for (const auto& probe : pending) {
      probe.onResponse(reachable ? std::optional(nlohmann::json::object()) : std::nullopt);
    }
  }
  [[nodiscard]] bool isUnresponsive() const {
    return registry.nodes().at(NodeId(kSidecar)).unresponsive;
  }

 public:
  membership::InstanceRegistry sidecar = registryOf(kSidecar, false);
  ProxyNodeFeed proxyNodes{registry, nullptr};
  FailureDetector detector{settings, lifecycle, registry, *gossip, *controlNodes, proxyNodes};
};

TEST_F(FailureDetectorTest, ANodeThatIsHeardIsNotProbed) {
  run(kUnheardAfter - kTick);
  hear(kSidecar);
  environment.sent.clear();
  run(kUnheardAfter - kTick);
  EXPECT_TRUE(probes().empty());
}

TEST_F(FailureDetectorTest, AnUnheardNodeIsProbedOnceAndMarkedIfTheProbeFails) {
  run(kUnheardAfter);
  environment.sent.clear();
  run(5 * kTick);
  EXPECT_EQ(probes().size(), 1U);
  EXPECT_FALSE(isUnresponsive());
  answerProbes(false);
  EXPECT_TRUE(isUnresponsive());
}

TEST_F(FailureDetectorTest, AReachableNodeIsNotMarked) {
  run(kUnheardAfter);
  environment.sent.clear();
  run(5 * kTick);
  answerProbes(true);
  EXPECT_FALSE(isUnresponsive());
}

TEST_F(FailureDetectorTest, ANodeThatRefutesItsMarkIsLeftAloneForAWhile) {
  run(kUnheardAfter);
  environment.sent.clear();
  run(5 * kTick);
  answerProbes(false);
  ASSERT_TRUE(isUnresponsive());
  // The node hears of its mark and says itself that it is there.
  const membership::VersionVector nothing(registry.sourceTable());
  sidecar.merge(nlohmann::json::parse(registry.itemsNewerThan(nothing, now())),
                registry.entriesAbove(nothing), now());
  learnFrom(sidecar);
  ASSERT_FALSE(isUnresponsive());
  environment.sent.clear();
  run(2 * kUnheardAfter - kTick);
  EXPECT_TRUE(probes().empty());
  run(3 * kTick);
  EXPECT_EQ(probes().size(), 1U);
}

TEST_F(FailureDetectorTest, NobodyIsSuspectedWithoutAQuorumNorWhileShuttingDown) {
  pass(2 * kUnheardAfter);
  environment.sent.clear();
  detector.detectNodeFailures(now());
  EXPECT_TRUE(probes().empty());

  lifecycle.onShutdown(now());
  run(2 * kUnheardAfter);
  EXPECT_TRUE(probes().empty());
}

TEST_F(FailureDetectorTest, AnInstanceWithoutHeartbeatsBecomesUnresponsive) {
  registry.handleHeartbeat(instance("i"), now());
  const Duration timeout = fromSeconds(toSeconds(settings.heartbeatInterval) * 2.6);
  pass(timeout - kTick);
  detector.expireHeartbeats(now());
  EXPECT_FALSE(registry.findInstance(InstanceId("i"))->unresponsive);
  pass(2 * kTick);
  detector.expireHeartbeats(now());
  EXPECT_TRUE(registry.findInstance(InstanceId("i"))->unresponsive);
}

}  // namespace
}  // namespace merlingauge::node
