// proxy_path.hpp: the path of a request in one process, with room for a fault link in front of each
// of its parts.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/http_listener.hpp"
#include "loopback/fault_link.hpp"
#include "loopback/instance_server.hpp"
#include "proxy/egress.hpp"
#include "proxy/ingress.hpp"

namespace merlingauge::test {

// Ports of the parts of a path. With a link in front of it a part listens on the port behind it.
constexpr std::uint16_t kClientPort = 21901;
constexpr std::uint16_t kClientPortBehindLink = 21902;
constexpr std::uint16_t kIngressPort = 21903;
constexpr std::uint16_t kIngressPortBehindLink = 21904;
constexpr std::uint16_t kServerPort = 21905;
constexpr std::uint16_t kServerPortBehindLink = 21906;
/// Of the server that takes the address over in Fault::addressTakenOver.
constexpr std::uint16_t kReplacementPort = 21907;

/// The part of the path that the fault link stands in front of.
enum class FaultLocation : std::uint8_t { client, ingress, server };
constexpr std::array<const char*, 3> kFaultLocationNames = {"client", "ingress", "server"};

/// An egress or an edge and two servers, in a mesh with an ingress beside each, put together as a
/// node does it. Event-loop thread.
class ProxyPath {
 public:
  /// Called where a link is wanted, with its addresses and the number of the server behind it.
  using LinkFactory = std::function<void(const LinkAddresses& addresses, int server)>;
  /// `number` gives the path addresses of its own; `gateway`: an edge, which has no ingresses.
  ProxyPath(EventLoop& loop, std::size_t number, bool gateway, std::optional<FaultLocation> linked,
            LinkFactory link, RequestLedger& ledger);
  /// Where clients connect.
  [[nodiscard]] const SocketAddress& clientAddress() const { return clientAddress_; }
  /// The address of a part beside this server.
  [[nodiscard]] SocketAddress at(int server, std::uint16_t port) const;
  /// How often a request was forwarded to a server.
  [[nodiscard]] std::size_t forwardedRequests() const;
  /// Of the egress and the ingresses together.
  [[nodiscard]] std::uint64_t invariantViolations() const { return invariants_->totalViolations(); }
  [[nodiscard]] const auto& servers() const { return servers_; }
  /// Ends what is open. The objects stay, for the loop may still refer to them.
  void close();

 private:
  class Routes : public proxy::RouteSource {
   public:
    [[nodiscard]] config::RouteTable::Ptr routeTable() const override;
    [[nodiscard]] bool isUpToDate() const override { return true; }
  };
  class Instances : public proxy::LocalInstances {
   public:
    explicit Instances(const membership::InstanceRegistry& registry) : registry_(registry) {}
    [[nodiscard]] std::optional<membership::Instance> findInstance(
        const InstanceId& id) const override {
      return registry_.findReportedHere(id);
    }
    void onUnreachable(const InstanceId&) override {}
    void onFailureRate(const InstanceId&, int) override {}

   private:
    const membership::InstanceRegistry& registry_;
  };
  /// The node beside a server.
  struct ServerSide {
    std::unique_ptr<http::ConnectionPool> pool;
    std::unique_ptr<membership::InstanceRegistry> registry;
    std::unique_ptr<Instances> instances;
    std::unique_ptr<proxy::Ingress> ingress;
    std::unique_ptr<http::HttpListener> listener;
  };
  void addEgress(bool gateway);
  void listenForClients();
  void addServer(int number, bool gateway);
  void addInstanceServer(int number, std::uint16_t port, const std::string& id);
  void addIngress(int number, const membership::Instance& server);

  EventLoop& loop_;
  std::size_t number_;
  std::optional<FaultLocation> linked_;
  LinkFactory link_;
  RequestLedger& ledger_;
  std::shared_ptr<http::ResponseInvariantCounters> invariants_ =
      std::make_shared<http::ResponseInvariantCounters>();
  membership::InstanceRegistry registry_;
  http::ConnectionPool pool_;
  Routes routes_;
  std::unique_ptr<proxy::Egress> egress_;
  std::array<ServerSide, 2> sides_;
  std::unique_ptr<http::HttpListener> listener_;
  std::vector<std::unique_ptr<InstanceServer>> servers_;
  SocketAddress clientAddress_;
};

}  // namespace merlingauge::test
