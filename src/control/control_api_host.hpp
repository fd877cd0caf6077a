// control_api_host.hpp: what the control API asks of the node it runs on.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "base/ids.hpp"
#include "membership/instance_registry.hpp"

namespace merlingauge::control {

/// Implemented by the owner of a ControlApi, which must outlive it. Event-loop thread only.
class ControlApiHost {
 public:
  ControlApiHost() = default;
  virtual ~ControlApiHost() = default;
  ControlApiHost(const ControlApiHost&) = delete;
  ControlApiHost& operator=(const ControlApiHost&) = delete;
  ControlApiHost(ControlApiHost&&) = delete;
  ControlApiHost& operator=(ControlApiHost&&) = delete;

  /// The address (host:port) to which the instance should send its heartbeats from now on; empty:
  /// to this node.
  [[nodiscard]] virtual std::string heartbeatTarget(const InstanceId& id) const = 0;
  /// Calls `done` once: with true when what is known of the instance is held by enough nodes to
  /// survive the tolerated losses, with false when that can't be reached in time. May call before
  /// it returns.
  virtual void whenReplicated(const InstanceId& id, std::function<void(bool)> done) = 0;
  /// The state of an instance has been heard from itself; called before it is acknowledged.
  virtual void onInstanceUpdate(const membership::Instance& instance) = 0;
  /// The registry holds something new that other nodes should hear soon.
  virtual void onRegistryChanged() = 0;
  /// The document of GET /v1/Status.
  [[nodiscard]] virtual nlohmann::json status() = 0;
  /// The answer of GET /v1/readiness.
  [[nodiscard]] virtual bool isReady() const = 0;
};

}  // namespace merlingauge::control
