// proposal_timing.hpp: how long rounds and proposals of this node may take, and when its background
// proposals (repair, voter changes) begin.
#pragma once

#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace merlingauge::control {

/// A background proposal waits this long first: whoever began the work usually finishes it within
/// one round, and two proposers at once only preempt each other.
constexpr Duration kBackgroundProposalDelay = std::chrono::milliseconds(250);

class ProposalTiming {
 public:
  /// `cpuCores`: processor time of this node in cores.
  ProposalTiming(NodeId self, double cpuCores);

  /// How long the voters may take to answer one round in which nothing large is sent.
  [[nodiscard]] Duration roundTimeout() const { return roundTimeout_; }
  /// The time limit of a proposal that no caller waits for.
  [[nodiscard]] Duration backgroundProposalTimeout() const;
  /// Background proposals start in the order of the voters, so that they don't preempt each other:
  /// the extra delay of this node. A node that is no voter comes after all of them.
  [[nodiscard]] Duration staggerDelay(const std::vector<NodeId>& voters) const;

 private:
  NodeId self_;
  Duration roundTimeout_;
};

}  // namespace merlingauge::control
