// The real path in one process: an egress or an edge, two servers, in a mesh an ingress beside
// each, put together as node::Node does it, with room for a link in front of any of them.
#pragma once

#include <unistd.h>

#include "config/route_table.hpp"
#include "http/http_listener.hpp"
#include "loopback/loopback_peers.hpp"
#include "proxy/direct_transport.hpp"
#include "proxy/egress.hpp"
#include "proxy/ingress.hpp"
#include "proxy/mesh_transport.hpp"

namespace merlingauge::test {

constexpr std::uint16_t kWayIn = 21901;
constexpr std::uint16_t kWayInBehind = 21902;  // where the real one stands behind a link
constexpr std::uint16_t kIngressAt = 21903;
constexpr std::uint16_t kIngressBehind = 21904;
constexpr std::uint16_t kAppAt = 21905;
constexpr std::uint16_t kAppBehind = 21906;
constexpr std::uint16_t kTaken = 21907;  // whoever takes an address over

enum class Where : std::uint8_t { client, ingress, server };
constexpr std::array<const char*, 3> kWhereNames = {"client", "ingress", "server"};

// Runs side by side stay apart: each takes the first network that nobody holds.
inline unsigned network() {
  static Poco::Net::ServerSocket held;
  static const unsigned taken = [] {
    for (unsigned n = static_cast<unsigned>(::getpid()) % 100;; ++n) {
      try {
        held.bind({"127." + std::to_string(100 + n % 100) + ".255.254", kWayIn});
        held.listen();
        return 100 + n % 100;
      } catch (const Poco::Exception&) {
        held = Poco::Net::ServerSocket();
      }
    }
  }();
  return taken;
}

inline SocketAddress addressOf(std::size_t number, int which, std::uint16_t port) {
  const auto host = number * 2 + static_cast<std::size_t>(which);
  return {"127." + std::to_string(network()) + "." + std::to_string(host / 250) + "." +
              std::to_string(1 + host % 250),
          port};
}

inline config::RouteTable::Ptr echoRoutes() {
  static const auto made = [] {
    const auto rule = [](const char* name, const char* prefix, const char* type) {
      return nlohmann::json{{"name", name},
                            {"hostname", "echo.example"},
                            {"path_prefix", prefix},
                            {"route_type", type},
                            {"timeout_s", 5},
                            {"max_attempts", 2},
                            {"target_service", "echo"}};
    };
    return config::RouteTable::parse(
               {{"revision", 1},
                {"route_rules",
                 {rule("once", "/once/", "non_idempotent"), rule("safe", "/safe/", "idempotent")}},
                {"services", {{{"name", "echo"}}}}})
        .table;
  }();
  return made;
}

class ProxyPath {
 public:
  // Called where a link is wanted: it relays `at` to `to`; `other` is who may take `at` over.
  using Linker = std::function<void(const SocketAddress& at, const SocketAddress& to,
                                    const SocketAddress& other, int server)>;
  ProxyPath(EventLoop& loop, std::size_t number, bool gateway, std::optional<Where> linked,
            Linker link, Ledger& ledger)
      : loop_(loop),
        number_(number),
        linked_(linked),
        link_(std::move(link)),
        ledger_(ledger),
        book_(facts("n"), Incarnation{1}),
        ropes_(loop, gateway ? http::ConnectionPool::Options{std::chrono::milliseconds(300),
                                                             std::chrono::seconds(9), 8,
                                                             std::chrono::milliseconds(700)}
                             : http::ConnectionPool::Options{std::chrono::milliseconds(300),
                                                             std::chrono::seconds(20),
                                                             64,
                                                             {}}),
        way_(at(0, kWayIn)) {
    std::unique_ptr<proxy::UpstreamTransport> transport;
    if (gateway) {
      transport = std::make_unique<proxy::DirectTransport>();
    } else {
      transport = std::make_unique<proxy::MeshTransport>(kIngressAt);
    }
    egress_ = std::make_unique<proxy::Egress>(
        loop, ropes_, book_, routes_, std::move(transport),
        proxy::EgressOptions{ServiceName("front"), NodeId("n"), ZoneName("z"), gateway,
                             proxy::RetryBudgetOptions{0.2, 60, std::chrono::seconds(10)},
                             number + 1});
    egress_->setProxyNodes({{NodeId("n"), ZoneName("z")}}, 1);
    for (int i = 0; i < 2; ++i) addServer(i, gateway);
    const bool here = linked_ == Where::client;
    door_ = std::make_unique<http::HttpListener>(loop, here ? at(0, kWayInBehind) : way_, 64);
    door_->context->onExchange = [this](const auto& exchange) { egress_->handle(exchange); };
    door_->context->mayPipeline = [this](const auto& v) { return egress_->mayPipeline(v); };
    if (here) link_(way_, at(0, kWayInBehind), at(0, kWayInBehind), 0);
  }
  [[nodiscard]] const SocketAddress& way() const { return way_; }
  [[nodiscard]] SocketAddress at(int server, std::uint16_t port) const {
    return addressOf(number_, server, port);
  }
  // How often a request was passed on to a server.
  [[nodiscard]] std::size_t passedOn() const {
    if (!sites_[0].ingress) return egress_->stats().attempts;
    return sites_[0].ingress->stats().admitted + sites_[1].ingress->stats().admitted;
  }
  [[nodiscard]] const auto& standIns() const { return standIns_; }
  // Whatever is open ends; the objects stay, for the loop may still know of them.
  void close() {
    for (const auto& server : standIns_) server->close();
    for (auto& site : sites_) site.listener.reset();
    door_.reset();
  }

 private:
  class Routes : public proxy::RouteSource {
   public:
    [[nodiscard]] config::RouteTable::Ptr routeTable() const override { return echoRoutes(); }
    [[nodiscard]] bool isUpToDate() const override { return true; }
  };
  class Instances : public proxy::LocalInstances {
   public:
    explicit Instances(const membership::InstanceRegistry& book) : book_(book) {}
    [[nodiscard]] std::optional<membership::Instance> findInstance(
        const InstanceId& id) const override {
      return book_.findReportedHere(id);
    }
    void onUnreachable(const InstanceId&) override {}
    void onFailureRate(const InstanceId&, int) override {}

   private:
    const membership::InstanceRegistry& book_;
  };
  struct Site {
    std::unique_ptr<http::ConnectionPool> pool;
    std::unique_ptr<membership::InstanceRegistry> book;
    std::unique_ptr<Instances> instances;
    std::unique_ptr<proxy::Ingress> ingress;
    std::unique_ptr<http::HttpListener> listener;
  };
  static membership::NodeInfo facts(const char* id) {
    return {NodeId(id), ZoneName("z"), false, false, false, 0, Incarnation{}};
  }
  void stand(int i, std::uint16_t port, const std::string& id) {
    standIns_.push_back(std::make_unique<StandIn>(loop_, at(i, port), id, i, ledger_));
  }
  void addServer(int i, bool gateway) {
    membership::Instance server;
    server.id = InstanceId("i" + std::to_string(i));
    server.service = ServiceName("echo");
    server.address = at(i, kAppAt).toString();
    server.zone = ZoneName("z");
    server.capacity = 64;
    server.sequence = 1;
    book_.handleHeartbeat(server, loop_.now());
    const bool here = linked_ == Where::server;
    stand(i, here ? kAppBehind : kAppAt, server.id.str());
    if (here) {
      stand(i, kTaken, "another life");
      link_(at(i, kAppAt), at(i, kAppBehind), at(i, kTaken), i);
    }
    if (gateway) return;
    auto& site = sites_.at(static_cast<std::size_t>(i));
    site.pool = std::make_unique<http::ConnectionPool>(
        loop_, http::ConnectionPool::Options{
                   std::chrono::milliseconds(400), std::chrono::seconds(20), 64, {}});
    site.book = std::make_unique<membership::InstanceRegistry>(facts("s"), Incarnation{1});
    site.book->handleHeartbeat(server, loop_.now());
    site.instances = std::make_unique<Instances>(*site.book);
    site.ingress = std::make_unique<proxy::Ingress>(
        loop_, *site.pool, *site.instances,
        proxy::IngressOptions{server.address, std::chrono::seconds(1)});
    site.ingress->onInstanceUpdate(server, loop_.now());
    const bool before = linked_ == Where::ingress;
    site.listener = std::make_unique<http::HttpListener>(
        loop_, at(i, before ? kIngressBehind : kIngressAt), 64);
    site.listener->context->onExchange = [in = site.ingress.get()](const auto& v) {
      in->handle(v);
    };
    site.listener->context->limits.maxHeadBytes = 128 * 1024;
    // Who takes the address over is the node beside the other server.
    if (before) link_(at(i, kIngressAt), at(i, kIngressBehind), at(1 - i, kIngressBehind), i);
  }

  EventLoop& loop_;
  std::size_t number_;
  std::optional<Where> linked_;
  Linker link_;
  Ledger& ledger_;
  membership::InstanceRegistry book_;
  http::ConnectionPool ropes_;
  Routes routes_;
  std::unique_ptr<proxy::Egress> egress_;
  std::array<Site, 2> sites_;
  std::unique_ptr<http::HttpListener> door_;
  std::vector<std::unique_ptr<StandIn>> standIns_;
  SocketAddress way_;
};

}  // namespace merlingauge::test
