// proxy_bindings.hpp: connects the egress and the ingress to the parts of their node.
#pragma once

#include <optional>

#include "event/event_loop.hpp"
#include "gossip/gossip_service.hpp"
#include "membership/instance_registry.hpp"
#include "node/config_applier.hpp"
#include "proxy/egress.hpp"
#include "proxy/ingress.hpp"

namespace merlingauge::node {

/// The configuration in force, for the egress. Event-loop thread only; what it refers to must
/// outlive it.
class EgressBindings : public proxy::RouteSource {
 public:
  EgressBindings(const ConfigApplier& configApplier, const gossip::GossipService& gossip)
      : configApplier_(configApplier), gossip_(gossip) {}
  [[nodiscard]] config::RouteTable::Ptr routeTable() const override {
    return configApplier_.routeTable();
  }
  [[nodiscard]] bool isUpToDate() const override { return gossip_.isUpToDate(); }

 private:
  const ConfigApplier& configApplier_;
  const gossip::GossipService& gossip_;
};

/// The instances beside this node, for the ingress: what it observes of them goes into the registry
/// and to the other nodes. Event-loop thread only; what it refers to must outlive it.
class IngressBindings : public proxy::LocalInstances {
 public:
  IngressBindings(event::EventLoop& loop, membership::InstanceRegistry& registry,
                  gossip::GossipService& gossip)
      : loop_(loop), registry_(registry), gossip_(gossip) {}
  [[nodiscard]] std::optional<membership::Instance> findInstance(
      const InstanceId& id) const override {
    return registry_.findReportedHere(id);
  }
  void onUnreachable(const InstanceId& id) override {
    if (registry_.markUnresponsive(id, loop_.now())) gossip_.notifyUpdate();
  }
  void onFailureRate(const InstanceId& id, int tenths) override {
    if (registry_.setFailingTenths(id, tenths)) gossip_.notifyUpdate();
  }

 private:
  event::EventLoop& loop_;
  membership::InstanceRegistry& registry_;
  gossip::GossipService& gossip_;
};

}  // namespace merlingauge::node
