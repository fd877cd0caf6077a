// status_report: the JSON document of /v1/Status.
#pragma once

#include <nlohmann/json.hpp>

#include "control/register_service.hpp"
#include "event/event_loop.hpp"
#include "gossip/gossip_service.hpp"
#include "http/connection_pool.hpp"
#include "membership/instance_registry.hpp"
#include "node/config_applier.hpp"
#include "node/control_node_liveness.hpp"
#include "node/readiness.hpp"
#include "node/settings.hpp"
#include "node/voter_set_observer.hpp"
#include "proxy/egress.hpp"
#include "proxy/ingress.hpp"
#include "rpc/peer_rpc.hpp"
#include "storage/durable_store.hpp"

namespace merlingauge::node {

/// The parts of the node that are reported on. All must outlive the report.
struct StatusSources {
  const event::EventLoop& loop;
  const Settings& settings;
  const membership::InstanceRegistry& registry;
  const control::RegisterService& registerService;
  const gossip::GossipService& gossip;
  const rpc::PeerRpc& rpc;
  const ConfigApplier& configApplier;
  const ControlNodeLiveness& controlNodes;
  const Readiness& readiness;
  VoterSetObserver& voterSet;
  const http::ConnectionPool& upstreamPool;  ///< of the egress
  const http::ConnectionPool& serverPool;    ///< of the ingress
  const storage::DurableStore* store;        ///< null on a node that holds no state
  const proxy::Egress* egress;               ///< null on a node without callers
  const proxy::Ingress* ingress;             ///< null on a node without a server beside it
  const http::ResponseInvariantCounters& invariants;
};

/// Keys and their meanings are described in docs/operations.md; operators' tools read them, so they
/// stay as they are, older words included. Event-loop thread only.
class StatusReport {
 public:
  explicit StatusReport(const StatusSources& sources) : sources_(sources) {}
  [[nodiscard]] nlohmann::json build() const;

 private:
  [[nodiscard]] nlohmann::json general() const;
  [[nodiscard]] nlohmann::json instances() const;
  [[nodiscard]] nlohmann::json nodes() const;
  [[nodiscard]] nlohmann::json peerTraffic() const;
  [[nodiscard]] nlohmann::json egress() const;
  [[nodiscard]] nlohmann::json egressServices() const;
  [[nodiscard]] nlohmann::json ingress() const;
  [[nodiscard]] nlohmann::json violations() const;

  StatusSources sources_;
};

}  // namespace merlingauge::node
