#include "control/instance_operations.hpp"

#include <nlohmann/json.hpp>
#include <variant>

#include "control/json_response.hpp"
#include "control/logger.hpp"

namespace merlingauge::control {

using http::ServerExchange;
using membership::Instance;
using membership::InstanceRegistry;
using nlohmann::json;

InstanceOperations::InstanceOperations(event::EventLoop& loop, ControlApiHost& host,
                                       InstanceRegistry& registry)
    : loop_(loop), host_(host), registry_(registry) {}

void InstanceOperations::heartbeat(const ServerExchange::Ptr& exchange,
                                   const std::string& instanceId, const std::string& body) {
  const auto parsed = parseHeartbeat(instanceId, body);
  if (const auto* const error = std::get_if<RequestError>(&parsed)) {
    exchange->respondError(error->kind, error->detail);
    return;
  }
  const auto instance = std::get<HeartbeatRequest>(parsed).toInstance();
  // Asked before this heartbeat makes the instance one that this node reports.
  const auto target = host_.heartbeatTarget(instance.id);
  recordHeartbeat(instance);
  const auto known = registry_.findInstance(instance.id);
  if (known && known->status != Instance::Status::available) {
    acknowledgeWhenReplicated(exchange, instance.id);
    return;
  }
  json response = json::object();
  if (!target.empty()) response["heartbeat_target"] = target;
  respondWithJson(exchange, response.dump());
}

void InstanceOperations::recordHeartbeat(const Instance& instance) {
  const auto result = registry_.handleHeartbeat(instance, loop_.now());
  if (result == InstanceRegistry::HeartbeatResult::stale) return;
  if (const auto known = registry_.findInstance(instance.id)) host_.onInstanceUpdate(*known);
  if (result != InstanceRegistry::HeartbeatResult::changed) return;
  const bool draining = instance.status == Instance::Status::draining;
  logger().information("instance " + instance.id.str() +
                       (draining ? " is draining" : " is available"));
  host_.onRegistryChanged();
}

void InstanceOperations::deregister(const ServerExchange::Ptr& exchange,
                                    const std::string& instanceId) {
  const InstanceId id(instanceId);
  if (registry_.deregister(id, loop_.now())) {
    logger().information("instance " + instanceId + " is deregistered");
    if (const auto known = registry_.findInstance(id)) host_.onInstanceUpdate(*known);
    host_.onRegistryChanged();
  }
  acknowledgeWhenReplicated(exchange, id);
}

void InstanceOperations::acknowledgeWhenReplicated(const ServerExchange::Ptr& exchange,
                                                   const InstanceId& id) {
  host_.whenReplicated(id, [exchange](bool replicated) {
    if (replicated) {
      respondWithJson(exchange, "{}");
    } else {
      exchange->respondError(ErrorKind::noQuorum);
    }
  });
}

}  // namespace merlingauge::control
