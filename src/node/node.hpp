// warden: one node. Puts the parts together and runs them from start to stop.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/route_table.hpp"
#include "control/control_api.hpp"
#include "control/register_service.hpp"
#include "event/event_loop.hpp"
#include "gossip/gossip_service.hpp"
#include "http/client_exchange.hpp"
#include "http/server_connection.hpp"
#include "membership/instance_registry.hpp"
#include "node/settings.hpp"
#include "proxy/egress.hpp"
#include "proxy/ingress.hpp"
#include "rpc/peer_rpc.hpp"
#include "storage/durable_store.hpp"

namespace merlingauge::node {

class Node : private control::RegisterObserver, private control::ControlApiHost {
 public:
  Node(event::EventLoop& loop, Settings settings, std::string settingsPath);
  ~Node() override;
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  void start();
  void stop();            // SIGTERM
  void reloadSettings();  // SIGHUP

 private:
  void openListeners();
  void tick();
  void maintainVoterSet();
  [[nodiscard]] consensus::VoterSetView voterSetView();
  [[nodiscard]] bool hasHandedOver();
  void onCommitted(const consensus::RegisterValue& value) override;
  void whenReplicated(const InstanceId& id, std::function<void(bool)> done) override;
  void checkReplicationWaits();
  [[nodiscard]] std::string heartbeatTarget(const InstanceId& id) const override;
  void onInstanceUpdate(const membership::Instance& instance) override;
  void onRegistryChanged() override;
  [[nodiscard]] NodeId firstLiveControlNode(const InstanceId& id) const;
  [[nodiscard]] bool isLiveControlNode(const NodeId& node) const;
  void detectNodeFailures();
  void onNodesChanged();
  void handlePeerRequest(const http::ServerExchange::Ptr& exchange);
  void continueShutdown();
  void applyLimits();
  [[nodiscard]] bool isReady() const override;
  [[nodiscard]] bool mayAct() const;
  void checkUpToDate();
  [[nodiscard]] nlohmann::json status() override;
  [[nodiscard]] nlohmann::json controlCounts() const;

  event::EventLoop& loop_;
  Settings settings_;
  std::string settingsPath_;
  bool isControlNode_;
  std::uint64_t seed_;
  http::ConnectionPool upstreamPool_;
  http::ConnectionPool serverPool_;
  rpc::PeerRpc rpc_;
  membership::InstanceRegistry registry_;
  consensus::StalenessBound stalenessBound_;
  std::unique_ptr<storage::DurableStore> store_;
  std::unique_ptr<control::RegisterService> registerService_;
  std::unique_ptr<gossip::GossipService> gossip_;
  std::unique_ptr<control::ControlApi> controlApi_;
  std::unique_ptr<proxy::Egress> egress_;
  std::unique_ptr<proxy::Ingress> ingress_;
  std::unique_ptr<http::HttpListener> egressListener_;
  std::unique_ptr<http::HttpListener> ingressListener_;
  std::unique_ptr<http::HttpListener> readinessListener_;
  std::unique_ptr<http::HttpListener> controlListener_;
  std::unique_ptr<http::HttpListener> peerListener_;
  config::RouteTable::Ptr routeTable_;
  std::optional<TimePoint> shutdownSince_;
  std::map<NodeId, TimePoint> controlNodeFirstSeen_;
  TimePoint tickedAt_;
  TimePoint listeningSince_;  // before that this process stood still and heard nobody
  struct ReplicationWait {
    InstanceId id;
    std::function<void(bool)> done;
    TimePoint deadline;
  };
  std::vector<ReplicationWait> replicationWaits_;
  std::set<NodeId> suspected_;  // found silent from here, and not heard since
  // Nodes that are quiet here: one that denies it by a higher incarnation is left alone for a
  // while.
  struct SilentNode {
    std::uint64_t infoVersion = 0;
    TimePoint ignoreUntil;
  };
  std::map<NodeId, SilentNode> silentNodes_;
  std::uint64_t nodeChangesSeen_ = 0;  // the change of nodes that the egress has been told of
  TimePoint sweepAt_;
  TimePoint startedAt_;
  std::optional<TimePoint> firstConfigAt_;  // when this life first had a configuration
  bool wasUpToDate_ = false;                // in this life; what is in force here is no old one's
  TimePoint incompatibleLoggedAt_;          // when a foreign message was last logged
};

}  // namespace merlingauge::node
