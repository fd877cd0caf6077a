#include "control/proposal_timing.hpp"

#include <algorithm>
#include <utility>

#include "consensus/proposer.hpp"

namespace merlingauge::control {

namespace {
// Processor time that a round costs, in milliseconds of one core: what is added to the timeout.
constexpr double kRoundMillisOfOneCore = 10;
// The most that is added, in milliseconds: the smallest machines still end a call in time.
constexpr double kMaxAddedMillis = 500;
// Guards the division against a machine of no processor time.
constexpr double kMinCores = 0.001;
// Rounds that a background proposal has time for: some are lost to other proposers and lost
// messages, and nobody waits for it.
constexpr int kBackgroundRounds = 10;
}  // namespace

ProposalTiming::ProposalTiming(NodeId self, double cpuCores) : self_(std::move(self)) {
  const double added = kRoundMillisOfOneCore / std::max(cpuCores, kMinCores);
  roundTimeout_ = consensus::Proposer::kRoundTimeout + fromMillis(std::min(added, kMaxAddedMillis));
}

Duration ProposalTiming::backgroundProposalTimeout() const {
  return roundTimeout_ * kBackgroundRounds;
}

Duration ProposalTiming::staggerDelay(const std::vector<NodeId>& voters) const {
  const auto position = std::find(voters.begin(), voters.end(), self_) - voters.begin();
  // Half a round: by then the node is asked by the voter before it, if that one lives.
  return position * (roundTimeout_ / 2);
}

}  // namespace merlingauge::control
