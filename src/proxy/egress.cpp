#include "proxy/egress.hpp"

#include <utility>

#include "proxy/egress_request.hpp"

namespace merlingauge::proxy {

using http::ServerExchange;

namespace {
const config::Route* findRoute(const ServerExchange& exchange,
                               const config::RouteTable& routeTable) {
  return routeTable.findRoute(exchange.request.get("Host", ""), exchange.request.getURI());
}
}  // namespace

Egress::Egress(event::EventLoop& loop, http::ConnectionPool& pool,
               const membership::InstanceRegistry& registry, const RouteSource& routes,
               std::unique_ptr<UpstreamTransport> transport, const EgressOptions& options)
    : routes_(routes),
      transport_(std::move(transport)),
      state_(loop, pool, registry, *transport_, *this, options) {}

int Egress::maxConnections(const ServiceName& service) const {
  const auto routeTable = routes_.routeTable();
  return routeTable ? routeTable->maxConnections(service) : 0;
}

void Egress::setProxyNodes(std::vector<ProxyNode> nodes, std::size_t everSeen) {
  state_.retryBudget.setNodeCount(everSeen);
  state_.subset.setNodes(std::move(nodes));
}

bool Egress::mayPipeline(const ServerExchange& exchange) const {
  const auto routeTable = routes_.routeTable();
  if (!routeTable || rejecting_) return false;
  const auto* route = findRoute(exchange, *routeTable);
  return route != nullptr && route->idempotent;
}

void Egress::handle(const ServerExchange::Ptr& exchange) {
  ++state_.stats.requests;
  const auto routeTable = routes_.routeTable();
  if (rejecting_ || !routeTable) {
    ++state_.stats.rejected;
    exchange->respondError(rejecting_ ? ErrorKind::shuttingDown : ErrorKind::noConfiguration);
    return;
  }
  const auto* route = findRoute(*exchange, *routeTable);
  if (route == nullptr) {
    // A node with an old configuration can't say that there is no such route.
    exchange->respondError(routes_.isUpToDate() ? ErrorKind::noRoute
                                                : ErrorKind::staleConfiguration);
    return;
  }
  // A client that closed while this process stood still has given the request up: nothing of it is
  // offered to any instance.
  if (exchange->clientHasClosed()) return;
  std::make_shared<EgressRequest>(state_, exchange, *route)->start(*route);
}

}  // namespace merlingauge::proxy
