// route_table: one revision of the configuration, checked and laid out for look-ups.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "config/document_error.hpp"
#include "config/route.hpp"

namespace merlingauge::config {

/// What a listener accepts from clients. The defaults hold where a configuration names none.
struct ClientLimits {
  std::size_t maxHeadBytes = 16384;
  std::uint64_t maxBodyBytes = 64ULL << 20;
  Duration headerTimeout = std::chrono::seconds(3);  ///< for a request's head to arrive
  Duration idleTimeout = std::chrono::seconds(15);   ///< between the requests of a connection
};

/// Immutable once made; shared by whoever still serves a request by it.
class RouteTable {
 public:
  using Ptr = std::shared_ptr<const RouteTable>;
  struct ParseResult {
    Ptr table;  ///< null where there is an error
    std::optional<DocumentError> error;
  };
  /// Checks a configuration by its schema and by the rules between its items.
  static ParseResult parse(const nlohmann::json& config);
  /// The same for a configuration that is known to fit its schema, as a committed one is. The
  /// behaviour for any other is undefined.
  static ParseResult parseValidated(const nlohmann::json& config);

  /// The route of the host (upper or lower case, with or without a port) whose prefix is the
  /// longest that the path of `uri` starts with; null if none.
  [[nodiscard]] const Route* findRoute(std::string_view host, std::string_view uri) const;
  [[nodiscard]] Revision revision() const { return revision_; }
  [[nodiscard]] const ClientLimits& limits() const { return limits_; }
  [[nodiscard]] std::size_t routeCount() const { return routes_.size(); }
  /// Connections to one endpoint of the service at the most; 0: the service names no bound.
  [[nodiscard]] int maxConnections(const ServiceName& service) const;

 private:
  // The routes of one host. The keys point into routes_.
  struct HostRoutes {
    std::unordered_map<std::string_view, std::size_t> indexByPrefix;
    std::set<std::size_t> prefixLengths;  // in bytes
  };

  std::optional<DocumentError> readServices(const nlohmann::json& services);
  std::optional<DocumentError> readRoutes(const nlohmann::json& rules);
  std::optional<DocumentError> addRoute(const std::string& hostname, Route route);
  void readLimits(const nlohmann::json& limits);

  Revision revision_;
  ClientLimits limits_;
  std::unordered_map<ServiceName, int> maxConnections_;  // every service of the configuration
  std::unordered_map<std::string, HostRoutes> hosts_;    // by host name in lower case
  std::deque<Route> routes_;                             // a deque: its elements never move
};

}  // namespace merlingauge::config
