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
    replica.value.voters = {voter_, otherVoter_, options.self};
    replica.acceptedAsOf = environment.time;
  }
  StalenessReport contact() const {
    StalenessReport report;
    report.acceptedAsOfAge = milliseconds(0);
    return report;
  }
  const NodeId voter_{"10.0.0.1"};
  const NodeId otherVoter_{"10.0.0.2"};
  QuorumLease lease_{dependencies, options};
};

TEST_F(QuorumLeaseTest, OneOtherVoterOfThreeMakesAQuorum) {
  EXPECT_EQ(lease_.update(), QuorumLease::Change::none);
  EXPECT_FALSE(lease_.isHeld());
  lease_.takeIn(voter_, contact(), environment.time);
  EXPECT_TRUE(lease_.isHeld());
  EXPECT_EQ(lease_.update(), QuorumLease::Change::gained);
  EXPECT_EQ(lease_.update(), QuorumLease::Change::none);
  EXPECT_EQ(lease_.heldSince(), environment.time);
}

TEST_F(QuorumLeaseTest, LeaseEndsByTheClockAlone) {
  lease_.takeIn(voter_, contact(), environment.time);
  ASSERT_EQ(lease_.update(), QuorumLease::Change::gained);
  environment.time += QuorumLease::kLeaseDuration;
  EXPECT_TRUE(lease_.isHeld());
  environment.time += milliseconds(1);
  EXPECT_FALSE(lease_.isHeld());
  EXPECT_EQ(lease_.update(), QuorumLease::Change::lost);
}

TEST_F(QuorumLeaseTest, ContactCountsFromTheSendingOfThePull) {
  const TimePoint sentAt = environment.time;
  environment.time += milliseconds(2000);
  lease_.takeIn(voter_, contact(), sentAt);
  EXPECT_EQ(lease_.quorumContactAge(), milliseconds(2000));
}

TEST_F(QuorumLeaseTest, ReportTellsOfALostQuorumButNotRightAfterTheStart) {
  lease_.update();
  EXPECT_FALSE(lease_.reportFor(environment.time, true).outOfQuorum);
  environment.time += QuorumLease::kLeaseDuration + milliseconds(1);
  EXPECT_TRUE(lease_.reportFor(environment.time, true).outOfQuorum);
}

}  // namespace
}  // namespace merlingauge::gossip
