#include "consensus/quorum.hpp"

#include <algorithm>
#include <cstddef>

#include "consensus/register_value.hpp"

namespace merlingauge::consensus {

bool hasMajority(const std::vector<NodeId>& voters, const std::set<NodeId>& nodes) {
  const auto count = std::count_if(voters.begin(), voters.end(),
                                   [&](const NodeId& voter) { return nodes.contains(voter); });
  return static_cast<std::size_t>(count) * 2 > voters.size();
}

bool hasQuorum(const RegisterValue& value, const std::set<NodeId>& nodes) {
  if (!hasMajority(value.voters, nodes)) return false;
  return value.previousVoters.empty() || hasMajority(value.previousVoters, nodes);
}

}  // namespace merlingauge::consensus
