// proxy_path.cpp: the path of a request in one process.
#include "loopback/proxy_path.hpp"

#include <Poco/Exception.h>
#include <unistd.h>

#include <chrono>
#include <utility>

#include "config/route_table.hpp"
#include "proxy/direct_transport.hpp"
#include "proxy/mesh_transport.hpp"

namespace merlingauge::test {
namespace {

// Connections that a listener accepts: above what one case opens.
constexpr std::size_t kMaxConnections = 64;

// Processes side by side use different networks: each takes the first one that nobody holds.
unsigned loopbackNetwork() {
  static Poco::Net::ServerSocket held;
  static const unsigned kNetwork = [] {
    for (unsigned n = static_cast<unsigned>(::getpid()) % 100;; ++n) {
      try {
        held.bind({"127." + std::to_string(100 + n % 100) + ".255.254", kClientPort});
        held.listen();
        return 100 + n % 100;
      } catch (const Poco::Exception&) {
        held = Poco::Net::ServerSocket();
      }
    }
  }();
  return kNetwork;
}

nlohmann::json routeRule(const char* name, const char* prefix, const char* type) {
  return nlohmann::json{{"name", name},
                        {"hostname", "echo.example"},
                        {"path_prefix", prefix},
                        {"route_type", type},
                        {"timeout_s", 5},
                        {"max_attempts", 2},
                        {"target_service", "echo"}};
}

config::RouteTable::Ptr echoRoutes() {
  static const auto kTable =
      config::RouteTable::parse({{"revision", 1},
                                 {"route_rules",
                                  {routeRule("once", "/once/", "non_idempotent"),
                                   routeRule("safe", "/safe/", "idempotent")}},
                                 {"services", {{{"name", "echo"}}}}})
          .table;
  return kTable;
}

membership::NodeInfo nodeInfo(const char* id) {
  return {NodeId(id), ZoneName("z"), false, false, false, 0, Incarnation{}};
}

http::ConnectionPool::Options egressPoolOptions(
    bool gateway, const std::shared_ptr<http::ResponseInvariantCounters>& invariants) {
  http::ConnectionPool::Options options;
  options.invariants = invariants;
  options.connectTimeout = std::chrono::milliseconds(300);
  options.answersMayEndByClose = gateway;
  options.answersAreOfNodes = !gateway;
  if (gateway) {
    options.idleTimeout = std::chrono::seconds(9);
    options.maxIdlePerAddress = 8;
    options.silenceTimeout = std::chrono::milliseconds(700);
  }
  return options;
}

}  // namespace

config::RouteTable::Ptr ProxyPath::Routes::routeTable() const { return echoRoutes(); }

ProxyPath::ProxyPath(EventLoop& loop, std::size_t number, bool gateway,
                     std::optional<FaultLocation> linked, LinkFactory link, RequestLedger& ledger)
    : loop_(loop),
      number_(number),
      linked_(linked),
      link_(std::move(link)),
      ledger_(ledger),
      registry_(nodeInfo("n"), Incarnation{1}),
      pool_(loop, egressPoolOptions(gateway, invariants_)),
      clientAddress_(at(0, kClientPort)) {
  addEgress(gateway);
  for (int i = 0; i < 2; ++i) addServer(i, gateway);
  listenForClients();
}

SocketAddress ProxyPath::at(int server, std::uint16_t port) const {
  const auto host = number_ * 2 + static_cast<std::size_t>(server);
  return {"127." + std::to_string(loopbackNetwork()) + "." + std::to_string(host / 250) + "." +
              std::to_string(1 + host % 250),
          port};
}

std::size_t ProxyPath::forwardedRequests() const {
  if (!sides_[0].ingress) return egress_->stats().attempts;
  return sides_[0].ingress->stats().admitted + sides_[1].ingress->stats().admitted;
}

void ProxyPath::close() {
  for (const auto& server : servers_) server->close();
  for (auto& side : sides_) side.listener.reset();
  listener_.reset();
}

void ProxyPath::addEgress(bool gateway) {
  std::unique_ptr<proxy::UpstreamTransport> transport;
  if (gateway) {
    transport = std::make_unique<proxy::DirectTransport>();
  } else {
    transport = std::make_unique<proxy::MeshTransport>(kIngressPort);
  }
  egress_ = std::make_unique<proxy::Egress>(
      loop_, pool_, registry_, routes_, std::move(transport),
      proxy::EgressOptions{ServiceName("front"), NodeId("n"), ZoneName("z"), gateway,
                           proxy::RetryBudgetOptions{0.2, 60, std::chrono::seconds(10)},
                           number_ + 1});
  egress_->setProxyNodes({{NodeId("n"), ZoneName("z")}}, 1);
}

void ProxyPath::listenForClients() {
  const bool isLinked = linked_ == FaultLocation::client;
  const auto behindLink = at(0, kClientPortBehindLink);
  listener_ = std::make_unique<http::HttpListener>(loop_, isLinked ? behindLink : clientAddress_,
                                                   kMaxConnections);
  listener_->context->invariants = invariants_;
  listener_->context->onExchange = [this](const auto& exchange) { egress_->handle(exchange); };
  listener_->context->mayPipeline = [this](const auto& exchange) {
    return egress_->mayPipeline(exchange);
  };
  if (isLinked) link_({clientAddress_, behindLink, behindLink}, 0);
}

void ProxyPath::addServer(int number, bool gateway) {
  membership::Instance server;
  server.id = InstanceId("i" + std::to_string(number));
  server.service = ServiceName("echo");
  server.address = at(number, kServerPort).toString();
  server.zone = ZoneName("z");
  server.capacity = 64;
  server.sequence = 1;
  registry_.handleHeartbeat(server, loop_.now());
  const bool isLinked = linked_ == FaultLocation::server;
  addInstanceServer(number, isLinked ? kServerPortBehindLink : kServerPort, server.id.str());
  if (isLinked) {
    addInstanceServer(number, kReplacementPort, "another life");
    link_(
        {at(number, kServerPort), at(number, kServerPortBehindLink), at(number, kReplacementPort)},
        number);
  }
  if (!gateway) addIngress(number, server);
}

void ProxyPath::addInstanceServer(int number, std::uint16_t port, const std::string& id) {
  servers_.push_back(
      std::make_unique<InstanceServer>(loop_, at(number, port), id, number, ledger_));
}

void ProxyPath::addIngress(int number, const membership::Instance& server) {
  auto& side = sides_.at(static_cast<std::size_t>(number));
  http::ConnectionPool::Options poolOptions;
  poolOptions.connectTimeout = std::chrono::milliseconds(400);
  side.pool = std::make_unique<http::ConnectionPool>(loop_, poolOptions);
  side.registry = std::make_unique<membership::InstanceRegistry>(nodeInfo("s"), Incarnation{1});
  side.registry->handleHeartbeat(server, loop_.now());
  side.instances = std::make_unique<Instances>(*side.registry);
  side.ingress = std::make_unique<proxy::Ingress>(
      loop_, *side.pool, *side.instances,
      proxy::IngressOptions{server.address, std::chrono::seconds(1)});
  side.ingress->onInstanceUpdate(server, loop_.now());
  const bool isLinked = linked_ == FaultLocation::ingress;
  const auto behindLink = at(number, kIngressPortBehindLink);
  side.listener = std::make_unique<http::HttpListener>(
      loop_, isLinked ? behindLink : at(number, kIngressPort), kMaxConnections);
  auto* ingress = side.ingress.get();
  side.listener->context->invariants = invariants_;
  side.listener->context->onExchange = [ingress](const auto& exchange) {
    ingress->handle(exchange);
  };
  side.listener->context->limits.maxHeadBytes = 128 * 1024;
  side.listener->context->limits.maxHeaderFields += http::kMaxFieldsOfNodes;
  if (!isLinked) return;
  // Who takes the address over is the node beside the other server.
  link_({at(number, kIngressPort), behindLink, at(1 - number, kIngressPortBehindLink)}, number);
}

}  // namespace merlingauge::test
