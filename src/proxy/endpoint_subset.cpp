#include "proxy/endpoint_subset.hpp"

#include <algorithm>
#include <utility>

#include "base/ipv4_address.hpp"

namespace merlingauge::proxy {

namespace {
// Instances of each side (own zone, others) that are looked at for one choice: the cost of a choice
// stays bounded, however many instances a service has.
constexpr std::size_t kMaxRead = 24;
// At most this part of the instances is left alone because their responses fail: if more fail, the
// cause is likely elsewhere and the rest couldn't carry the load.
constexpr double kMaxLeftAlone = 1.0 / 3;
// A near instance with a load below this part of its slots shows that the failing can be spared.
constexpr double kRoomWithoutFailing = 0.7;
// Tenths of the responses that fail, as the node beside the instance reports them.
constexpr int kDeprioritizeFromTenths = 3;
// One choice in so many may try a deprioritized instance, to see whether it has recovered.
constexpr std::uint32_t kTrialOneIn = 10;

std::size_t maxLeftAlone(std::size_t instances) {
  return static_cast<std::size_t>(kMaxLeftAlone * static_cast<double>(instances));
}

// Requests that other nodes are likely to have at the instance.
double likelyPeerLoad(const Endpoint& endpoint, TimePoint now) {
  if (endpoint.sharers == 0) return 0;
  return static_cast<double>(endpoint.sharers) * endpoint.state->load.averageOwnLoad(now);
}

bool isUsable(const EndpointState& state, bool nonIdempotent, TimePoint now) {
  if (!state.reachability.isReachable(now)) return false;
  return !(nonIdempotent && state.reachability.isDoubtful(now));
}

// Only as many are deprioritized as the rest can do without.
void limitDeprioritized(std::vector<Endpoint>& sameZone, std::vector<Endpoint>& otherZones) {
  const auto most = maxLeftAlone(sameZone.size() + otherZones.size());
  std::size_t deprioritized = 0;
  for (auto* list : {&sameZone, &otherZones}) {
    for (auto& endpoint : *list) {
      if (endpoint.deprioritized && ++deprioritized > most) endpoint.deprioritized = false;
    }
  }
}
}  // namespace

EndpointSubset::EndpointSubset(const membership::InstanceRegistry& registry,
                               const UpstreamTransport& transport, EndpointTable& endpoints,
                               const ConnectionLimitSource& limits,
                               const EndpointSubsetOptions& options)
    : registry_(registry),
      transport_(transport),
      endpointTable_(endpoints),
      limits_(limits),
      zone_(options.zone),
      drawsSubset_(options.drawsSubset),
      selector_(options.self, options.zone),
      random_(options.seed) {}

void EndpointSubset::setNodes(std::vector<ProxyNode> nodes) {
  if (selector_.setNodes(std::move(nodes))) ++nodeGeneration_;
}

EndpointSubset::ServiceEndpoints& EndpointSubset::endpointsOf(const ServiceName& service) {
  auto& endpoints = services_[service];
  if (endpoints.registryChanges != registry_.changeCount(service) ||
      endpoints.nodeGeneration != nodeGeneration_ ||
      endpoints.tableGeneration != endpointTable_.generation()) {
    rebuild(service, endpoints);
  }
  return endpoints;
}

void EndpointSubset::rebuild(const ServiceName& service, ServiceEndpoints& endpoints) {
  endpoints.registryChanges = registry_.changeCount(service);
  endpoints.nodeGeneration = nodeGeneration_;
  endpoints.tableGeneration = endpointTable_.generation();
  endpoints.sameZone.clear();
  endpoints.otherZones.clear();
  const auto instances = registry_.usableInstances(service);
  endpoints.known = instances.size();
  if (drawsSubset_) {
    for (const auto& one : selector_.select(instances, limits_.maxConnections(service))) {
      add(one, endpoints);
    }
  } else {
    for (const auto& instance : instances) add({&instance, 0, 0}, endpoints);
  }
  limitDeprioritized(endpoints.sameZone, endpoints.otherZones);
}

void EndpointSubset::add(const SelectedInstance& selected, ServiceEndpoints& endpoints) {
  const auto& instance = *selected.instance;
  if (!isIpv4Endpoint(instance.address)) return;  // nothing can be sent there
  Endpoint endpoint;
  endpoint.address = transport_.address(instance);
  endpoint.id = instance.id;
  endpoint.connectionOwner = transport_.connectionOwner(instance.id);
  endpoint.slots = instance.capacity;
  endpoint.sameZone = instance.zone == zone_;
  endpoint.connections = selected.connections;
  endpoint.sharers = selected.sharers;
  endpoint.deprioritized = instance.failingTenths >= kDeprioritizeFromTenths;
  endpoint.state = &endpointTable_.state(instance.id);
  (endpoint.sameZone ? endpoints.sameZone : endpoints.otherZones).push_back(std::move(endpoint));
}

// Sorts what it reads of `from` into the three scratch lists.
void EndpointSubset::collect(const std::vector<Endpoint>& from, bool nonIdempotent, bool trial,
                             TimePoint now) {
  const std::size_t count = from.size();
  const std::size_t reads = std::min(count, kMaxRead);
  const std::size_t first = reads < count ? random_() % count : 0;
  const auto maxEjected = maxLeftAlone(count);
  std::size_t ejected = 0;
  for (std::size_t i = 0; i < reads; ++i) {
    const auto& endpoint = from[(first + i) % count];
    const auto& state = *endpoint.state;
    if (endpoint.connections > 0 && state.load.ownRequests() >= endpoint.connections) continue;
    const Candidate candidate{&endpoint.id,
                              &endpoint,
                              state.load.estimatedLoad(now),
                              likelyPeerLoad(endpoint, now),
                              endpoint.slots,
                              endpoint.sameZone};
    bool usable = isUsable(state, nonIdempotent, now);
    if (usable && endpoint.deprioritized && !trial) {
      failing_.push_back(candidate);
      continue;
    }
    if (usable && state.outliers.isEjected(now) && ejected < maxEjected) {
      ++ejected;
      usable = false;
    }
    (usable ? reachable_ : unreachable_).push_back(candidate);
  }
}

const std::vector<Candidate>& EndpointSubset::candidates(const ServiceName& service,
                                                         bool nonIdempotent, TimePoint now) {
  const auto& endpoints = endpointsOf(service);
  reachable_.clear();
  unreachable_.clear();
  failing_.clear();
  const bool trial = !nonIdempotent && random_() % kTrialOneIn == 0;
  collect(endpoints.sameZone, nonIdempotent, trial, now);
  collect(endpoints.otherZones, nonIdempotent, trial, now);
  // Under load an instance that fails at times is better than none with a free slot: the failures
  // may well be the load's own.
  const bool room = std::any_of(
      reachable_.begin(), reachable_.end(),
      [](const Candidate& candidate) { return candidate.hasLocalCapacity(kRoomWithoutFailing); });
  if (!room) reachable_.insert(reachable_.end(), failing_.begin(), failing_.end());
  // With nobody known to be in reach, those found out of reach are worth another attempt.
  return reachable_.empty() ? unreachable_ : reachable_;
}

std::map<ServiceName, EndpointSubset::SubsetView> EndpointSubset::views(TimePoint now) const {
  std::map<ServiceName, SubsetView> out;
  for (const auto& [service, endpoints] : services_) {
    auto& view = out[service];
    view.selected = endpoints.sameZone.size() + endpoints.otherZones.size();
    view.known = endpoints.known;
    for (const auto* list : {&endpoints.sameZone, &endpoints.otherZones}) {
      for (const auto& endpoint : *list) {
        const bool fewest = view.connections == 0 || endpoint.connections < view.connections;
        if (endpoint.connections > 0 && fewest) view.connections = endpoint.connections;
        if (endpoint.deprioritized || endpoint.state->outliers.isEjected(now)) ++view.ejected;
      }
    }
  }
  return out;
}

}  // namespace merlingauge::proxy
