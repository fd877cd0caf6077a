// precedence_test: which of two updates on an instance or a node wins, in either order of arrival.
#include <gtest/gtest.h>

#include <vector>

#include "membership/instance.hpp"
#include "membership/node_info.hpp"

namespace merlingauge::membership {
namespace {

using Status = Instance::Status;

Instance instanceWith(Status status, std::uint64_t sequence, std::uint32_t edit,
                      bool unresponsive) {
  Instance instance;
  instance.status = status;
  instance.sequence = sequence;
  instance.reporterEdit = edit;
  instance.unresponsive = unresponsive;
  return instance;
}

TEST(InstancePrecedence, RisesByStatusThenHeartbeatThenEditThenSuspicion) {
  const std::vector<Instance> rising = {
      instanceWith(Status::available, 1, 0, false), instanceWith(Status::available, 1, 0, true),
      instanceWith(Status::available, 1, 1, false), instanceWith(Status::available, 2, 0, false),
      instanceWith(Status::draining, 0, 0, false),  instanceWith(Status::draining, 0, 9, true),
      instanceWith(Status::draining, 1, 0, false),  instanceWith(Status::gone, 0, 0, false)};
  for (std::size_t low = 0; low < rising.size(); ++low) {
    EXPECT_EQ(precedenceOf(rising[low]), precedenceOf(rising[low]));
    for (std::size_t high = low + 1; high < rising.size(); ++high) {
      EXPECT_LT(precedenceOf(rising[low]), precedenceOf(rising[high])) << low << " and " << high;
    }
  }
}

TEST(InstancePrecedence, ReporterEditStartsAnewWithEachHeartbeat) {
  const auto held = instanceWith(Status::available, 7, 3, false);
  EXPECT_EQ(nextReporterEdit(held, instanceWith(Status::available, 7, 0, false)), 4U);
  EXPECT_EQ(nextReporterEdit(held, instanceWith(Status::available, 8, 0, false)), 0U);
}

NodeInfo nodeWith(std::uint64_t infoVersion, bool shuttingDown, bool unresponsive,
                  std::uint64_t incarnation) {
  NodeInfo info;
  info.infoVersion = infoVersion;
  info.shuttingDown = shuttingDown;
  info.unresponsive = unresponsive;
  info.incarnation = Incarnation{incarnation};
  return info;
}

TEST(NodePrecedence, RisesByVersionThenShutdownThenSuspicionThenIncarnation) {
  const std::vector<NodeInfo> rising = {nodeWith(1, false, false, 1), nodeWith(1, false, false, 2),
                                        nodeWith(1, false, true, 1),  nodeWith(1, true, false, 1),
                                        nodeWith(1, true, true, 1),   nodeWith(2, false, false, 1)};
  for (std::size_t low = 0; low < rising.size(); ++low) {
    EXPECT_FALSE(supersedes(rising[low], rising[low]));
    for (std::size_t high = low + 1; high < rising.size(); ++high) {
      EXPECT_TRUE(supersedes(rising[high], rising[low])) << low << " and " << high;
      EXPECT_FALSE(supersedes(rising[low], rising[high])) << low << " and " << high;
    }
  }
}

TEST(NodePrecedence, NodeRefutesSuspicionAndEarlierIncarnations) {
  const auto own = nodeWith(2, false, false, 5);
  EXPECT_FALSE(needsRefutation(own, own));
  EXPECT_FALSE(needsRefutation(nodeWith(1, false, true, 5), own));
  EXPECT_FALSE(needsRefutation(nodeWith(1, false, false, 4), own));
  EXPECT_TRUE(needsRefutation(nodeWith(2, false, true, 5), own));
  EXPECT_TRUE(needsRefutation(nodeWith(2, false, false, 4), own));
  EXPECT_TRUE(needsRefutation(nodeWith(3, false, false, 5), own));
}

}  // namespace
}  // namespace merlingauge::membership
