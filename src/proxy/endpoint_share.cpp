#include "proxy/endpoint_share.hpp"

#include <algorithm>

namespace merlingauge::proxy {

namespace {
// Part of what an instance takes that is given out: while nodes come and go, not all of them see
// the same fleet, and more may draw from it for a while.
constexpr double kUsableConnections = 0.85;

// So many of the nodes draw from one instance that each of them has `wanted` instances.
std::size_t nodesPerInstance(const ZoneCounts& counts, std::size_t wanted) {
  if (counts.instances == 0 || counts.nodes == 0) return 0;
  const auto roundedUp = (wanted * counts.nodes + counts.instances - 1) / counts.instances;
  return std::min(counts.nodes, roundedUp);
}
}  // namespace

EndpointShare endpointShare(const ZoneCounts& near, const ZoneCounts& far, int maxConnections,
                            const SubsetTargets& targets) {
  EndpointShare share{nodesPerInstance(near, targets.sameZone),
                      nodesPerInstance(far, targets.otherZones), 0};
  if (maxConnections <= 0) return share;
  const auto room =
      std::max<std::size_t>(1, static_cast<std::size_t>(maxConnections * kUsableConnections));
  if (share.sameZone + share.otherZones > room) {
    share.sameZone = std::min(share.sameZone, room);
    share.otherZones = std::min(share.otherZones, room - share.sameZone);
  }
  const auto nodes = std::max<std::size_t>(1, share.sameZone + share.otherZones);
  share.connections = static_cast<int>(room / nodes);
  return share;
}

}  // namespace merlingauge::proxy
