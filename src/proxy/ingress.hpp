// ingress.hpp: stands beside one instance and takes what other nodes send for it.
#pragma once

#include "http/server_exchange.hpp"
#include "proxy/ingress_state.hpp"

namespace merlingauge::proxy {

/// Lives as long as the process; event-loop thread only. The references must outlive it.
class Ingress {
 public:
  Ingress(event::EventLoop& loop, http::ConnectionPool& pool, LocalInstances& instances,
          const IngressOptions& options);

  /// Admits, queues or rejects a request that an egress has sent.
  void handle(const http::ServerExchange::Ptr& exchange);
  /// An instance has sent its state; draining closes its gate in time.
  void onInstanceUpdate(const membership::Instance& instance, TimePoint now);
  /// A node about to end takes nothing more: whoever asks is told to go elsewhere.
  void rejectNewRequests() { rejecting_ = true; }
  [[nodiscard]] const IngressStats& stats() const { return state_.stats; }
  /// Requests that run or wait here.
  [[nodiscard]] int running() const { return state_.gates.requestCount(); }

 private:
  [[nodiscard]] bool isOpen(const InstanceId& id) const;

  IngressState state_;
  bool rejecting_ = false;
};

}  // namespace merlingauge::proxy
