// node: one node of the system, put together from its parts.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "consensus/staleness_bound.hpp"
#include "control/control_api.hpp"
#include "control/register_observer.hpp"
#include "control/register_service.hpp"
#include "event/event_loop.hpp"
#include "gossip/gossip_service.hpp"
#include "http/connection_pool.hpp"
#include "membership/instance_registry.hpp"
#include "node/config_applier.hpp"
#include "node/control_api_bindings.hpp"
#include "node/control_node_liveness.hpp"
#include "node/failure_detector.hpp"
#include "node/gossip_environment.hpp"
#include "node/graceful_shutdown.hpp"
#include "node/heartbeat_router.hpp"
#include "node/lifecycle.hpp"
#include "node/listeners.hpp"
#include "node/metrics_endpoint.hpp"
#include "node/metrics_report.hpp"
#include "node/peer_endpoint.hpp"
#include "node/proxy_bindings.hpp"
#include "node/proxy_node_feed.hpp"
#include "node/readiness.hpp"
#include "node/replication_waiter.hpp"
#include "node/settings.hpp"
#include "node/startup_throttle.hpp"
#include "node/status_report.hpp"
#include "node/voter_role.hpp"
#include "node/voter_set_observer.hpp"
#include "proxy/egress.hpp"
#include "proxy/ingress.hpp"
#include "rpc/peer_rpc.hpp"
#include "storage/durable_store.hpp"

namespace merlingauge::node {

/// Owns the parts of one node and connects them; decides nothing itself. Exists as long as the
/// process. Event-loop thread only; the loop must outlive it.
class Node : private control::RegisterObserver, private gossip::GossipObserver {
 public:
  /// Opens the listeners and, on a control node, the store. Throws where that fails.
  Node(event::EventLoop& loop, Settings settings, std::string settingsPath);
  ~Node() override;
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  Node(Node&&) = delete;
  Node& operator=(Node&&) = delete;

  /// Begins the periodic work. Called once, before the loop runs.
  void start();
  /// Begins the graceful shutdown, on SIGTERM; it ends by stopping the loop.
  void stop();
  /// Reads the settings file again, on SIGHUP. Settings that can't be used are logged and dropped.
  void reloadSettings();

 private:
  void onCommitted(const consensus::RegisterValue& value) override;
  void onNodesChanged() override;
  void onPeerProgress() override;
  void onFirstContact(const NodeId& peer) override;
  void onLeaseChange(bool held) override;
  [[nodiscard]] StatusSources statusSources();
  [[nodiscard]] std::unique_ptr<storage::DurableStore> openStore();
  [[nodiscard]] std::unique_ptr<proxy::Egress> createEgress();
  [[nodiscard]] std::unique_ptr<proxy::Ingress> createIngress();
  [[nodiscard]] control::ConfigChangeLimits configChangeLimits() const;
  void tick();

  event::EventLoop& loop_;
  Settings settings_;
  std::string settingsPath_;
  std::uint64_t seed_;  // another one in each run; each part that draws has its own from it
  Lifecycle lifecycle_;

  std::shared_ptr<http::ResponseInvariantCounters> invariants_ =
      std::make_shared<http::ResponseInvariantCounters>();

  // What the node knows and how it talks to others. Later members refer to earlier ones.
  http::ConnectionPool upstreamPool_;  // of the egress
  http::ConnectionPool serverPool_;    // of the ingress
  rpc::PeerRpc rpc_;
  GossipEnvironment gossipEnvironment_;
  membership::InstanceRegistry registry_;
  consensus::StalenessBound stalenessBound_;
  std::unique_ptr<storage::DurableStore> store_;  // null: this node holds no state
  control::RegisterService registerService_;
  gossip::GossipService gossip_;

  // Requests.
  ConfigApplier configApplier_;
  EgressBindings egressBindings_;
  IngressBindings ingressBindings_;
  std::unique_ptr<proxy::Egress> egress_;    // null on a node without callers
  std::unique_ptr<proxy::Ingress> ingress_;  // null on a node without a server beside it
  TimePoint nextLoadExpiryAt_;
  ProxyNodeFeed proxyNodes_;

  // Decisions about other nodes and instances.
  ControlNodeLiveness controlNodes_;
  StartupThrottle startupThrottle_;
  FailureDetector failureDetector_;
  ReplicationWaiter replicationWaiter_;
  HeartbeatRouter heartbeatRouter_;
  VoterSetObserver voterSet_;
  VoterRole voterRole_;

  // What others can ask of this node.
  Readiness readiness_;
  StatusReport statusReport_;
  ControlApiBindings controlApiBindings_;
  control::ControlApi controlApi_;
  PeerEndpoint peerEndpoint_;
  Listeners listeners_;
  MetricsReport metricsReport_;
  MetricsEndpoint metricsEndpoint_;
  GracefulShutdown shutdown_;
};

}  // namespace merlingauge::node
