// quorum.hpp: which sets of nodes are a quorum.
#pragma once

#include <set>
#include <vector>

#include "base/ids.hpp"

namespace merlingauge::consensus {

struct RegisterValue;

/// Whether more than half of `voters` are among `nodes`. Any two majorities of one set share a
/// voter.
[[nodiscard]] bool hasMajority(const std::vector<NodeId>& voters, const std::set<NodeId>& nodes);

/// Whether `nodes` hold a majority of every set of voters that `value` names. While the voters
/// change, the old ones count as well as the new ones, so that quorums of adjacent values meet.
[[nodiscard]] bool hasQuorum(const RegisterValue& value, const std::set<NodeId>& nodes);

}  // namespace merlingauge::consensus
