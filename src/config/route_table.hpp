// chart: one version of the configuration, checked and laid out for look-ups. Never changed once
// made.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace merlingauge::config {

struct Route {
  std::string name;
  std::string pathPrefix;
  bool idempotent = false;
  Duration timeout{};
  Duration targetLatency{};
  int priority = 0;
  int maxAttempts = 1;
  struct WeightedService {
    ServiceName service;
    double weight;
  };
  std::vector<WeightedService> trafficSplit;
  // `draw` in [0, 1).
  [[nodiscard]] const ServiceName& pickService(double draw) const;
};

struct ClientLimits {
  std::size_t maxHeadBytes = 16384;
  std::uint64_t maxBodyBytes = 64ULL << 20;
  Duration headerTimeout = std::chrono::seconds(3);
  Duration idleTimeout = std::chrono::seconds(15);
};

class RouteTable {
 public:
  using Ptr = std::shared_ptr<const RouteTable>;
  // Either a chart or the reason why not.
  struct ParseResult {
    Ptr table;
    std::string error;
  };
  // `schema` false: the document has passed the schema before.
  static ParseResult parse(const nlohmann::json& config, bool schema = true);

  // The longest prefix among the host's routes; null if none.
  [[nodiscard]] const Route* findRoute(std::string_view host, std::string_view uri) const;
  [[nodiscard]] Revision revision() const { return revision_; }
  [[nodiscard]] const ClientLimits& limits() const { return limits_; }
  [[nodiscard]] std::size_t routeCount() const { return routes_.size(); }
  // 0 where the service names no bound.
  [[nodiscard]] int maxConnections(const ServiceName& service) const {
    const auto it = maxConnections_.find(service);
    return it == maxConnections_.end() ? 0 : it->second;
  }

 private:
  Revision revision_;
  ClientLimits limits_;
  std::unordered_map<ServiceName, int> maxConnections_;
  // Routes of a host by their prefix: a path is looked up once for each of its slashes.
  struct HostRoutes {
    std::unordered_map<std::string_view, std::size_t> byPrefix;
    std::size_t longestPrefix = 0;
  };
  std::unordered_map<std::string, HostRoutes> hosts_;
  std::deque<Route> routes_;
};

// The configuration that an Update makes of `base`; problem set where its shape is wrong.
struct UpdateResult {
  nlohmann::json config;
  std::string error;
};
UpdateResult applyUpdate(const nlohmann::json& base, const nlohmann::json& update);

}  // namespace merlingauge::config
