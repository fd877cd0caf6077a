// route: one routing rule of a configuration.
#pragma once

#include <string>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace merlingauge::config {

/// Where requests of one host and path prefix go, and how they are treated. Immutable once its
/// RouteTable is made.
struct Route {
  std::string name;          ///< unique in its configuration
  std::string pathPrefix;    ///< starts and ends with a slash
  bool idempotent = false;   ///< a request may be sent again though it may have been executed
  Duration timeout{};        ///< for a request with all its attempts
  Duration targetLatency{};  ///< latency objective; by default the time-out
  int priority = 0;          ///< of its requests under overload; higher is kept longer
  int maxAttempts = 1;

  struct WeightedService {
    ServiceName service;
    double weight = 0;  ///< relative to the sum of the route's weights
  };
  std::vector<WeightedService> trafficSplit;  ///< never empty; the weights add up to more than 0

  /// The service for one request. `draw`: uniform in [0, 1).
  [[nodiscard]] const ServiceName& pickService(double draw) const;
};

}  // namespace merlingauge::config
