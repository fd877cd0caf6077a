// peer_selector_test: which peers are pulled from, and how.
#include "gossip/peer_selector.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "gossip/gossip_fixture.hpp"
#include "gossip/rendezvous_order.hpp"

namespace merlingauge::gossip {
namespace {

class PeerSelectorTest : public ::testing::Test, public GossipFixture {
 protected:
  std::vector<NodeId> announceControlNodes() {
    std::vector<NodeId> nodes;
    for (int i = 1; i <= 4; ++i) {
      nodes.emplace_back("10.0.1." + std::to_string(i));
      announce(nodes.back().str(), "b", true);
    }
    return rendezvousOrder(options.self, nodes, {});
  }
  ControlNodeDirectory directory_{dependencies, options};
  PeerSelector selector_{dependencies, options, directory_};
};

TEST_F(PeerSelectorTest, SidecarPullsFromTwoControlNodesInItsOrder) {
  const auto order = announceControlNodes();
  const auto selection = selector_.select({});
  ASSERT_EQ(selection.size(), 2U);
  EXPECT_TRUE(selection.at(order[0]).requestPullBack);
  EXPECT_FALSE(selection.at(order[0]).lowFrequency);
  EXPECT_FALSE(selection.at(order[1]).requestPullBack);
  EXPECT_TRUE(selection.at(order[1]).lowFrequency);
}

TEST_F(PeerSelectorTest, FailingControlNodeIsPulledFromBesideTwoOthers) {
  const auto order = announceControlNodes();
  const auto selection = selector_.select({order[0]});
  ASSERT_EQ(selection.size(), 3U);
  EXPECT_FALSE(selection.at(order[1]).lowFrequency);
  EXPECT_TRUE(selection.at(order[2]).lowFrequency);
}

TEST_F(PeerSelectorTest, ControlNodeOutOfQuorumIsPulledFromRarely) {
  const auto order = announceControlNodes();
  EXPECT_TRUE(selector_.setOutOfQuorum(order[0], true));
  EXPECT_FALSE(selector_.setOutOfQuorum(order[0], true));
  const auto selection = selector_.select({});
  ASSERT_EQ(selection.size(), 3U);
  EXPECT_TRUE(selection.at(order[0]).lowFrequency);
  EXPECT_FALSE(selection.at(order[1]).lowFrequency);
}

TEST_F(PeerSelectorTest, SeedsAreUsedWhileNobodyElseIsKnown) {
  options.seeds = {NodeId("10.0.1.1"), options.self};
  const auto selection = selector_.select({});
  ASSERT_EQ(selection.size(), 1U);
  EXPECT_TRUE(selection.contains(NodeId("10.0.1.1")));
}

TEST_F(PeerSelectorTest, PullerIsPulledBackForAWhile) {
  announceControlNodes();
  const NodeId puller("10.0.2.1");
  EXPECT_FALSE(selector_.onPullBackRequest(puller, PullBack::none));
  EXPECT_TRUE(selector_.onPullBackRequest(puller, PullBack::lowFrequency));
  EXPECT_FALSE(selector_.onPullBackRequest(puller, PullBack::lowFrequency));
  EXPECT_TRUE(selector_.select({}).at(puller).lowFrequency);
  environment.time += std::chrono::seconds(4);
  EXPECT_FALSE(selector_.select({}).contains(puller));
  EXPECT_TRUE(selector_.onPullBackRequest(puller, PullBack::ordinary));
}

TEST(RendezvousOrder, NearNodesComeFirstAndTheNodeItselfNever) {
  const std::vector<NodeId> nodes = {NodeId("a"), NodeId("b"), NodeId("c"), NodeId("d")};
  const auto order = rendezvousOrder(NodeId("a"), nodes, {NodeId("c")});
  ASSERT_EQ(order.size(), 3U);
  EXPECT_EQ(order.front(), NodeId("c"));
  EXPECT_EQ(std::count(order.begin(), order.end(), NodeId("a")), 0);
}

}  // namespace
}  // namespace merlingauge::gossip
