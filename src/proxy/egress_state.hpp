// egress_state.hpp: what the requests of one egress share.
#pragma once

#include <cstdint>

#include "base/ids.hpp"
#include "event/event_loop.hpp"
#include "http/connection_pool.hpp"
#include "http/idle_timeout_estimator.hpp"
#include "http/message_end.hpp"
#include "membership/instance_registry.hpp"
#include "proxy/d_adaptive_picker.hpp"
#include "proxy/endpoint_subset.hpp"
#include "proxy/endpoint_table.hpp"
#include "proxy/retry_budget.hpp"
#include "proxy/upstream_transport.hpp"

namespace merlingauge::proxy {

/// Counters since the start of the process.
struct EgressStats {
  std::uint64_t requests = 0;  ///< received
  std::uint64_t served = 0;    ///< ended with an instance's response
  std::uint64_t rejected = 0;  ///< ended with a response that promises "not executed"
  std::uint64_t failed = 0;    ///< ended otherwise: cut short, late, or with an unknown outcome
  std::uint64_t attempts = 0;  ///< sent to an instance or the node beside it
  http::MessageEndCounts responses;  ///< of attempts, from instances or the nodes beside them
};

struct EgressOptions {
  ServiceName callerService;  ///< of requests that begin on this machine; empty: of none
  NodeId self;
  ZoneName zone;
  bool gateway = false;  ///< instances are reached directly, and a subset of them is drawn from
  RetryBudgetOptions retryBudget;
  std::uint64_t seed = 0;  ///< of everything that is drawn at random here
};

/// Owned by the egress and used by its requests, which it outlives. Event-loop thread only.
struct EgressState {
  EgressState(event::EventLoop& eventLoop, http::ConnectionPool& connections,
              const membership::InstanceRegistry& registry, const UpstreamTransport& upstream,
              const ConnectionLimitSource& limits, const EgressOptions& settings)
      : loop(eventLoop),
        pool(connections),
        transport(upstream),
        options(settings),
        picker(settings.seed),
        retryBudget(settings.retryBudget),
        subset(registry, upstream, endpoints, limits,
               {settings.self, settings.zone, settings.gateway, settings.seed + 1}) {}

  event::EventLoop& loop;
  http::ConnectionPool& pool;
  const UpstreamTransport& transport;
  EgressOptions options;
  DAdaptivePicker picker;
  RetryBudget retryBudget;
  EndpointTable endpoints;
  EndpointSubset subset;  // refers to `endpoints`
  http::IdleTimeoutEstimator idleTimeouts;
  EgressStats stats;
  int inFlight = 0;  // requests that the client still waits for
};

}  // namespace merlingauge::proxy
