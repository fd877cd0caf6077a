// endpoint_subset.hpp: the instances this node may choose from, a list per service.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "membership/instance_registry.hpp"
#include "proxy/attempt_planner.hpp"
#include "proxy/endpoint_table.hpp"
#include "proxy/subset_selector.hpp"
#include "proxy/upstream_transport.hpp"

namespace merlingauge::proxy {

/// One instance as this node reaches it.
struct Endpoint {
  InstanceId id;
  Poco::Net::SocketAddress address;  ///< where attempts connect to, by the transport
  std::string connectionOwner;       ///< to whom kept connections belong, by the transport
  int slots = 1;                     ///< requests it runs at a time
  bool sameZone = true;              ///< in this node's zone
  std::size_t sharers = 0;           ///< other nodes that draw from it as this one does
  int connections = 0;               ///< this node may hold so many to it; 0: no bound
  bool deprioritized = false;        ///< its responses fail far more often than the others'
  EndpointState* state = nullptr;    ///< the endpoint table's, good until its generation changes
};

/// Where the bound on the connections to one instance comes from: the configuration.
class ConnectionLimitSource {
 public:
  virtual ~ConnectionLimitSource() = default;
  /// Connections of all nodes together to one instance of `service`; 0: no bound.
  [[nodiscard]] virtual int maxConnections(const ServiceName& service) const = 0;
};

struct EndpointSubsetOptions {
  NodeId self;
  ZoneName zone;
  bool drawsSubset = false;  ///< a gateway's node draws from a subset, another from all instances
  std::uint64_t seed = 0;    ///< of the random start within long lists and of trials
};

/// Keeps the list of each service until its instances, the fleet or the endpoint table change.
/// Lives as long as the egress; event-loop thread only.
class EndpointSubset : public CandidateSource {
 public:
  EndpointSubset(const membership::InstanceRegistry& registry, const UpstreamTransport& transport,
                 EndpointTable& endpoints, const ConnectionLimitSource& limits,
                 const EndpointSubsetOptions& options);

  /// At most a fixed number of instances, however many there are.
  const std::vector<Candidate>& candidates(const ServiceName& service, bool nonIdempotent,
                                           TimePoint now) override;
  static const Endpoint& endpointOf(const Candidate& candidate) {
    return *static_cast<const Endpoint*>(candidate.endpoint);
  }
  /// The nodes that draw from instances, this one included.
  void setNodes(std::vector<ProxyNode> nodes);

  /// Figures of one service for the status report.
  struct SubsetView {
    std::size_t selected = 0;  ///< instances this node draws from
    std::size_t known = 0;     ///< usable instances of the service
    std::size_t ejected = 0;   ///< of the selected: left alone because their responses fail
    int connections = 0;       ///< the lowest bound to one instance; 0: no bound
  };
  [[nodiscard]] std::map<ServiceName, SubsetView> views(TimePoint now) const;

 private:
  struct ServiceEndpoints {
    // What it was built from: the registry's, the fleet's and the endpoint table's generations.
    std::uint64_t registryChanges = ~0ULL;
    std::uint64_t nodeGeneration = 0;
    std::uint64_t tableGeneration = 0;
    std::vector<Endpoint> sameZone;
    std::vector<Endpoint> otherZones;
    std::size_t known = 0;
  };
  ServiceEndpoints& endpointsOf(const ServiceName& service);
  void rebuild(const ServiceName& service, ServiceEndpoints& endpoints);
  void add(const SelectedInstance& selected, ServiceEndpoints& endpoints);
  void collect(const std::vector<Endpoint>& from, bool nonIdempotent, bool trial, TimePoint now);

  const membership::InstanceRegistry& registry_;
  const UpstreamTransport& transport_;
  EndpointTable& endpointTable_;
  const ConnectionLimitSource& limits_;
  ZoneName zone_;
  bool drawsSubset_;
  SubsetSelector selector_;
  std::uint64_t nodeGeneration_ = 0;
  std::map<ServiceName, ServiceEndpoints> services_;
  // Scratch lists of `candidates`, kept for their memory.
  std::vector<Candidate> reachable_;
  std::vector<Candidate> unreachable_;
  std::vector<Candidate> failing_;
  std::minstd_rand random_;
};

}  // namespace merlingauge::proxy
