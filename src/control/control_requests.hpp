// control_requests.hpp: the bodies of the control API's calls, parsed and checked.
#pragma once

#include <string>
#include <variant>

#include "base/errors.hpp"
#include "control/config_change.hpp"
#include "membership/instance_registry.hpp"

namespace merlingauge::control {

/// Why a call is refused before anything is done.
struct RequestError {
  ErrorKind kind = ErrorKind::invalidJson;
  std::string detail;  ///< appended to the text of the kind; may be empty
};

/// POST /v1/Instances.Heartbeat/ID: an instance's report about itself.
struct HeartbeatRequest {
  InstanceId id;
  ServiceName service;
  std::string address;  ///< ip:port at which it serves
  ZoneName zone;
  int capacity = 1;  ///< requests that it serves at once
  bool draining = false;
  std::uint64_t sequence = 0;  ///< rises with each heartbeat of the instance
  bool warmingUp = false;

  /// The instance as the registry holds it; who reports it is left to the registry.
  [[nodiscard]] membership::Instance toInstance() const;
};

/// Errors: invalidJson.
std::variant<HeartbeatRequest, RequestError> parseHeartbeat(const std::string& instanceId,
                                                            const std::string& body);

/// POST /v1/Configuration.Replace or .Update. `baseRevision`: the header Base-Revision as sent.
/// Errors: invalidConfig. The document is parsed, but not yet checked: see `findViolation`.
std::variant<ConfigChange, RequestError> parseConfigChange(ConfigChange::Kind kind,
                                                           const std::string& baseRevision,
                                                           const std::string& body);

/// The first rule of its kind that the change breaks whatever it is applied to, in words for the
/// operator; empty where there is none.
std::string findViolation(const ConfigChange& change);

}  // namespace merlingauge::control
