#include "node/heartbeat_router.hpp"

namespace merlingauge::node {

HeartbeatRouter::HeartbeatRouter(const Settings& settings, const Lifecycle& lifecycle,
                                 const membership::InstanceRegistry& registry,
                                 const ControlNodeLiveness& controlNodes)
    : settings_(settings),
      lifecycle_(lifecycle),
      registry_(registry),
      controlNodes_(controlNodes) {}

std::optional<std::string> HeartbeatRouter::targetFor(const InstanceId& id) const {
  if (settings_.hasIngress() || settings_.controlPort == 0) return std::nullopt;
  if (!controlNodes_.mayActForOthers()) return std::nullopt;
  const auto known = registry_.findInstance(id);
  const bool reportsHere = known && !known->unresponsive && known->reporter == settings_.nodeId;
  if (reportsHere && !lifecycle_.isShuttingDown()) return std::nullopt;
  const auto target = controlNodes_.firstLiveFor(id);
  if (target.empty() || target == settings_.nodeId) return std::nullopt;
  // It should report there, does so, and has come here all the same: it has just failed there.
  if (known && known->reporter == target) return std::nullopt;
  return target.str() + ":" + std::to_string(settings_.controlPort);
}

}  // namespace merlingauge::node
