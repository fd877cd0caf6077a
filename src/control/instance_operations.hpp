// instance_operations.hpp: the control API's calls of server instances.
#pragma once

#include <string>

#include "control/control_api_host.hpp"
#include "control/control_requests.hpp"
#include "event/event_loop.hpp"
#include "http/server_exchange.hpp"
#include "membership/instance_registry.hpp"

namespace merlingauge::control {

/// Takes heartbeats and deregistrations into the registry. An instance that drains or leaves is
/// acknowledged only once that is replicated: until then it must go on serving. Event-loop thread
/// only; all references must outlive it.
class InstanceOperations {
 public:
  InstanceOperations(event::EventLoop& loop, ControlApiHost& host,
                     membership::InstanceRegistry& registry);

  void heartbeat(const http::ServerExchange::Ptr& exchange, const std::string& instanceId,
                 const std::string& body);
  void deregister(const http::ServerExchange::Ptr& exchange, const std::string& instanceId);

 private:
  void recordHeartbeat(const membership::Instance& instance);
  void acknowledgeWhenReplicated(const http::ServerExchange::Ptr& exchange, const InstanceId& id);

  event::EventLoop& loop_;
  ControlApiHost& host_;
  membership::InstanceRegistry& registry_;
};

}  // namespace merlingauge::control
