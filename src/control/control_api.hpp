// control_api.hpp: the HTTP calls of server instances and operators, dispatched to their handlers.
#pragma once

#include <string>

#include "control/config_change.hpp"
#include "control/config_operations.hpp"
#include "control/control_api_host.hpp"
#include "control/instance_operations.hpp"
#include "control/register_service.hpp"
#include "event/event_loop.hpp"
#include "http/server_exchange.hpp"
#include "membership/instance_registry.hpp"

namespace merlingauge::control {

/// Serves the /v1/ paths of the control listener and of the readiness listener. Event-loop thread
/// only; all references must outlive it.
class ControlApi {
 public:
  ControlApi(event::EventLoop& loop, ControlApiHost& host, RegisterService& registerService,
             membership::InstanceRegistry& registry, const ConfigChangeLimits& limits);

  /// Answers the exchange, at once or later. The table of operations is in the .cpp.
  void handle(const http::ServerExchange::Ptr& exchange);

 private:
  struct Call;
  struct Operation;
  static const Operation kOperations[];

  void heartbeat(const Call& call);
  void deregister(const Call& call);
  void replaceConfiguration(const Call& call);
  void updateConfiguration(const Call& call);
  void describeConfiguration(const Call& call);
  void status(const Call& call);
  void readiness(const Call& call);

  ControlApiHost& host_;
  InstanceOperations instances_;
  ConfigOperations configuration_;
};

}  // namespace merlingauge::control
