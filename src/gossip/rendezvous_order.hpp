// rendezvous_order: a stable order of preference among nodes, by rendezvous hashing.
#pragma once

#include <set>
#include <vector>

#include "base/ids.hpp"

namespace merlingauge::gossip {

/// `candidates` without `self`, in the order in which `self` prefers them; those in `near` come
/// first. Highest random weight hashing (Thaler and Ravishankar): different nodes prefer different
/// candidates, which spreads the load, and a candidate that comes or goes changes the choice of
/// few.
std::vector<NodeId> rendezvousOrder(const NodeId& self, const std::vector<NodeId>& candidates,
                                    const std::set<NodeId>& near);

}  // namespace merlingauge::gossip
