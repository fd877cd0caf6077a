#include "config/route_table.hpp"

#include <algorithm>
#include <map>
#include <set>

#include "config/config_schema.hpp"

namespace merlingauge::config {

using nlohmann::json;

namespace {

std::string hostKey(std::string_view host) {
  host = host.substr(0, host.find(':'));
  std::string key(host);
  std::transform(key.begin(), key.end(), key.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return key;
}

constexpr double kTargetSlack = 60.0;

// One route of a document that has passed the schema; empty where it is sound.
std::string readRoute(const json& rule, const std::set<std::string>& services, Route& route) {
  route.name = rule["name"].get<std::string>();
  route.pathPrefix = rule["path_prefix"].get<std::string>();
  route.idempotent = rule["route_type"] == "idempotent";
  const double timeout = rule["timeout_s"].get<double>();
  const double target = rule.value("target_latency_s", timeout);
  if (target >= timeout + kTargetSlack) {
    return "route " + route.name + ": target_latency_s lies far over timeout_s";
  }
  route.timeout = fromSeconds(timeout);
  route.targetLatency = fromSeconds(target);
  route.priority = rule.value("priority", 0);
  route.maxAttempts = rule["max_attempts"].get<int>();
  if (rule.contains("traffic_split")) {
    for (const auto& share : rule["traffic_split"]) {
      route.trafficSplit.push_back(
          {ServiceName(share["target_service"].get<std::string>()), share["weight"].get<double>()});
    }
  } else if (rule.contains("target_service")) {
    route.trafficSplit.push_back({ServiceName(rule["target_service"].get<std::string>()), 1.0});
  } else {
    return "route " + route.name + ": neither target_service nor traffic_split";
  }
  double sum = 0;
  for (const auto& share : route.trafficSplit) {
    if (!services.contains(share.service.str())) {
      return "route " + route.name + ": unknown service " + share.service.str();
    }
    sum += share.weight;
  }
  return sum > 0 ? "" : "route " + route.name + ": the weights add up to nothing";
}

}  // namespace

const ServiceName& Route::pickService(double draw) const {
  double sum = 0;
  for (const auto& share : trafficSplit) sum += share.weight;
  double left = draw * sum;
  for (const auto& share : trafficSplit) {
    left -= share.weight;
    if (left < 0) return share.service;
  }
  return trafficSplit.back().service;
}

RouteTable::ParseResult RouteTable::parse(const json& config, bool schema) {
  if (schema) {
    auto problem = schemaViolation(SchemaKind::configuration, config);
    if (!problem.empty()) return {nullptr, problem};
  }
  auto routeTable = std::make_shared<RouteTable>();
  routeTable->revision_ = Revision{config["revision"].get<std::int64_t>()};
  std::set<std::string> services;
  for (const auto& service : config["services"]) {
    const auto name = service["name"].get<std::string>();
    if (!services.insert(name).second) return {nullptr, "service " + name + ": named twice"};
    routeTable->maxConnections_[ServiceName(name)] = service.value("max_connections", 0);
  }
  std::set<std::string> names;
  for (const auto& rule : config["route_rules"]) {
    Route route;
    if (auto problem = readRoute(rule, services, route); !problem.empty()) {
      return {nullptr, problem};
    }
    if (!names.insert(route.name).second) return {nullptr, "route " + route.name + ": named twice"};
    auto& host = routeTable->hosts_[hostKey(rule["hostname"].get<std::string>())];
    routeTable->routes_.push_back(std::move(route));
    const auto& kept = routeTable->routes_.back();
    host.longestPrefix = std::max(host.longestPrefix, kept.pathPrefix.size());
    const auto [other, fresh] =
        host.byPrefix.emplace(kept.pathPrefix, routeTable->routes_.size() - 1);
    if (!fresh) {
      return {nullptr, "routes " + routeTable->routes_[other->second].name + " and " + kept.name +
                           ": same host and prefix"};
    }
  }
  if (config.contains("limits")) {
    const auto& limits = config["limits"];
    auto& out = routeTable->limits_;
    out.maxHeadBytes = limits.value("max_header_bytes", out.maxHeadBytes);
    out.maxBodyBytes = limits.value("max_body_bytes", out.maxBodyBytes);
    out.headerTimeout = fromSeconds(limits.value("header_timeout_s", toSeconds(out.headerTimeout)));
    out.idleTimeout = fromSeconds(limits.value("idle_timeout_s", toSeconds(out.idleTimeout)));
  }
  return {routeTable, ""};
}

const Route* RouteTable::findRoute(std::string_view host, std::string_view uri) const {
  const auto it = hosts_.find(hostKey(host));
  if (it == hosts_.end()) return nullptr;
  const auto path = uri.substr(0, uri.find_first_of("?#"));
  const auto& routes = it->second;
  // A prefix ends with a slash: from the last one within reach to the first.
  auto end = std::min(path.size(), routes.longestPrefix);
  while (end > 0) {
    const auto slash = path.rfind('/', end - 1);
    if (slash == std::string_view::npos) break;
    const auto hit = routes.byPrefix.find(path.substr(0, slash + 1));
    if (hit != routes.byPrefix.end()) return &routes_[hit->second];
    end = slash;
  }
  return nullptr;
}

UpdateResult applyUpdate(const json& base, const json& update) {
  if (auto problem = schemaViolation(SchemaKind::update, update); !problem.empty()) {
    return {json(), problem};
  }
  UpdateResult out{base, ""};
  out.config["revision"] = update["revision"];
  for (const char* list : {"route_rules", "services"}) {
    std::map<std::string, const json*> put;
    std::set<std::string> drop;
    if (update.contains("upserts") && update["upserts"].contains(list)) {
      for (const auto& item : update["upserts"][list]) put[item["name"].get<std::string>()] = &item;
    }
    if (update.contains("removals") && update["removals"].contains(list)) {
      for (const auto& name : update["removals"][list]) drop.insert(name.get<std::string>());
    }
    json items = json::array();
    for (const auto& item : out.config[list]) {
      const auto name = item["name"].get<std::string>();
      const auto hit = put.find(name);
      if (hit != put.end()) {
        items.push_back(*hit->second);
        put.erase(hit);
      } else if (!drop.contains(name)) {
        items.push_back(item);
      }
    }
    // New items keep the order in which the update names them.
    if (update.contains("upserts") && update["upserts"].contains(list)) {
      for (const auto& item : update["upserts"][list]) {
        const auto hit = put.find(item["name"].get<std::string>());
        if (hit != put.end() && hit->second == &item) items.push_back(item);
      }
    }
    out.config[list] = std::move(items);
  }
  if (update.contains("upserts") && update["upserts"].contains("limits")) {
    out.config["limits"] = update["upserts"]["limits"];
  }
  return out;
}

}  // namespace merlingauge::config
