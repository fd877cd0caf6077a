// ingress: stands beside one server. Admits what other nodes send for it, refuses at once what it
// can't take, and carries the rest to the server.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "http/connection_pool.hpp"
#include "http/idle_timeout_estimator.hpp"
#include "http/server_exchange.hpp"
#include "membership/instance_registry.hpp"
#include "proxy/admission_queue.hpp"

namespace merlingauge::proxy {

struct IngressStats {
  std::uint64_t admitted = 0;
  std::uint64_t queued = 0;
  std::uint64_t overloaded = 0;
  std::uint64_t unavailable = 0;
  std::uint64_t unknownOutcome = 0;
};

class Ingress {
 public:
  struct Dependencies {
    event::EventLoop& loop;
    http::ConnectionPool& pool;
    std::string appAddress;
    // What this node itself has heard from that server in this life of the node.
    std::function<std::optional<membership::Instance>(const InstanceId&)> findInstance;
    Duration drainTimeout{};
    std::function<void(const InstanceId&)> onServerUnreachable;  // no connection comes up
    // Tenths of the server's answers that fail: told where it has changed much.
    std::function<void(const InstanceId&, int)> onFailureRate;
  };
  explicit Ingress(Dependencies parts);
  void handle(const http::ServerExchange::Ptr& exchange);
  // Tells the gate of a new word from a server; draining closes it in time.
  void onInstanceUpdate(const membership::Instance& server, TimePoint now);
  [[nodiscard]] const IngressStats& stats() const { return stats_; }
  [[nodiscard]] int running() const;
  // A node about to end takes nothing more: whoever asks is told to go elsewhere.
  void rejectNewRequests() { rejecting_ = true; }

 private:
  friend class IngressRequest;
  bool rejecting_ = false;
  struct InstanceGate {
    explicit InstanceGate(int slots) : queue(slots) {}
    AdmissionQueue queue;
    std::optional<TimePoint> closesAt;  // nothing new is passed on from here on
    std::map<AdmissionQueue::Ticket, std::weak_ptr<class IngressRequest>> waiting;
    event::EventLoop::TimerId timer = 0;
    double failureRate = 0;  // the share of its answers that fail, weighted to the newest
    int reportedTenths = 0;  // as last told
    TimePoint reportedAt;
  };
  void onServerResponse(const InstanceId& id, bool well);
  void applyTransitions(const InstanceId& id, const AdmissionQueue::Transitions& moves);
  void armTimer(const InstanceId& id, InstanceGate& gate);
  Dependencies dependencies_;
  std::map<InstanceId, InstanceGate> gates_;
  http::IdleTimeoutEstimator idleTimeouts_;
  std::uint64_t tickets_ = 0;
  IngressStats stats_;
};

}  // namespace merlingauge::proxy
