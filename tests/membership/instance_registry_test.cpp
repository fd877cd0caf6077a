// instance_registry_test: heartbeats, expiry, deferred updates, and joining with a peer.
#include "membership/instance_registry.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <string>

namespace merlingauge::membership {
namespace {

using std::chrono::seconds;
using HeartbeatResult = InstanceRegistry::HeartbeatResult;
using Status = Instance::Status;

constexpr Duration kHeartbeatTimeout = seconds(5);
constexpr Duration kForgetAfter = seconds(60);

NodeInfo infoOf(const std::string& id) {
  NodeInfo info;
  info.id = NodeId(id);
  info.zone = ZoneName("z1");
  return info;
}

Instance heartbeat(const std::string& id, std::uint64_t sequence) {
  Instance server;
  server.id = InstanceId(id);
  server.service = ServiceName("echo");
  server.address = "10.0.0.9:80";
  server.zone = ZoneName("z1");
  server.sequence = sequence;
  return server;
}

class InstanceRegistryTest : public testing::Test {
 protected:
  /// `to` pulls once from `from`.
  void pull(InstanceRegistry& from, InstanceRegistry& to) {
    VersionVector seen(from.sourceTable());
    const VersionVector nothing(to.sourceTable());
    for (const auto& [source, counter] : to.entriesAbove(nothing)) seen.set(source, counter);
    const auto items = from.itemsNewerThan(seen, now_);
    EXPECT_EQ(from.hasNewerThan(seen), !items.empty());
    const auto list = items.empty() ? nlohmann::json::array() : nlohmann::json::parse(items);
    to.merge(list, from.entriesAbove(seen), now_);
  }
  /// `to` pulls from `from` in batches of one item each; `afterEach` is called between two. Returns
  /// how many batches there were.
  int pullInBatches(const InstanceRegistry& from, InstanceRegistry& to,
                    const std::function<void()>& afterEach) {
    VersionVector seen(from.sourceTable());
    const VersionVector nothing(to.sourceTable());
    for (const auto& [source, counter] : to.entriesAbove(nothing)) seen.set(source, counter);
    VersionVectorEntries sent;
    const auto vectorBefore = to.versionVector().hash();
    for (int batches = 1;; ++batches) {
      const auto batch = from.nextBatch(seen, sent, 1, now_);
      const auto items =
          batch.items.empty() ? nlohmann::json::array() : nlohmann::json::parse(batch.items);
      to.merge(items, batch.isComplete ? from.entriesAbove(seen) : VersionVectorEntries(), now_);
      if (batch.isComplete) return batches;
      EXPECT_EQ(items.size(), 1);
      EXPECT_EQ(to.versionVector().hash(), vectorBefore);
      afterEach();
    }
  }
  bool expire(InstanceRegistry& registry) {
    return registry.expireInstances(now_, kHeartbeatTimeout, kForgetAfter);
  }
  static Instance find(const InstanceRegistry& registry, const std::string& id) {
    return registry.findInstance(InstanceId(id)).value_or(Instance{});
  }

  TimePoint now_{seconds(1000)};
  InstanceRegistry first_{infoOf("10.0.0.1"), Incarnation{1}};
  InstanceRegistry second_{infoOf("10.0.0.2"), Incarnation{1}};
};

TEST_F(InstanceRegistryTest, HeartbeatThatSaysNothingNewIsNoUpdate) {
  EXPECT_EQ(first_.handleHeartbeat(heartbeat("i1", 1), now_), HeartbeatResult::changed);
  const auto vectorHash = first_.versionVector().hash();
  EXPECT_EQ(first_.handleHeartbeat(heartbeat("i1", 2), now_), HeartbeatResult::unchanged);
  EXPECT_EQ(first_.versionVector().hash(), vectorHash);
  EXPECT_EQ(first_.handleHeartbeat(heartbeat("i1", 1), now_), HeartbeatResult::stale);
}

TEST_F(InstanceRegistryTest, GoneInstanceStaysGoneWhateverArrivesLater) {
  first_.handleHeartbeat(heartbeat("i1", 1), now_);
  pull(first_, second_);
  EXPECT_TRUE(second_.deregister(InstanceId("i1"), now_));
  EXPECT_FALSE(second_.deregister(InstanceId("i1"), now_));
  first_.setFailingTenths(InstanceId("i1"), 9);
  pull(first_, second_);
  EXPECT_EQ(find(second_, "i1").status, Status::gone);
  pull(second_, first_);
  EXPECT_EQ(find(first_, "i1").status, Status::gone);
  EXPECT_EQ(first_.handleHeartbeat(heartbeat("i1", 2), now_), HeartbeatResult::stale);
}

TEST_F(InstanceRegistryTest, PeersConvergeWhicheverPullsFirst) {
  first_.handleHeartbeat(heartbeat("i1", 1), now_);
  second_.handleHeartbeat(heartbeat("i1", 2), now_);
  second_.handleHeartbeat(heartbeat("i2", 1), now_);
  pull(first_, second_);
  pull(second_, first_);
  EXPECT_EQ(first_.digest(), second_.digest());
  EXPECT_EQ(first_.rangeDigests(), second_.rangeDigests());
  EXPECT_EQ(first_.versionVector().hash(), second_.versionVector().hash());
  EXPECT_EQ(find(first_, "i1").reporter, NodeId("10.0.0.2"));
}

TEST_F(InstanceRegistryTest, BatchesBringAllItemsAndTheVectorWithTheLast) {
  for (const auto* id : {"i1", "i2", "i3"}) first_.handleHeartbeat(heartbeat(id, 1), now_);
  // The node itself and three instances; the last batch is the one after which nothing is left.
  EXPECT_EQ(pullInBatches(first_, second_, [] {}), 4);
  pull(second_, first_);
  EXPECT_EQ(first_.digest(), second_.digest());
  EXPECT_EQ(first_.versionVector().hash(), second_.versionVector().hash());
}

TEST_F(InstanceRegistryTest, ItemReplacedBetweenTwoBatchesIsNotMissed) {
  for (const auto* id : {"i1", "i2", "i3"}) first_.handleHeartbeat(heartbeat(id, 1), now_);
  // Each is replaced once by this node's own update and once by another node's, sent or not.
  InstanceRegistry third(infoOf("10.0.0.0"), Incarnation{1});
  std::uint64_t sequence = 1;
  int rounds = 0;
  pullInBatches(first_, second_, [&] {
    if (++rounds > 2) return;
    ++sequence;
    third.handleHeartbeat(heartbeat("i1", sequence), now_);
    third.deregister(InstanceId("i3"), now_);
    pull(third, first_);
    first_.deregister(InstanceId("i2"), now_);
  });
  pull(second_, first_);
  EXPECT_EQ(first_.digest(), second_.digest());
  EXPECT_EQ(first_.versionVector().hash(), second_.versionVector().hash());
  EXPECT_EQ(find(second_, "i1").reporter, NodeId("10.0.0.0"));
  EXPECT_EQ(find(second_, "i2").status, Status::gone);
  EXPECT_EQ(find(second_, "i3").status, Status::gone);
}

TEST_F(InstanceRegistryTest, SilentInstanceIsUnresponsiveUntilItsNextHeartbeat) {
  first_.handleHeartbeat(heartbeat("i1", 1), now_);
  now_ += kHeartbeatTimeout;
  EXPECT_FALSE(expire(first_));
  now_ += Duration(1);
  EXPECT_TRUE(expire(first_));
  EXPECT_FALSE(expire(first_));
  EXPECT_TRUE(find(first_, "i1").unresponsive);
  EXPECT_TRUE(first_.usableInstances(ServiceName("echo")).empty());
  EXPECT_EQ(first_.handleHeartbeat(heartbeat("i1", 2), now_), HeartbeatResult::changed);
  EXPECT_FALSE(find(first_, "i1").unresponsive);
}

TEST_F(InstanceRegistryTest, ClosedInstanceIsForgottenLater) {
  first_.handleHeartbeat(heartbeat("i1", 1), now_);
  first_.deregister(InstanceId("i1"), now_);
  now_ += kForgetAfter;
  expire(first_);
  EXPECT_TRUE(first_.findInstance(InstanceId("i1")).has_value());
  now_ += seconds(2);  // forgetting takes place once a second
  expire(first_);
  EXPECT_FALSE(first_.findInstance(InstanceId("i1")).has_value());
}

TEST_F(InstanceRegistryTest, OnlyTheReporterMarksASilentInstance) {
  first_.handleHeartbeat(heartbeat("i1", 1), now_);
  second_.handleHeartbeat(heartbeat("i1", 2), now_);
  pull(second_, first_);
  now_ += kHeartbeatTimeout + Duration(1);
  EXPECT_FALSE(expire(first_));
  EXPECT_TRUE(expire(second_));
}

TEST_F(InstanceRegistryTest, RestartedReporterGivesUpInstancesThatItNeverHears) {
  first_.handleHeartbeat(heartbeat("i1", 1), now_);
  first_.handleHeartbeat(heartbeat("i2", 1), now_);
  pull(first_, second_);
  InstanceRegistry restarted(infoOf("10.0.0.1"), Incarnation{2});
  pull(second_, restarted);
  EXPECT_FALSE(restarted.findReportedHere(InstanceId("i1")).has_value());
  restarted.handleHeartbeat(heartbeat("i2", 2), now_ + seconds(1));
  now_ += kHeartbeatTimeout + Duration(1);
  EXPECT_TRUE(expire(restarted));
  EXPECT_TRUE(find(restarted, "i1").unresponsive);
  EXPECT_FALSE(find(restarted, "i2").unresponsive);
}

TEST_F(InstanceRegistryTest, InstancesOfADownReporterAreMarkedByWhoeverIsInCharge) {
  first_.handleHeartbeat(heartbeat("i1", 1), now_);
  first_.handleHeartbeat(heartbeat("i2", 1), now_);
  pull(first_, second_);
  const auto isMine = [](const InstanceId& id) { return id.str() == "i1"; };
  EXPECT_FALSE(second_.markOrphans(now_, kHeartbeatTimeout, isMine));
  EXPECT_TRUE(second_.markNodeUnresponsive(NodeId("10.0.0.1")));
  EXPECT_FALSE(second_.markOrphans(now_ + kHeartbeatTimeout, kHeartbeatTimeout, isMine));
  now_ += kHeartbeatTimeout + Duration(1);
  EXPECT_TRUE(second_.markOrphans(now_, kHeartbeatTimeout, isMine));
  EXPECT_TRUE(find(second_, "i1").unresponsive);
  EXPECT_FALSE(find(second_, "i2").unresponsive);
}

TEST_F(InstanceRegistryTest, NodeRefutesAFalseSuspicion) {
  pull(first_, second_);
  second_.markNodeUnresponsive(NodeId("10.0.0.1"));
  pull(second_, first_);
  EXPECT_FALSE(first_.selfInfo().unresponsive);
  EXPECT_EQ(first_.selfInfo().infoVersion, 2U);
  pull(first_, second_);
  EXPECT_FALSE(second_.nodes().at(NodeId("10.0.0.1")).unresponsive);
}

TEST_F(InstanceRegistryTest, UnknownInstancesWaitUntilTheThrottleEnds) {
  first_.throttleUpdatesUntil(now_ + seconds(2));
  EXPECT_EQ(first_.handleHeartbeat(heartbeat("i1", 1), now_), HeartbeatResult::unchanged);
  EXPECT_FALSE(first_.findInstance(InstanceId("i1")).has_value());
  EXPECT_FALSE(first_.releaseThrottledUpdates(now_ + seconds(1)));
  EXPECT_TRUE(first_.releaseThrottledUpdates(now_ + seconds(2)));
  EXPECT_TRUE(first_.findInstance(InstanceId("i1")).has_value());
}

TEST_F(InstanceRegistryTest, KnownInstancesChangeReporterAFewAtATime) {
  constexpr int kInstances = 80;
  for (int n = 0; n < kInstances; ++n) {
    first_.handleHeartbeat(heartbeat("i" + std::to_string(n), 1), now_);
  }
  pull(first_, second_);
  second_.throttleUpdatesUntil(now_);
  for (int n = 0; n < kInstances; ++n) {
    const auto result = second_.handleHeartbeat(heartbeat("i" + std::to_string(n), 2), now_);
    EXPECT_EQ(result, HeartbeatResult::unchanged);
  }
  const auto reportedBySecond = [this] {
    int count = 0;
    for (const auto& instance : second_.instances()) {
      count += instance.reporter == NodeId("10.0.0.2") ? 1 : 0;
    }
    return count;
  };
  EXPECT_TRUE(second_.releaseThrottledUpdates(now_));
  EXPECT_EQ(reportedBySecond(), 5);  // a sixteenth of 80
  EXPECT_TRUE(second_.releaseThrottledUpdates(now_));
  EXPECT_EQ(reportedBySecond(), 9);  // then at least four
}

TEST_F(InstanceRegistryTest, ChangeOfStateIsNeverDeferred) {
  first_.handleHeartbeat(heartbeat("i1", 1), now_);
  pull(first_, second_);
  second_.throttleUpdatesUntil(now_ + seconds(2));
  auto draining = heartbeat("i1", 2);
  draining.status = Status::draining;
  EXPECT_EQ(second_.handleHeartbeat(draining, now_), HeartbeatResult::changed);
}

}  // namespace
}  // namespace merlingauge::membership
