// full_sync_admission_test: newcomers get turns, nodes that lack little get none.
#include "gossip/full_sync_admission.hpp"

#include <gtest/gtest.h>

#include "gossip/gossip_fixture.hpp"

namespace merlingauge::gossip {
namespace {

using std::chrono::milliseconds;

// Above the number of sources that a node may lack without a turn.
constexpr int kManySources = 17;

class FullSyncAdmissionTest : public ::testing::Test, public GossipFixture {
 protected:
  FullSyncAdmissionTest() { options.fullSyncInterval = milliseconds(100); }
  void fillRegistry(int nodes) {
    for (int i = 0; i < nodes; ++i) announce("10.0.1." + std::to_string(i), "a", false);
  }
  FullSyncAdmission admission_{dependencies, options};
};

TEST_F(FullSyncAdmissionTest, NodeThatLacksLittleNeverWaits) {
  fillRegistry(kManySources - 2);  // and this node itself: 16 sources
  EXPECT_EQ(admission_.waitFor(NodeId("n1"), {}), std::nullopt);
  EXPECT_EQ(admission_.waitFor(NodeId("n2"), {}), std::nullopt);
}

TEST_F(FullSyncAdmissionTest, NewcomersGetOneTurnAnInterval) {
  fillRegistry(kManySources);
  EXPECT_EQ(admission_.waitFor(NodeId("n1"), {}), std::nullopt);
  EXPECT_EQ(admission_.waitFor(NodeId("n2"), {}), milliseconds(100));
  EXPECT_EQ(admission_.waitFor(NodeId("n3"), {}), milliseconds(200));
}

TEST_F(FullSyncAdmissionTest, NewcomerThatAsksAgainKeepsItsTurn) {
  fillRegistry(kManySources);
  EXPECT_EQ(admission_.waitFor(NodeId("n1"), {}), std::nullopt);
  EXPECT_EQ(admission_.waitFor(NodeId("n2"), {}), milliseconds(100));
  environment.time += milliseconds(60);
  EXPECT_EQ(admission_.waitFor(NodeId("n2"), {}), milliseconds(40));
  environment.time += milliseconds(40);
  EXPECT_EQ(admission_.waitFor(NodeId("n2"), {}), std::nullopt);
}

TEST_F(FullSyncAdmissionTest, NobodyWaitsForLongerThanTheLimit) {
  fillRegistry(kManySources);
  for (int i = 0; i < 100; ++i) {
    const auto wait = admission_.waitFor(NodeId("n" + std::to_string(i)), {});
    EXPECT_LE(wait.value_or(Duration(0)), milliseconds(4000));
  }
}

}  // namespace
}  // namespace merlingauge::gossip
