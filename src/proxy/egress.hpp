// egress.hpp: takes requests from clients and starts each on its way to an instance.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "config/route_table.hpp"
#include "http/server_exchange.hpp"
#include "proxy/egress_state.hpp"

namespace merlingauge::proxy {

/// Where the egress has its configuration from.
class RouteSource {
 public:
  virtual ~RouteSource() = default;
  /// The routes in force; null: this node has none yet.
  [[nodiscard]] virtual config::RouteTable::Ptr routeTable() const = 0;
  /// This node knows of no newer configuration than its own.
  [[nodiscard]] virtual bool isUpToDate() const = 0;
};

/// Lives as long as the process; event-loop thread only. The references must outlive it.
class Egress : private ConnectionLimitSource {
 public:
  Egress(event::EventLoop& loop, http::ConnectionPool& pool,
         const membership::InstanceRegistry& registry, const RouteSource& routes,
         std::unique_ptr<UpstreamTransport> transport, const EgressOptions& options);

  void handle(const http::ServerExchange::Ptr& exchange);
  /// May this request run before those ahead of it on its connection are answered?
  ///
  /// Invariant (docs/design.md, "What holds on every connection"): bytes of a request that may not
  /// be repeated are offered to one instance at most. A pipelined request may have to be abandoned
  /// when one ahead of it ends the connection, so only idempotent ones run ahead.
  [[nodiscard]] bool mayPipeline(const http::ServerExchange& exchange) const;
  /// `nodes`: those that carry traffic now; `everSeen`: how many were ever heard of, for the share
  /// in the retry budget.
  void setProxyNodes(std::vector<ProxyNode> nodes, std::size_t everSeen);
  /// Forgets what was observed of instances that aren't used any more.
  void expireLoads(TimePoint now) { state_.endpoints.expireUnused(now); }
  [[nodiscard]] auto subsetViews(TimePoint now) const { return state_.subset.views(now); }
  /// While on, new requests are rejected: the node shuts down.
  void rejectNewRequests(bool on) { rejecting_ = on; }
  [[nodiscard]] const EgressStats& stats() const { return state_.stats; }
  /// Requests that a client still waits for.
  [[nodiscard]] int inFlight() const { return state_.inFlight; }

 private:
  [[nodiscard]] int maxConnections(const ServiceName& service) const override;

  const RouteSource& routes_;
  std::unique_ptr<UpstreamTransport> transport_;
  EgressState state_;  // refers to `*transport_`
  bool rejecting_ = false;
};

}  // namespace merlingauge::proxy
