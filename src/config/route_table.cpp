#include "config/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>
#include <variant>

#include "config/config_schema.hpp"

namespace merlingauge::config {

using nlohmann::json;

namespace {

// An objective so far above the time-out can't be meant; the margin leaves room for sloppy ones.
constexpr double kTargetLatencyMarginSeconds = 60.0;

// The host of a Host header as it is looked up: without the port, in lower case.
std::string hostKey(std::string_view host) {
  std::string key(host.substr(0, host.find(':')));
  std::transform(key.begin(), key.end(), key.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return key;
}

DocumentError routeError(const std::string& name, std::string reason) {
  return {"route " + name, std::move(reason)};
}

std::vector<Route::WeightedService> readTrafficSplit(const json& rule) {
  std::vector<Route::WeightedService> split;
  if (rule.contains("traffic_split")) {
    for (const auto& share : rule["traffic_split"]) {
      split.push_back(
          {ServiceName(share["target_service"].get<std::string>()), share["weight"].get<double>()});
    }
  } else if (rule.contains("target_service")) {
    split.push_back({ServiceName(rule["target_service"].get<std::string>()), 1.0});
  }
  return split;
}

// A rule that fits the schema.
std::variant<Route, DocumentError> readRoute(const json& rule) {
  Route route;
  route.name = rule["name"].get<std::string>();
  route.pathPrefix = rule["path_prefix"].get<std::string>();
  route.idempotent = rule["route_type"] == "idempotent";
  const double timeoutSeconds = rule["timeout_s"].get<double>();
  const double targetSeconds = rule.value("target_latency_s", timeoutSeconds);
  if (targetSeconds >= timeoutSeconds + kTargetLatencyMarginSeconds) {
    return routeError(route.name, "target_latency_s lies far over timeout_s");
  }
  route.timeout = fromSeconds(timeoutSeconds);
  route.targetLatency = fromSeconds(targetSeconds);
  route.priority = rule.value("priority", 0);
  route.maxAttempts = rule["max_attempts"].get<int>();
  route.trafficSplit = readTrafficSplit(rule);
  if (route.trafficSplit.empty()) {
    return routeError(route.name, "neither target_service nor traffic_split");
  }
  return route;
}

}  // namespace

RouteTable::ParseResult RouteTable::parse(const json& config) {
  if (auto violation = schemaViolation(SchemaKind::configuration, config)) {
    return {nullptr, std::move(violation)};
  }
  return parseValidated(config);
}

RouteTable::ParseResult RouteTable::parseValidated(const json& config) {
  auto table = std::make_shared<RouteTable>();
  table->revision_ = Revision{config["revision"].get<std::int64_t>()};
  if (auto error = table->readServices(config["services"])) return {nullptr, std::move(error)};
  if (auto error = table->readRoutes(config["route_rules"])) return {nullptr, std::move(error)};
  if (config.contains("limits")) table->readLimits(config["limits"]);
  return {std::move(table), std::nullopt};
}

std::optional<DocumentError> RouteTable::readServices(const json& services) {
  for (const auto& service : services) {
    const auto name = service["name"].get<std::string>();
    const int maxConnections = service.value("max_connections", 0);
    if (!maxConnections_.emplace(ServiceName(name), maxConnections).second) {
      return DocumentError{"service " + name, "named twice"};
    }
  }
  return std::nullopt;
}

std::optional<DocumentError> RouteTable::readRoutes(const json& rules) {
  std::set<std::string> names;
  for (const auto& rule : rules) {
    auto read = readRoute(rule);
    if (auto* error = std::get_if<DocumentError>(&read)) return std::move(*error);
    auto& route = std::get<Route>(read);
    double weights = 0;
    for (const auto& share : route.trafficSplit) {
      if (!maxConnections_.contains(share.service)) {
        return routeError(route.name, "unknown service " + share.service.str());
      }
      weights += share.weight;
    }
    if (weights <= 0) return routeError(route.name, "the weights add up to nothing");
    if (!names.insert(route.name).second) return routeError(route.name, "named twice");
    if (auto error = addRoute(rule["hostname"].get<std::string>(), std::move(route))) return error;
  }
  return std::nullopt;
}

std::optional<DocumentError> RouteTable::addRoute(const std::string& hostname, Route route) {
  auto& host = hosts_[hostKey(hostname)];
  const auto index = routes_.size();
  const auto& added = routes_.emplace_back(std::move(route));
  host.prefixLengths.insert(added.pathPrefix.size());
  const auto [other, isNew] = host.indexByPrefix.emplace(added.pathPrefix, index);
  if (isNew) return std::nullopt;
  return DocumentError{"routes " + routes_[other->second].name + " and " + added.name,
                       "same host and prefix"};
}

void RouteTable::readLimits(const json& limits) {
  limits_.maxHeadBytes = limits.value("max_header_bytes", limits_.maxHeadBytes);
  limits_.maxBodyBytes = limits.value("max_body_bytes", limits_.maxBodyBytes);
  limits_.headerTimeout =
      fromSeconds(limits.value("header_timeout_s", toSeconds(limits_.headerTimeout)));
  limits_.idleTimeout = fromSeconds(limits.value("idle_timeout_s", toSeconds(limits_.idleTimeout)));
}

// One look-up for each length that a prefix of the host has, from the longest: their number doesn't
// grow with the slashes of the path.
const Route* RouteTable::findRoute(std::string_view host, std::string_view uri) const {
  const auto found = hosts_.find(hostKey(host));
  if (found == hosts_.end()) return nullptr;
  const auto& routes = found->second;
  const auto path = uri.substr(0, uri.find_first_of("?#"));
  const auto& lengths = routes.prefixLengths;
  for (auto next = lengths.upper_bound(path.size()); next != lengths.begin();) {
    const auto prefix = path.substr(0, *--next);
    if (!prefix.ends_with('/')) continue;
    const auto match = routes.indexByPrefix.find(prefix);
    if (match != routes.indexByPrefix.end()) return &routes_[match->second];
  }
  return nullptr;
}

int RouteTable::maxConnections(const ServiceName& service) const {
  const auto found = maxConnections_.find(service);
  return found == maxConnections_.end() ? 0 : found->second;
}

}  // namespace merlingauge::config
