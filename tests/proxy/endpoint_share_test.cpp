// endpoint_share_test.cpp: how many nodes draw from one instance.
#include "proxy/endpoint_share.hpp"

#include <gtest/gtest.h>

namespace merlingauge::test {
namespace {

using proxy::endpointShare;
using proxy::SubsetTargets;
using proxy::ZoneCounts;

TEST(EndpointShare, NodesReachTheirTargetsWhereThereIsNoBound) {
  // 8 of 20 instances for each of 10 nodes: 4 nodes an instance.
  const auto share = endpointShare({20, 10}, {40, 20}, 0, SubsetTargets{8, 3});
  EXPECT_EQ(share.sameZone, 4);
  EXPECT_EQ(share.otherZones, 2);
  EXPECT_EQ(share.connections, 0);
}

TEST(EndpointShare, ConnectionsOfAllNodesStayBelowTheBound) {
  for (int maxConnections = 1; maxConnections < 200; ++maxConnections) {
    const auto share = endpointShare({20, 100}, {40, 200}, maxConnections, SubsetTargets{8, 3});
    const auto nodes = static_cast<int>(share.sameZone + share.otherZones);
    EXPECT_GE(share.connections, 1);
    EXPECT_GE(share.sameZone, 1);
    EXPECT_LE(nodes * share.connections, maxConnections);
  }
}

TEST(EndpointShare, NobodyDrawsWhereThereIsNothing) {
  const auto share = endpointShare({0, 10}, {5, 0}, 60, SubsetTargets{8, 3});
  EXPECT_EQ(share.sameZone, 0);
  EXPECT_EQ(share.otherZones, 0);
}

}  // namespace
}  // namespace merlingauge::test
