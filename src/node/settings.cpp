#include "node/settings.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "base/ipv4_address.hpp"
#include "config/config_schema.hpp"
#include "config/document_parser.hpp"

namespace merlingauge::node {

using nlohmann::json;
using Poco::Net::SocketAddress;

namespace {

using Problem = std::optional<SettingsError>;

Problem checkSchema(const json& document) {
  const auto violation = config::schemaViolation(config::SchemaKind::settings, document);
  if (!violation) return std::nullopt;
  return SettingsError{violation->field, violation->reason};
}

void readLimits(const json& limits, Settings& settings) {
  settings.maxDescriptors = static_cast<int>(limits.value("file_descriptors", 1024.0));
  settings.cpuCores = limits.value("cpu_share", 1.0) * limits.value("cpu_cores", 1.0);
  settings.diskMb = static_cast<int>(limits.value("disk_mb", 64.0));
}

void readSelfNode(const json& node, Settings& settings) {
  settings.nodeName = node["node_name"].get<std::string>();
  settings.nodeId = NodeId(node["ip_address"].get<std::string>());
  settings.zone = ZoneName(node["zone"].get<std::string>());
  settings.targetService = ServiceName(node.value("target_service", ""));
  settings.appAddress = node.value("app_address", "");
  settings.quorumMember = node.value("quorum_member", false);
  settings.bootstrap = node.value("bootstrap", false);
  if (node.contains("data_directory") && node["data_directory"].is_string()) {
    settings.dataDirectory = node["data_directory"].get<std::string>();
  }
  if (node.contains("limits")) readLimits(node["limits"], settings);
}

void readListeners(const json& listeners, Settings& settings) {
  settings.ingressAddress = listeners.value("ingress", "");
  settings.egressAddress = listeners.value("egress", "");
  settings.frontendAddress = listeners.value("frontend", "");
  settings.readinessAddress = listeners.value("readiness", "");
  settings.controlAddress = listeners.value("control_plane", "");
}

Problem checkAddress(const char* field, const std::string& address) {
  if (address.empty()) return std::nullopt;
  try {
    const SocketAddress parsed(address);
    if (parsed.port() != 0) return std::nullopt;
  } catch (const Poco::Exception&) {
    // Reported below: the reason is the same as for port 0.
  }
  return SettingsError{field, "not an address with a port: " + address};
}

Problem checkAddresses(const Settings& settings) {
  struct AddressField {
    const char* field;
    const std::string& address;
  };
  const AddressField fields[] = {{"network.listeners.ingress", settings.ingressAddress},
                                 {"network.listeners.egress", settings.egressAddress},
                                 {"network.listeners.frontend", settings.frontendAddress},
                                 {"network.listeners.readiness", settings.readinessAddress},
                                 {"network.listeners.control_plane", settings.controlAddress},
                                 {"self_node.app_address", settings.appAddress}};
  for (const auto& [field, address] : fields) {
    if (auto problem = checkAddress(field, address)) return problem;
  }
  return std::nullopt;
}

std::uint16_t portOf(const std::string& address) {
  return address.empty() ? std::uint16_t{0} : SocketAddress(address).port();
}

// After checkAddresses.
void readPorts(const json& network, Settings& settings) {
  settings.internalPort = network["internal_port_range"][0].get<std::uint16_t>();
  settings.ingressPort = portOf(settings.ingressAddress);
  settings.controlPort = portOf(settings.controlAddress);
}

// What the node is to serve and the addresses it is given must agree.
Problem checkRole(const json& node, const Settings& settings) {
  const auto serves = [&](const char* role) {
    const auto& roles = node["serves"];
    return std::find(roles.begin(), roles.end(), role) != roles.end();
  };
  const bool hasSidecarAddress =
      !settings.egressAddress.empty() || !settings.ingressAddress.empty();
  if (settings.isGateway() && hasSidecarAddress) {
    return SettingsError{"network.listeners", "frontend together with egress or ingress"};
  }
  if (serves("edge") && settings.frontendAddress.empty()) {
    return SettingsError{"network.listeners.frontend", "missing, and self_node.serves names edge"};
  }
  if (serves("edge") && settings.readinessAddress.empty()) {
    return SettingsError{"network.listeners.readiness", "missing, and self_node.serves names edge"};
  }
  if (serves("sidecar") && (settings.egressAddress.empty() || settings.ingressAddress.empty())) {
    return SettingsError{"network.listeners",
                         "egress or ingress missing, and self_node.serves names sidecar"};
  }
  if (serves("control_plane") && settings.controlAddress.empty()) {
    return SettingsError{"network.listeners.control_plane",
                         "missing, and self_node.serves names control_plane"};
  }
  return std::nullopt;
}

Problem readSeeds(const json& network, Settings& settings) {
  for (const auto& seed : network["seed_nodes"]) {
    const auto address = seed.get<std::string>();
    // A seed is a node like others: known by its address, never by a name.
    if (!isIpv4Endpoint(address)) {
      return SettingsError{"network.seed_nodes", "not an address with a port: " + address};
    }
    settings.seeds.emplace_back(address.substr(0, address.find(':')));
  }
  return std::nullopt;
}

void readTimingBounds(const json& bounds, Settings& settings) {
  const auto seconds = [&](const char* key, Duration fallback) {
    return fromSeconds(bounds.value(key, toSeconds(fallback)));
  };
  settings.drainTimeout = seconds("drain_timeout_s", settings.drainTimeout);
  settings.gracePeriod = seconds("grace_period_s", settings.gracePeriod);
  settings.retryWindow = seconds("retry_window_s", settings.retryWindow);
  settings.retryBudgetRatio = bounds.value("retry_budget_ratio", settings.retryBudgetRatio);
  settings.retryBudgetSlack = bounds.value("retry_budget_slack", settings.retryBudgetSlack);
}

void readPolicies(const json& document, Settings& settings) {
  if (document.contains("platform_config")) {
    settings.heartbeatInterval =
        fromSeconds(document["platform_config"].value("heartbeat_interval_s", 1.5));
  }
  const auto& terms = document["policy_terms"];
  readTimingBounds(terms["timing_bounds"], settings);
  if (terms.contains("fault_tolerance")) {
    settings.faultTolerance = terms["fault_tolerance"].value("machines", settings.faultTolerance);
  }
}

}  // namespace

std::string SettingsError::message() const {
  return "settings: " + (field.empty() ? reason : field + ": " + reason);
}

std::optional<MetricsAddress> parseMetricsAddress(const std::string& text) {
  MetricsAddress address;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, address.port);
  if (parsed.ec != std::errc() || address.port == 0) return std::nullopt;
  address.path.assign(parsed.ptr, end);
  if (address.path.empty() || address.path.front() != '/') return std::nullopt;
  return address;
}

namespace {
// A document that fits the schema.
SettingsResult readSettings(const json& document) {
  const auto& node = document["self_node"];
  const auto& network = document["network"];
  Settings settings;
  readSelfNode(node, settings);
  readListeners(network["listeners"], settings);
  if (auto problem = checkAddresses(settings)) return *problem;
  readPorts(network, settings);
  if (auto problem = checkRole(node, settings)) return *problem;
  if (auto problem = readSeeds(network, settings)) return *problem;
  readPolicies(document, settings);
  return settings;
}
}  // namespace

SettingsResult parseSettings(const std::string& text) {
  const auto document = config::parseDocument(text);
  if (!document) return SettingsError{"", "not JSON"};
  if (auto problem = checkSchema(*document)) return *problem;
  try {
    return readSettings(*document);
  } catch (const json::exception& error) {
    // A field that the schema doesn't name has another type than the one it is read as.
    return SettingsError{"", error.what()};
  }
}

SettingsResult loadSettings(const std::string& path) {
  if (path.empty()) return SettingsError{"", "MERLINGAUGE_SETTINGS is not set"};
  std::ifstream file(path);
  if (!file) return SettingsError{"", "can't read " + path};
  std::stringstream text;
  text << file.rdbuf();
  return parseSettings(text.str());
}

}  // namespace merlingauge::node
