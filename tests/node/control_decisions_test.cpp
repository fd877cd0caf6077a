// control_decisions_test: what a control node answers instances and balancers: heartbeat targets,
// acknowledged deregistrations, readiness.
#include "gossip/wire_keys.hpp"
#include "node/heartbeat_router.hpp"
#include "node/node_parts_fixture.hpp"
#include "node/readiness.hpp"
#include "node/replication_waiter.hpp"

namespace merlingauge::node {
namespace {

constexpr const char* kOther = "10.0.0.2";

class HeartbeatRouterTest : public NodeParts {
 public:
  HeartbeatRouter router{settings, lifecycle, registry, *controlNodes};

 protected:
  // An id whose first control node in rendezvous order is that one.
  [[nodiscard]] InstanceId instanceOf(const std::string& node) const {
    for (int number = 0; number < 1000; ++number) {
      InstanceId id("i" + std::to_string(number));
      if (controlNodes->firstLiveFor(id) == NodeId(node)) return id;
    }
    ADD_FAILURE() << "no instance is placed at " << node;
    return {};
  }
};

TEST_F(HeartbeatRouterTest, SendsAnInstanceToItsFirstLiveControlNode) {
  addControlNode(kOther);
  holdLease();
  EXPECT_EQ(router.targetFor(instanceOf(kSelf)), std::nullopt);
  EXPECT_EQ(router.targetFor(instanceOf(kOther)), "10.0.0.2:8146");
}

TEST_F(HeartbeatRouterTest, KeepsAnInstanceThatReportsHereUntilThisNodeShutsDown) {
  addControlNode(kOther);
  holdLease();
  const auto id = instanceOf(kOther);
  registry.handleHeartbeat(instance(id.str()), now());
  EXPECT_EQ(router.targetFor(id), std::nullopt);
  lifecycle.onShutdown(now());
  EXPECT_EQ(router.targetFor(id), "10.0.0.2:8146");
}

TEST_F(HeartbeatRouterTest, SendsNobodyAwayWithoutAQuorumLease) {
  addControlNode(kOther);
  holdLease();
  const auto id = instanceOf(kOther);
  pass(std::chrono::milliseconds(3001));
  hear(kOther);
  EXPECT_EQ(router.targetFor(id), std::nullopt);
}

TEST_F(HeartbeatRouterTest, SendsNobodyToAControlNodeThatIsNotLive) {
  addControlNode(kOther);
  const auto id = instanceOf(kOther);
  pass(std::chrono::milliseconds(4001));
  holdLease();
  EXPECT_EQ(router.targetFor(id), std::nullopt);
}

TEST_F(HeartbeatRouterTest, SendsNobodyToAControlNodeThatShutsDownOrIsMarkedUnresponsive) {
  auto other = registryOf(kOther, true);
  learnFrom(other);
  hear(kOther);
  holdLease();
  const auto id = instanceOf(kOther);
  ASSERT_NE(router.targetFor(id), std::nullopt);
  other.announceShutdown();
  learnFrom(other);
  hear(kOther);
  EXPECT_EQ(router.targetFor(id), std::nullopt);

  constexpr const char* kThird = "10.0.0.3";
  addControlNode(kThird);
  const auto another = instanceOf(kThird);
  ASSERT_NE(router.targetFor(another), std::nullopt);
  ASSERT_TRUE(registry.markNodeUnresponsive(NodeId(kThird)));
  EXPECT_EQ(router.targetFor(another), std::nullopt);
}

class ReplicationWaiterTest : public NodeParts {
 protected:
  explicit ReplicationWaiterTest(bool isControlNode = true) : NodeParts(isControlNode) {
    replica.value.voters = {NodeId(kSelf), NodeId(kOther), NodeId("10.0.0.3")};
    registry.handleHeartbeat(instance("i"), now());
    registry.deregister(InstanceId("i"), now());
  }
  void wait() {
    waiter.whenReplicated(InstanceId("i"), now(),
                          [this](bool replicated) { results.push_back(replicated); });
  }
  // That node tells that it has all that is known here.
  void catchUp(const std::string& node) {
    gossip::PullRequest pull;
    pull.sender = NodeId(node);
    pull.wholeVector = true;
    pull.fromControlNode = true;
    pull.vectorChanges = registry.entriesAbove(membership::VersionVector(registry.sourceTable()));
    pull.vectorHash = registry.versionVector().hash();
    gossip->handlePull(gossip::toJson(pull), [](const std::string& /*response*/) {});
  }

 public:
  ReplicationWaiter waiter{settings, lifecycle, registry, replica, *gossip, *controlNodes};
  std::vector<bool> results;
};

TEST_F(ReplicationWaiterTest, AnswersFalseAtOnceWithoutAQuorumLease) {
  wait();
  EXPECT_EQ(results, std::vector<bool>{false});
}

TEST_F(ReplicationWaiterTest, AnswersTrueAtOnceWhereNoReplicaIsRequired) {
  settings.faultTolerance = 0;
  holdLease();
  wait();
  EXPECT_EQ(results, std::vector<bool>{true});
}

TEST_F(ReplicationWaiterTest, AnswersFalseOnceAfter800MillisecondsWithoutReplicas) {
  holdLease();
  wait();
  EXPECT_TRUE(results.empty());
  pass(std::chrono::milliseconds(799));
  waiter.checkPending(now());
  EXPECT_TRUE(results.empty());
  pass(std::chrono::milliseconds(1));
  waiter.checkPending(now());
  waiter.checkPending(now());
  EXPECT_EQ(results, std::vector<bool>{false});
}

TEST_F(ReplicationWaiterTest, AnswersTrueOnceAnotherControlNodeHoldsTheUpdate) {
  addControlNode(kOther);
  holdLease();
  wait();
  EXPECT_TRUE(results.empty());
  catchUp(kOther);
  waiter.checkPending(now());
  EXPECT_EQ(results, std::vector<bool>{true});
}

TEST_F(ReplicationWaiterTest, WhileShuttingDownThisNodeIsNoReplica) {
  addControlNode(kOther);
  addControlNode("10.0.0.3");
  holdLease();
  lifecycle.onShutdown(now());
  wait();
  catchUp(kOther);
  waiter.checkPending(now());
  EXPECT_TRUE(results.empty());
  catchUp("10.0.0.3");
  waiter.checkPending(now());
  EXPECT_EQ(results, std::vector<bool>{true});
}

// A node beside a server, which is no control node; it knows of three that are.
class SidecarReplicationTest : public ReplicationWaiterTest {
 protected:
  SidecarReplicationTest() : ReplicationWaiterTest(false) {
    replica.value.voters = {NodeId(kOther), NodeId("10.0.0.3"), NodeId("10.0.0.4")};
    for (const auto& voter : replica.value.voters) learnFrom(registryOf(voter.str(), true));
  }
  // The oldest replication request that was not answered.
  ManualEnvironment::Sent nextRequest() {
    while (!environment.sent.empty()) {
      auto request = environment.sent.front();
      environment.sent.erase(environment.sent.begin());
      if (request.message.contains(gossip::wire::kReplicate)) return request;
    }
    ADD_FAILURE() << "no replication request was sent";
    return {NodeId(), {}, [](const auto&) {}};
  }
  static nlohmann::json answer(bool holds) {
    return nlohmann::json::parse(gossip::replicationResponse(holds));
  }
};

// Guards against review case 3: an acknowledgement known to nobody but the node that gave it.
TEST_F(SidecarReplicationTest, AnswersTrueOnceOneMoreControlNodeHoldsItThanMayBeLost) {
  settings.faultTolerance = 1;
  wait();
  EXPECT_TRUE(results.empty());
  const auto first = nextRequest();
  const auto second = nextRequest();
  EXPECT_NE(first.recipient, second.recipient);
  first.onResponse(answer(true));
  EXPECT_TRUE(results.empty());
  second.onResponse(answer(true));
  EXPECT_EQ(results, std::vector<bool>{true});
}

TEST_F(SidecarReplicationTest, CountsNoControlNodeThatDoesNotSaySo) {
  settings.faultTolerance = 1;
  wait();
  nextRequest().onResponse(answer(false));  // out of touch with a quorum, or shutting down
  nextRequest().onResponse(nlohmann::json::object());  // a version that doesn't know the request
  nextRequest().onResponse(std::nullopt);
  EXPECT_TRUE(results.empty());
}

TEST_F(SidecarReplicationTest, AnswersFalseAtItsEnd) {
  wait();
  EXPECT_TRUE(results.empty());
  gossip->stop();
  EXPECT_EQ(results, std::vector<bool>{false});
}

// What a control node does with such a request.
class ReplicationRequestTest : public NodeParts {
 protected:
  nlohmann::json sendItemOf(const membership::InstanceRegistry& sidecar) {
    const gossip::ReplicationRequest request{
        NodeId("10.0.0.9"), nlohmann::json::parse(sidecar.instanceItem(InstanceId("i"), now()))};
    std::string answer;
    gossip->handlePull(gossip::toJson(request), [&](const std::string& text) { answer = text; });
    return nlohmann::json::parse(answer);
  }
};

TEST_F(ReplicationRequestTest, IsConfirmedOnlyWithAQuorumLease) {
  auto sidecar = registryOf("10.0.0.9", false);
  sidecar.handleHeartbeat(instance("i"), now());
  sidecar.deregister(InstanceId("i"), now());
  EXPECT_FALSE(gossip::holdsItems(sendItemOf(sidecar)));
  holdLease();
  EXPECT_TRUE(gossip::holdsItems(sendItemOf(sidecar)));
  registry.announceShutdown();
  EXPECT_FALSE(gossip::holdsItems(sendItemOf(sidecar)));
}

// The sidecar may be lost at once: peers of the control node must not wait for pulls from it.
TEST_F(ReplicationRequestTest, IsPassedOnAsAnUpdateOfThisNode) {
  auto sidecar = registryOf("10.0.0.9", false);
  sidecar.handleHeartbeat(instance("i"), now());
  sidecar.deregister(InstanceId("i"), now());
  // What a peer has that has seen everything up to now.
  membership::VersionVector seen(registry.sourceTable());
  for (const auto& [source, counter] : registry.entriesAbove(seen)) seen.set(source, counter);
  sendItemOf(sidecar);
  auto peer = registryOf(kOther, true);
  ASSERT_TRUE(registry.hasNewerThan(seen));
  peer.merge(nlohmann::json::parse(registry.itemsNewerThan(seen, now())), {}, now());
  const auto known = peer.findInstance(InstanceId("i"));
  ASSERT_TRUE(known);
  EXPECT_EQ(known->status, membership::Instance::Status::gone);
}

class ReadinessTest : public NodeParts {
 protected:
  ReadinessTest() { replica.value.config = config::ConfigText::create("{}"); }
  // The first pull is answered: without updates.
  void completeAPull() {
    addControlNode(kOther);
    for (int ticks = 0; ticks < 50 && !gossip->hasPulled(); ++ticks) {
      pass(std::chrono::milliseconds(100));
      holdLease();
      auto sent = std::exchange(environment.sent, {});
      for (const auto& pull : sent) pull.onResponse(nlohmann::json::object());
    }
    ASSERT_TRUE(gossip->hasPulled());
  }

 public:
  Readiness readiness{settings, lifecycle, replica, *gossip};
};

TEST_F(ReadinessTest, AControlNodeIsReadyWhileItHoldsItsLease) {
  EXPECT_FALSE(readiness.isReady());
  completeAPull();
  EXPECT_TRUE(readiness.isReady());
  pass(std::chrono::milliseconds(3001));
  EXPECT_FALSE(readiness.isReady());
}

TEST_F(ReadinessTest, ANodeIsNotReadyWithoutConfigurationNorWhileShuttingDown) {
  completeAPull();
  replica.value.config = nullptr;
  EXPECT_FALSE(readiness.isReady());
  replica.value.config = config::ConfigText::create("{}");
  EXPECT_TRUE(readiness.isReady());
  lifecycle.onShutdown(now());
  EXPECT_FALSE(readiness.isReady());
}

TEST_F(ReadinessTest, ANodeWithCallersStaysReadyOnceItWasUpToDate) {
  settings.egressAddress = "10.0.0.1:82";
  completeAPull();
  EXPECT_FALSE(readiness.isReady());
  readiness.tick(now());
  EXPECT_TRUE(readiness.isReady());
  pass(std::chrono::seconds(5));
  ASSERT_FALSE(gossip->isUpToDate());
  readiness.tick(now());
  EXPECT_TRUE(readiness.isReady());
}

TEST_F(ReadinessTest, ANodeWithCallersStartsWithWhatItHasAfterSixSeconds) {
  settings.egressAddress = "10.0.0.1:82";
  completeAPull();
  pass(std::chrono::hours(1));  // long out of date
  readiness.tick(now());
  EXPECT_FALSE(readiness.isReady());
  pass(std::chrono::milliseconds(6000));
  readiness.tick(now());
  EXPECT_FALSE(readiness.isReady());
  pass(std::chrono::milliseconds(1));
  readiness.tick(now());
  EXPECT_TRUE(readiness.isReady());
}

}  // namespace
}  // namespace merlingauge::node
