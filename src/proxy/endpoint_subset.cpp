#include "proxy/endpoint_subset.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <functional>
#include <tuple>

#include "base/hash.hpp"

namespace merlingauge::proxy {

namespace {
constexpr std::size_t kRead = 24;  // so many of each side are looked at for one choice
constexpr SubsetTargets kSubset{8, 3};
constexpr double kLeastPart = 0.5;  // of the mean: no edge draws from fewer
constexpr std::size_t kRanksKept = 4096;
constexpr double kRoomForSwing = 0.85;  // of what a server takes, while edges come and go
constexpr double kShunnedMost = 1.0 / 3;
constexpr double kRoomWithout = 0.7;    // of a near server's slots: then the ill can be spared
constexpr int kShunFrom = 3;            // tenths of the answers that fail
constexpr std::uint32_t kTrialIn = 10;  // one choice in so many may try a shunned one

// So many of `edges` draw from one server that each of them has `wanted` servers.
std::size_t holders(const ZoneCounts& crowd, std::size_t wanted) {
  if (crowd.instances == 0 || crowd.edges == 0) return 0;
  return std::min(crowd.edges, (wanted * crowd.edges + crowd.instances - 1) / crowd.instances);
}
}  // namespace

EndpointShare endpointShare(const ZoneCounts& near, const ZoneCounts& far, int maxConnections,
                            const SubsetTargets& terms) {
  EndpointShare out{holders(near, terms.sameZone), holders(far, terms.otherZones), 0};
  if (maxConnections <= 0) return out;
  const auto room =
      std::max<std::size_t>(1, static_cast<std::size_t>(maxConnections * kRoomForSwing));
  if (out.sameZone + out.otherZones > room) {
    out.sameZone = std::min(out.sameZone, room);
    out.otherZones = std::min(out.otherZones, room - out.sameZone);
  }
  out.connections =
      static_cast<int>(room / std::max<std::size_t>(1, out.sameZone + out.otherZones));
  return out;
}

void EndpointSubset::setNodes(std::vector<ProxyNode> edges) {
  const auto same = [](const Edge& a, const ProxyNode& b) { return a.who == b; };
  if (std::equal(edges_.begin(), edges_.end(), edges.begin(), edges.end(), same)) return;
  edges_.clear();
  for (auto& edge : edges) {
    const auto hash = stableHash(edge.id.str());
    edges_.push_back({std::move(edge), hash});
  }
  ranks_.clear();
  ++nodeGeneration_;
}

EndpointSubset::Pool& EndpointSubset::pool(const ServiceName& service) {
  auto& pool = pools_[service];
  if (pool.changes != dependencies_.registry.changeCount(service) ||
      pool.nodeGeneration != nodeGeneration_ ||
      pool.generation != dependencies_.loadTracker.generation()) {
    rebuild(service, pool);
  }
  return pool;
}

void EndpointSubset::rebuild(const ServiceName& service, Pool& pool) {
  pool.changes = dependencies_.registry.changeCount(service);
  pool.nodeGeneration = nodeGeneration_;
  pool.generation = dependencies_.loadTracker.generation();
  pool.sameZone.clear();
  pool.otherZones.clear();
  auto servers = dependencies_.registry.usableInstances(service);
  pool.known = servers.size();
  std::vector<SelectedInstance> drawn;
  if (dependencies_.subset) {
    drawn = subset(service, servers);
  } else {
    for (const auto& server : servers) drawn.push_back({&server, 0, 0});
  }
  for (const auto& [server, connections, sharers] : drawn) {
    Endpoint endpoint;
    try {
      endpoint.address = dependencies_.transport.address(*server);
    } catch (const Poco::Exception&) {
      continue;  // no address that anything can be sent to
    }
    endpoint.id = server->id;
    endpoint.connectionOwner = dependencies_.transport.connectionOwner(server->id);
    endpoint.slots = server->capacity;
    endpoint.sameZone = server->zone == dependencies_.zone;
    endpoint.connections = connections;
    endpoint.sharers = sharers;
    endpoint.deprioritized = server->failingTenths >= kShunFrom;
    endpoint.load = &dependencies_.loadTracker.load(server->id);
    (endpoint.sameZone ? pool.sameZone : pool.otherZones).push_back(std::move(endpoint));
  }
  deprioritizeFailing(pool);
}

// This node's place in the server's own order of the edges on its side: those of the server's zone,
// or all others.
std::size_t EndpointSubset::rank(const membership::Instance& server) {
  const auto [it, fresh] = ranks_.try_emplace(server.id, 0);
  if (!fresh) return it->second;
  const bool near = server.zone == dependencies_.zone;
  const auto own = stableHash(server.id.str(), stableHash(dependencies_.self.str()));
  for (const auto& edge : edges_) {
    if ((edge.who.zone == server.zone) != near) continue;
    if (stableHash(server.id.str(), edge.hash) > own) ++it->second;
  }
  return it->second;
}

std::vector<EndpointSubset::SelectedInstance> EndpointSubset::subset(
    const ServiceName& service, const std::vector<membership::Instance>& servers) {
  if (ranks_.size() > kRanksKept) ranks_.clear();
  std::map<ZoneName, ZoneCounts> crowds;
  for (const auto& server : servers) ++crowds[server.zone].instances;
  for (const auto& edge : edges_) ++crowds[edge.who.zone].edges;
  const int most = dependencies_.maxConnections(service);
  std::map<ZoneName, EndpointShare> shares;
  double mean = 0;  // how many servers an edge of this zone draws from
  for (const auto& [zone, near] : crowds) {
    const ZoneCounts far{servers.size() - near.instances, edges_.size() - near.edges};
    const auto& share = shares[zone] = endpointShare(near, far, most, kSubset);
    const bool own = zone == dependencies_.zone;
    const auto edges = static_cast<double>(std::max<std::size_t>(1, own ? near.edges : far.edges));
    mean += static_cast<double>((own ? share.sameZone : share.otherZones) * near.instances) / edges;
  }
  std::vector<SelectedInstance> out;
  std::vector<SelectedInstance> others;
  for (const auto& server : servers) {
    const auto& share = shares[server.zone];
    const bool near = server.zone == dependencies_.zone;
    // Edges of other zones come only while those of its own have filled theirs.
    const SelectedInstance one{&server, share.connections,
                               share.sameZone - (near && share.sameZone > 0 ? 1 : 0)};
    (rank(server) < (near ? share.sameZone : share.otherZones) ? out : others).push_back(one);
  }
  // Luck may leave an edge with few or none: it adds some in its own order.
  // One whose zone has no server of the service lives by the others' and takes as many of them.
  const bool alone = crowds[dependencies_.zone].instances == 0;
  const auto least =
      alone ? kSubset.sameZone : static_cast<std::size_t>(std::max(1.0, mean * kLeastPart));
  if (out.size() >= least) return out;
  std::vector<std::tuple<bool, std::uint64_t, std::size_t>> order;
  for (std::size_t i = 0; i < others.size(); ++i) {
    const auto& server = *others[i].instance;
    order.emplace_back(server.zone == dependencies_.zone,
                       stableHash(dependencies_.self.str() + ">" + server.id.str()), i);
  }
  const auto missing = std::min(order.size(), least - out.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(missing),
                    order.end(), std::greater<>());
  for (std::size_t i = 0; i < missing; ++i) out.push_back(others[std::get<2>(order[i])]);
  return out;
}

// Only as many are shunned as the rest can do without.
void EndpointSubset::deprioritizeFailing(Pool& pool) const {
  const auto most = static_cast<std::size_t>(
      kShunnedMost * static_cast<double>(pool.sameZone.size() + pool.otherZones.size()));
  std::size_t shunned = 0;
  for (auto* list : {&pool.sameZone, &pool.otherZones}) {
    for (auto& endpoint : *list) {
      if (endpoint.deprioritized && ++shunned > most) endpoint.deprioritized = false;
    }
  }
}

void EndpointSubset::collect(std::vector<Endpoint>& from, bool once, bool trial, TimePoint now) {
  const std::size_t n = from.size();
  const std::size_t reads = std::min(n, kRead);
  const std::size_t first = reads < n ? random_() % n : 0;
  const auto most = static_cast<std::size_t>(kShunnedMost * static_cast<double>(n));
  std::size_t left = 0;
  for (std::size_t i = 0; i < reads; ++i) {
    const auto& endpoint = from[(first + i) % n];
    const auto& book = *endpoint.load;
    if (endpoint.connections > 0 && book.ownRequests >= endpoint.connections) continue;
    const double steady = endpoint.sharers == 0 ? 0
                                                : static_cast<double>(endpoint.sharers) *
                                                      LoadTracker::averageOwnLoad(book, now);
    const Candidate candidate{&endpoint.id, &endpoint,      LoadTracker::estimatedLoad(book, now),
                              steady,       endpoint.slots, endpoint.sameZone};
    bool open =
        LoadTracker::isReachable(book, now) && !(once && LoadTracker::isDoubtful(book, now));
    if (open && endpoint.deprioritized && !trial) {
      failing_.push_back(candidate);
      continue;
    }
    if (open && LoadTracker::isEjected(book, now) && left < most) {
      ++left;
      open = false;
    }
    (open ? reachable_ : unreachable_).push_back(candidate);
  }
}

const std::vector<Candidate>& EndpointSubset::candidates(const ServiceName& service, bool once,
                                                         TimePoint now) {
  auto& from = pool(service);
  reachable_.clear();
  unreachable_.clear();
  failing_.clear();
  const bool trial = !once && random_() % kTrialIn == 0;
  collect(from.sameZone, once, trial, now);
  collect(from.otherZones, once, trial, now);
  // Under load a server that fails at times is better than none with a free slot: the failures
  // may well be the load's own.
  const bool room = std::any_of(
      reachable_.begin(), reachable_.end(),
      [](const Candidate& candidate) { return candidate.hasLocalCapacity(kRoomWithout); });
  if (!room) reachable_.insert(reachable_.end(), failing_.begin(), failing_.end());
  // With nobody known to be in reach, those found out of reach are worth another try.
  return reachable_.empty() ? unreachable_ : reachable_;
}

std::map<ServiceName, EndpointSubset::SubsetView> EndpointSubset::views(TimePoint now) const {
  std::map<ServiceName, SubsetView> out;
  for (const auto& [service, pool] : pools_) {
    auto& view = out[service];
    view.selected = pool.sameZone.size() + pool.otherZones.size();
    view.known = pool.known;
    for (const auto* list : {&pool.sameZone, &pool.otherZones}) {
      for (const auto& endpoint : *list) {
        const bool fewest = view.connections == 0 || endpoint.connections < view.connections;
        if (endpoint.connections > 0 && fewest) view.connections = endpoint.connections;
        if (endpoint.deprioritized || LoadTracker::isEjected(*endpoint.load, now)) ++view.ejected;
      }
    }
  }
  return out;
}

}  // namespace merlingauge::proxy
