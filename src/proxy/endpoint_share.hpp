// endpoint_share.hpp: how many nodes draw from one instance, so that its connections stay bounded.
#pragma once

#include <cstddef>

namespace merlingauge::proxy {

/// How many instances of a service one node would like to draw from.
struct SubsetTargets {
  std::size_t sameZone = 0;    ///< instances in the node's own zone
  std::size_t otherZones = 0;  ///< instances in all other zones together
};

/// What one instance gives to the nodes on its two sides.
struct EndpointShare {
  std::size_t sameZone = 0;    ///< nodes of the instance's own zone that draw from it
  std::size_t otherZones = 0;  ///< nodes of all other zones that draw from it
  int connections = 0;         ///< each of them may hold so many connections to it; 0: no bound
};

/// What there is of one service in a zone, or in all other zones together.
struct ZoneCounts {
  std::size_t instances = 0;
  std::size_t nodes = 0;  ///< nodes that draw, not only from this service
};

/// The share that lets each node reach `targets`, cut down so that all connections together stay
/// below `maxConnections` of the instance (0: no bound), with room for nodes that come and go.
/// `near` is the instance's own zone, `far` all others.
EndpointShare endpointShare(const ZoneCounts& near, const ZoneCounts& far, int maxConnections,
                            const SubsetTargets& targets);

}  // namespace merlingauge::proxy
