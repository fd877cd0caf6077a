// quorum_lease_test: a control node holds its lease by its own clock only.
#include "gossip/quorum_lease.hpp"

#include <gtest/gtest.h>

#include "gossip/gossip_fixture.hpp"

namespace merlingauge::gossip {
namespace {

using std::chrono::milliseconds;

class QuorumLeaseTest : public ::testing::Test, public GossipFixture {
 protected:
  QuorumLeaseTest() : GossipFixture(true) {
    replica.value.voters = {voter, otherVoter, options.self};
    replica.acceptedAsOf = environment.time;
  }
  StalenessReport contact() const {
    StalenessReport report;
    report.acceptedAsOfAge = milliseconds(0);
    return report;
  }
  const NodeId voter{"10.0.0.1"};
  const NodeId otherVoter{"10.0.0.2"};
  QuorumLease lease{dependencies, options};
};

TEST_F(QuorumLeaseTest, OneOtherVoterOfThreeMakesAQuorum) {
  EXPECT_EQ(lease.update(), QuorumLease::Change::none);
  EXPECT_FALSE(lease.isHeld());
  lease.takeIn(voter, contact(), environment.time);
  EXPECT_TRUE(lease.isHeld());
  EXPECT_EQ(lease.update(), QuorumLease::Change::gained);
  EXPECT_EQ(lease.update(), QuorumLease::Change::none);
  EXPECT_EQ(lease.heldSince(), environment.time);
}

TEST_F(QuorumLeaseTest, LeaseEndsByTheClockAlone) {
  lease.takeIn(voter, contact(), environment.time);
  ASSERT_EQ(lease.update(), QuorumLease::Change::gained);
  environment.time += QuorumLease::kLeaseDuration;
  EXPECT_TRUE(lease.isHeld());
  environment.time += milliseconds(1);
  EXPECT_FALSE(lease.isHeld());
  EXPECT_EQ(lease.update(), QuorumLease::Change::lost);
}

TEST_F(QuorumLeaseTest, ContactCountsFromTheSendingOfThePull) {
  const TimePoint sentAt = environment.time;
  environment.time += milliseconds(2000);
  lease.takeIn(voter, contact(), sentAt);
  EXPECT_EQ(lease.quorumContactAge(), milliseconds(2000));
}

TEST_F(QuorumLeaseTest, ReportTellsOfALostQuorumButNotRightAfterTheStart) {
  lease.update();
  EXPECT_FALSE(lease.reportFor(environment.time, true).outOfQuorum);
  environment.time += QuorumLease::kLeaseDuration + milliseconds(1);
  EXPECT_TRUE(lease.reportFor(environment.time, true).outOfQuorum);
}

}  // namespace
}  // namespace merlingauge::gossip
