// range: the servers that this node draws from, per service, kept until the list of servers or the
// fleet changes. A gateway's edge draws from a stable subset: each server is drawn from by the
// edges that come first in its own rendezvous order, so that all servers have equally many.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <cstddef>
#include <map>
#include <random>
#include <unordered_map>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "membership/instance_registry.hpp"
#include "proxy/attempt_planner.hpp"
#include "proxy/load_tracker.hpp"
#include "proxy/upstream_transport.hpp"

namespace merlingauge::proxy {

// One server in range.
struct Endpoint {
  InstanceId id;
  Poco::Net::SocketAddress address;
  std::string connectionOwner;
  int slots = 1;
  bool sameZone = true;
  std::size_t sharers = 0;     // other nodes that draw from it as this one does
  int connections = 0;         // this node may hold so many to it; 0: no bound
  bool deprioritized = false;  // its answers fail far more often than the others'
  LoadTracker::EndpointLoad* load = nullptr;
};

// How many servers an edge would like to draw from.
struct SubsetTargets {
  std::size_t sameZone = 0;
  std::size_t otherZones = 0;
};

// How many edges draw from one server, and how many connections each may hold to it, so that all
// together keep within what the server takes.
struct EndpointShare {
  std::size_t sameZone = 0;  // of the server's own zone
  std::size_t otherZones = 0;
  int connections = 0;  // of one edge; 0: no bound
};
// Of the server's zone and of all others: servers of its service, and edges.
struct ZoneCounts {
  std::size_t instances = 0;
  std::size_t edges = 0;
};
EndpointShare endpointShare(const ZoneCounts& near, const ZoneCounts& far, int maxConnections,
                            const SubsetTargets& terms);

// A node that draws from servers.
struct ProxyNode {
  NodeId id;
  ZoneName zone;
  bool operator==(const ProxyNode&) const = default;
};

class EndpointSubset {
 public:
  struct Dependencies {
    const membership::InstanceRegistry& registry;
    const UpstreamTransport& transport;
    LoadTracker& loadTracker;
    NodeId self;
    ZoneName zone;
    bool subset = false;
    std::function<int(const ServiceName&)> maxConnections;
  };
  EndpointSubset(Dependencies parts, std::uint64_t seed)
      : dependencies_(std::move(parts)), random_(seed) {}

  // The servers to choose from now, at most a fixed number of them. `once`: not those in doubt.
  // The list is the range's own, and good until the next call.
  const std::vector<Candidate>& candidates(const ServiceName& service, bool once, TimePoint now);
  static const Endpoint& endpointOf(const Candidate& candidate) {
    return *static_cast<const Endpoint*>(candidate.endpoint);
  }
  // The edges that there are, this one included.
  void setNodes(std::vector<ProxyNode> edges);

  struct SubsetView {
    std::size_t selected = 0;
    std::size_t known = 0;
    std::size_t ejected = 0;
    int connections = 0;  // the fewest to one server; 0: no bound
  };
  [[nodiscard]] std::map<ServiceName, SubsetView> views(TimePoint now) const;

 private:
  struct Pool {
    std::uint64_t changes = ~0ULL;
    std::uint64_t nodeGeneration = 0;
    std::uint64_t generation = 0;
    std::vector<Endpoint> sameZone;
    std::vector<Endpoint> otherZones;
    std::size_t known = 0;
  };
  Pool& pool(const ServiceName& service);
  void rebuild(const ServiceName& service, Pool& pool);
  void deprioritizeFailing(Pool& pool) const;
  void collect(std::vector<Endpoint>& from, bool once, bool trial, TimePoint now);
  struct SelectedInstance {
    const membership::Instance* instance = nullptr;
    int connections = 0;
    std::size_t sharers = 0;
  };
  std::vector<SelectedInstance> subset(const ServiceName& service,
                                       const std::vector<membership::Instance>& servers);
  std::size_t rank(const membership::Instance& server);
  Dependencies dependencies_;
  std::map<ServiceName, Pool> pools_;
  std::vector<Candidate> reachable_;
  std::vector<Candidate> unreachable_;
  std::vector<Candidate> failing_;
  std::minstd_rand random_;
  struct Edge {
    ProxyNode who;
    std::uint64_t hash = 0;
  };
  std::vector<Edge> edges_;
  std::unordered_map<InstanceId, std::size_t> ranks_;  // while the fleet stays as it is
  std::uint64_t nodeGeneration_ = 0;
};

}  // namespace merlingauge::proxy
