// The subsets that the edges of a gateway draw from: how many connections a server may get from all
// of them together, and how much changes when edges and servers come and go.
#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "proxy/direct_transport.hpp"
#include "proxy/endpoint_subset.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test {

using membership::Instance;
using membership::InstanceRegistry;
using proxy::EndpointSubset;

namespace {

struct Edge {
  proxy::EndpointTable endpoints;
  std::unique_ptr<EndpointSubset> subset;
  ZoneName zone;
  NodeId id;
};

class FixedLimit : public proxy::ConnectionLimitSource {
 public:
  explicit FixedLimit(int maxConnections) : maxConnections_(maxConnections) {}
  [[nodiscard]] int maxConnections(const ServiceName&) const override { return maxConnections_; }

 private:
  int maxConnections_;
};

class SubsetWorld {
 public:
  SubsetWorld(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario),
        clock_(seed),
        zones_(static_cast<int>(number(scenario_, "zones", 3))),
        maxConnections_(static_cast<int>(number(scenario_, "max_connections", 60))),
        registry_({NodeId("c"), ZoneName("z0"), true, false, false, 0, Incarnation{}},
                  Incarnation{1}) {}

  void play(std::map<std::string, double>& out) {
    const int servers = static_cast<int>(number(scenario_, "servers", 140));
    const int edges = static_cast<int>(number(scenario_, "edges", 75));
    for (int i = 0; i < servers; ++i) addServer(i);
    for (int i = 0; i < edges; ++i) addEdge(i);
    announceNodes();
    measure(out);
    const auto before = held();
    addServer(servers);
    addEdge(edges);
    announceNodes();
    measure(out);
    // One edge and one server more: nobody but a few changes anything.
    std::size_t moved = 0;
    const auto after = held();
    for (const auto& pair : before) moved += after.contains(pair) ? 0 : 1;
    out["moved"] = static_cast<double>(moved) / static_cast<double>(before.size());
    ejectFailing(out);
    countSlowAsBusier();
    addNodeWithoutNearInstances();
    // The edges shrink to a few: they still find servers.
    edges_.resize(2);
    announceNodes();
    for (auto& edge : edges_) require(!list(*edge).empty(), "an edge has nobody to draw from");
  }

 private:
  void addServer(int i) {
    Instance server;
    server.id = InstanceId("i" + std::to_string(clock_.random()));
    server.service = service_;
    server.address = "10.0.0." + std::to_string(i % 250 + 1) + ":80";
    server.zone = ZoneName("z" + std::to_string(i % zones_));
    server.capacity = 4;
    server.sequence = 1;
    registry_.handleHeartbeat(server, clock_.now());
    servers_.push_back(server.id);
  }

  void addEdge(int i) {
    auto edge = std::make_unique<Edge>();
    edge->zone = ZoneName("z" + std::to_string(i % zones_));
    edge->id = NodeId("e" + std::to_string(clock_.random()));
    edge->subset = makeSubset(*edge);
    edges_.push_back(std::move(edge));
  }

  std::unique_ptr<EndpointSubset> makeSubset(Edge& edge) {
    return std::make_unique<EndpointSubset>(
        registry_, transport_, edge.endpoints, limits_,
        proxy::EndpointSubsetOptions{edge.id, edge.zone, true, clock_.random()});
  }

  void announceNodes() {
    std::vector<proxy::ProxyNode> all;
    for (const auto& edge : edges_) all.push_back({edge->id, edge->zone});
    for (const auto& edge : edges_) edge->subset->setNodes(all);
  }

  const std::vector<proxy::Candidate>& list(Edge& edge) {
    return edge.subset->candidates(service_, false, clock_.now());
  }

  std::set<std::pair<std::size_t, InstanceId>> held() {
    std::set<std::pair<std::size_t, InstanceId>> out;
    for (std::size_t i = 0; i < edges_.size(); ++i) {
      for (const auto& candidate : list(*edges_[i])) out.emplace(i, *candidate.id);
    }
    return out;
  }

  void measure(std::map<std::string, double>& out) {
    std::map<InstanceId, double> connections;
    std::map<InstanceId, double> holders;
    std::map<InstanceId, double> load;  // where every edge spreads as much evenly over its zone
    double least = 1e9;
    for (auto& edge : edges_) {
      const auto& open = list(*edge);
      const int each = edge->subset->views(clock_.now()).at(service_).connections;
      require(each >= 1, "an edge may hold no connection");
      least = std::min(least, static_cast<double>(open.size()));
      for (const auto& candidate : open) {
        connections[*candidate.id] += each;
        holders[*candidate.id] += 1;
      }
      const auto near = std::count_if(open.begin(), open.end(), [](auto& c) { return c.sameZone; });
      for (const auto& candidate : open) {
        if (candidate.sameZone) load[*candidate.id] += 1.0 / static_cast<double>(near);
      }
    }
    double busiest = 0;
    double most = 0;
    for (const auto& [id, n] : connections) busiest = std::max(busiest, n);
    for (const auto& [id, n] : holders) most = std::max(most, n);
    require(busiest <= maxConnections_,
            "a server may get more connections than it takes: " + std::to_string(busiest));
    double heaviest = 0;
    for (const auto& [id, n] : load) heaviest = std::max(heaviest, n);
    out["heaviest"] =
        heaviest * static_cast<double>(servers_.size()) / static_cast<double>(edges_.size());
    out["busiest"] = std::max(out["busiest"], busiest);
    out["holders"] = std::max(out["holders"], most);
    out["range"] = least;
    out["unused"] = static_cast<double>(servers_.size() - holders.size());
  }

  // However many answers fail, only a bounded part is left alone, and trials bring servers back.
  void ejectFailing(std::map<std::string, double>& out) {
    auto& edge = *edges_[0];
    const auto all = list(edge).size();
    for (const auto& id : servers_) {
      for (int i = 0; i < 5; ++i) edge.endpoints.state(id).outliers.onResponse(false, clock_.now());
    }
    const auto left = list(edge).size();
    require(left * 3 + 3 >= all * 2 && left > 0, "too many servers are left alone");
    require(left < all || all < 3, "servers that fail are not left alone");
    out["left"] = static_cast<double>(left) / static_cast<double>(all);
    clock_.runUntil(clock_.ms() + 20000);
    for (const auto& id : servers_)
      edge.endpoints.state(id).outliers.onResponse(true, clock_.now());
    require(list(edge).size() == all, "servers that are well again are not taken back");
  }

  // An edge of a zone without servers takes those of the others.
  void addNodeWithoutNearInstances() {
    addEdge(0);
    auto& edge = *edges_.back();
    edge.zone = ZoneName("elsewhere");
    edge.subset = makeSubset(edge);
    announceNodes();
    require(list(edge).size() >= 8, "an edge without servers in its zone draws from too few");
  }

  // Where an edge's requests stay for long, others' do too: it counts as busier, for a while.
  void countSlowAsBusier() {
    auto& edge = *edges_[0];
    const auto id = *list(edge).front().id;
    const auto steady = [&] {
      for (const auto& candidate : list(edge)) {
        if (*candidate.id == id) return candidate.peerLoad;
      }
      return -1.0;
    };
    const double before = steady();
    edge.endpoints.onRequestStarted(id, clock_.now());
    clock_.runUntil(clock_.ms() + 3000);
    edge.endpoints.onRequestEnded(id, clock_.now());
    require(steady() > before + 1, "a server where requests stay is not taken for busier");
    clock_.runUntil(clock_.ms() + 30000);
    require(steady() < before + 0.1, "it is taken for busier for ever");
  }

  const Scenario& scenario_;
  Clock clock_;
  int zones_;
  int maxConnections_;
  FixedLimit limits_{maxConnections_};
  ServiceName service_{"svc"};
  proxy::DirectTransport transport_;
  InstanceRegistry registry_;
  std::vector<InstanceId> servers_;
  std::vector<std::unique_ptr<Edge>> edges_;
};

}  // namespace

void playRange(const Scenario& scenario, std::uint64_t seed, std::map<std::string, double>& out) {
  SubsetWorld(scenario, seed).play(out);
}

}  // namespace merlingauge::test
