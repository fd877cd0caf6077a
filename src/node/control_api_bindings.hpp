// control_api_bindings: connects the control API to the parts of the node that answer it.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "base/ids.hpp"
#include "control/control_api_host.hpp"
#include "event/event_loop.hpp"
#include "gossip/gossip_service.hpp"
#include "membership/instance_registry.hpp"
#include "node/heartbeat_router.hpp"
#include "node/readiness.hpp"
#include "node/replication_waiter.hpp"
#include "node/status_report.hpp"
#include "proxy/ingress.hpp"

namespace merlingauge::node {

/// All that it refers to must outlive it.
struct ControlApiParts {
  const event::EventLoop& loop;
  const HeartbeatRouter& heartbeatRouter;
  const Readiness& readiness;
  const StatusReport& statusReport;
  ReplicationWaiter& replicationWaiter;
  gossip::GossipService& gossip;
  proxy::Ingress* ingress;  ///< null on a node without a server beside it
};

/// Forwards each question of the control API to the part that decides it; decides nothing itself.
class ControlApiBindings final : public control::ControlApiHost {
 public:
  explicit ControlApiBindings(const ControlApiParts& parts) : parts_(parts) {}

  [[nodiscard]] std::string heartbeatTarget(const InstanceId& id) const override {
    return parts_.heartbeatRouter.targetFor(id).value_or("");
  }
  void whenReplicated(const InstanceId& id, std::function<void(bool)> done) override {
    parts_.replicationWaiter.whenReplicated(id, parts_.loop.now(), std::move(done));
  }
  void onInstanceUpdate(const membership::Instance& instance) override {
    if (parts_.ingress != nullptr) parts_.ingress->onInstanceUpdate(instance, parts_.loop.now());
  }
  void onRegistryChanged() override { parts_.gossip.notifyUpdate(); }
  [[nodiscard]] nlohmann::json status() override { return parts_.statusReport.build(); }
  [[nodiscard]] bool isReady() const override { return parts_.readiness.isReady(); }

 private:
  ControlApiParts parts_;
};

}  // namespace merlingauge::node
