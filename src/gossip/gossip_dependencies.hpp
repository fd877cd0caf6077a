// gossip_dependencies: the parts of a node that the gossip service works on.
#pragma once

#include "consensus/register_replica.hpp"
#include "consensus/staleness_bound.hpp"
#include "gossip/environment.hpp"
#include "membership/instance_registry.hpp"

namespace merlingauge::gossip {

/// References only; whatever they refer to must outlive the service.
struct GossipDependencies {
  Environment& environment;
  membership::InstanceRegistry& registry;
  consensus::RegisterReplica& replica;
  consensus::StalenessBound& stalenessBound;
};

}  // namespace merlingauge::gossip
