// ingress_state.hpp: what the requests of one ingress share.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "event/event_loop.hpp"
#include "http/connection_pool.hpp"
#include "http/idle_timeout_estimator.hpp"
#include "http/message_end.hpp"
#include "membership/instance_registry.hpp"
#include "proxy/instance_gates.hpp"

namespace merlingauge::proxy {

/// Counters since the start of the process.
struct IngressStats {
  std::uint64_t admitted = 0;        ///< passed on to the instance
  std::uint64_t queued = 0;          ///< had to wait for a slot
  std::uint64_t overloaded = 0;      ///< rejected on arrival: no slot, and no use in waiting
  std::uint64_t unavailable = 0;     ///< rejected: draining, unknown here, or not to be reached
  std::uint64_t unknownOutcome = 0;  ///< passed on, and no whole response came
  http::MessageEndCounts responses;  ///< from the instance beside this node
};

/// What the ingress asks and tells its node about the instances beside it.
class LocalInstances {
 public:
  virtual ~LocalInstances() = default;
  /// What this incarnation of the node itself has heard from the instance.
  [[nodiscard]] virtual std::optional<membership::Instance> findInstance(
      const InstanceId& id) const = 0;
  /// No connection to the instance comes up.
  virtual void onUnreachable(const InstanceId& id) = 0;
  /// Its failure rate has changed much. `tenths`: of its responses.
  virtual void onFailureRate(const InstanceId& id, int tenths) = 0;
};

struct IngressOptions {
  std::string appAddress;   ///< host:port of the instance beside this node
  Duration drainTimeout{};  ///< from the acknowledgement of a drain to the instance's end
};

/// Owned by the ingress and used by its requests, which it outlives. Event-loop thread only.
struct IngressState {
  event::EventLoop& loop;
  http::ConnectionPool& pool;
  LocalInstances& instances;
  IngressOptions options;
  InstanceGates gates;
  http::IdleTimeoutEstimator idleTimeouts;
  AdmissionQueue::Ticket lastTicket = 0;
  IngressStats stats;
};

}  // namespace merlingauge::proxy
