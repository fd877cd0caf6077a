// proposal_timing_test.cpp: timeouts and delays of proposals by processor time and voter position.
#include "control/proposal_timing.hpp"

#include <gtest/gtest.h>

namespace merlingauge::control {
namespace {

using std::chrono::milliseconds;

const NodeId kFirst("10.0.0.1");
const NodeId kSecond("10.0.0.2");
const NodeId kThird("10.0.0.3");

TEST(ProposalTiming, RoundsTakeLongerOnSlowMachines) {
  EXPECT_EQ(ProposalTiming(kFirst, 1).roundTimeout(), milliseconds(210));
  EXPECT_EQ(ProposalTiming(kFirst, 0.1).roundTimeout(), milliseconds(300));
  EXPECT_EQ(ProposalTiming(kFirst, 0).roundTimeout(), milliseconds(700));
}

TEST(ProposalTiming, BackgroundProposalsHaveTimeForTenRounds) {
  EXPECT_EQ(ProposalTiming(kFirst, 1).backgroundProposalTimeout(), milliseconds(2100));
}

TEST(ProposalTiming, VotersStartInTheirOrderAndOthersAfterThem) {
  const std::vector<NodeId> voters{kFirst, kSecond};
  EXPECT_EQ(ProposalTiming(kFirst, 1).staggerDelay(voters), milliseconds(0));
  EXPECT_EQ(ProposalTiming(kSecond, 1).staggerDelay(voters), milliseconds(105));
  EXPECT_EQ(ProposalTiming(kThird, 1).staggerDelay(voters), milliseconds(210));
}

}  // namespace
}  // namespace merlingauge::control
