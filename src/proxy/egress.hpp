// egress: takes requests from callers and carries out what their ascents decide, over connections
// to the nodes beside the servers or, in a gateway, to the servers themselves.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "config/route_table.hpp"
#include "http/connection_pool.hpp"
#include "http/idle_timeout_estimator.hpp"
#include "http/server_exchange.hpp"
#include "membership/instance_registry.hpp"
#include "proxy/attempt_planner.hpp"
#include "proxy/endpoint_subset.hpp"
#include "proxy/load_tracker.hpp"
#include "proxy/upstream_transport.hpp"

namespace merlingauge::proxy {

struct EgressStats {
  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t attempts = 0;
  std::uint64_t samples = 0;
};

class Egress {
 public:
  struct Dependencies {
    event::EventLoop& loop;
    http::ConnectionPool& pool;
    const membership::InstanceRegistry& registry;
    std::function<config::RouteTable::Ptr()> routeTable;
    std::function<bool()> isUpToDate;  // the configuration here is as new as anyone's
    std::unique_ptr<UpstreamTransport> transport;
    ServiceName callerService;  // of requests that begin on this machine; empty: of none
    NodeId self;
    ZoneName zone;
    bool gateway = false;
    RetryBudgetOptions retryBudget;
    std::uint64_t seed = 0;
  };
  explicit Egress(Dependencies parts);
  void handle(const http::ServerExchange::Ptr& exchange);
  // May this request run before those ahead of it on its connection are answered?
  [[nodiscard]] bool mayPipeline(const http::ServerExchange& exchange) const;
  // Nodes that carry traffic, and how many were ever heard of.
  void setProxyNodes(std::vector<ProxyNode> nodes, std::size_t ever) {
    retryBudget_.setNodeCount(ever);
    subset_.setNodes(std::move(nodes));
  }
  void expireLoads(TimePoint now) { loadTracker_.expireUnused(now); }
  [[nodiscard]] auto subsetViews(TimePoint now) const { return subset_.views(now); }
  void rejectNewRequests(bool on) { rejecting_ = on; }
  [[nodiscard]] const EgressStats& stats() const { return stats_; }
  [[nodiscard]] int inFlight() const { return inFlight_; }

 private:
  friend class EgressRequest;
  const config::Route* findRoute(const http::ServerExchange& exchange,
                                 const config::RouteTable& routeTable) const;
  Dependencies dependencies_;
  DAdaptivePicker picker_;
  RetryBudget retryBudget_;
  LoadTracker loadTracker_;
  EndpointSubset subset_;
  http::IdleTimeoutEstimator idleTimeouts_;
  EgressStats stats_;
  int inFlight_ = 0;
  bool rejecting_ = false;
};

}  // namespace merlingauge::proxy
