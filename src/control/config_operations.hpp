// config_operations.hpp: the control API's calls of operators that change or read the
// configuration.
#pragma once

#include <string>

#include "control/config_change.hpp"
#include "control/register_service.hpp"
#include "http/server_exchange.hpp"

namespace merlingauge::control {

/// Each call is one proposal to the register. Event-loop thread only; the service must outlive it.
class ConfigOperations {
 public:
  ConfigOperations(RegisterService& registerService, const ConfigChangeLimits& limits);

  /// Configuration.Replace and Configuration.Update.
  void change(const http::ServerExchange::Ptr& exchange, ConfigChange::Kind kind,
              const std::string& body);
  /// Configuration.Describe: a quorum read, never older than what was acknowledged before.
  void describe(const http::ServerExchange::Ptr& exchange);

 private:
  RegisterService& registerService_;
  ConfigChangeLimits limits_;
};

}  // namespace merlingauge::control
