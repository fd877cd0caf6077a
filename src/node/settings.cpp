#include "node/settings.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/config_schema.hpp"

namespace merlingauge::node {

using nlohmann::json;

namespace {

std::string listener(const json& network, const char* name) {
  return network["listeners"].value(name, "");
}

// Empty where the address is absent or sound.
std::string addressProblem(const char* field, const std::string& address) {
  if (address.empty()) return "";
  try {
    const Poco::Net::SocketAddress parsed(address);
    if (parsed.port() != 0) return "";
  } catch (const Poco::Exception&) {
    // told below
  }
  return std::string(field) + ": not an address with a port: " + address;
}

// What a role serves and the addresses it is given must agree.
std::string roleProblem(const json& node, const Settings& s) {
  const auto serves = [&](const char* what) {
    const auto& list = node["serves"];
    return std::find(list.begin(), list.end(), what) != list.end();
  };
  if (!s.frontendAddress.empty() && (!s.egressAddress.empty() || !s.ingressAddress.empty())) {
    return "network.listeners: frontend together with egress or ingress";
  }
  if (serves("edge") && s.frontendAddress.empty()) {
    return "network.listeners.frontend: missing, and self_node.serves names edge";
  }
  if (serves("edge") && s.readinessAddress.empty()) {
    return "network.listeners.readiness: missing, and self_node.serves names edge";
  }
  if (serves("sidecar") && (s.egressAddress.empty() || s.ingressAddress.empty())) {
    return "network.listeners: egress or ingress missing, and self_node.serves names sidecar";
  }
  if (serves("control_plane") && s.controlAddress.empty()) {
    return "network.listeners.control_plane: missing, and self_node.serves names control_plane";
  }
  return "";
}

void readTerms(const json& terms, Settings& s) {
  s.drainTimeout = fromSeconds(terms.value("drain_timeout_s", toSeconds(s.drainTimeout)));
  s.gracePeriod = fromSeconds(terms.value("grace_period_s", toSeconds(s.gracePeriod)));
  s.retryBudgetRatio = terms.value("retry_budget_ratio", s.retryBudgetRatio);
  s.retryBudgetSlack = terms.value("retry_budget_slack", s.retryBudgetSlack);
  s.retryWindow = fromSeconds(terms.value("retry_window_s", toSeconds(s.retryWindow)));
}

}  // namespace

SettingsResult parseSettings(const std::string& text) {
  const auto document = json::parse(text, nullptr, false);
  if (document.is_discarded()) return {std::nullopt, "settings: not JSON"};
  if (auto problem = config::schemaViolation(config::SchemaKind::settings, document);
      !problem.empty()) {
    return {std::nullopt, "settings: " + problem};
  }
  Settings s;
  const auto& node = document["self_node"];
  const auto& network = document["network"];
  s.nodeName = node["node_name"].get<std::string>();
  s.nodeId = NodeId(node["ip_address"].get<std::string>());
  s.zone = ZoneName(node["zone"].get<std::string>());
  s.targetService = ServiceName(node.value("target_service", ""));
  s.appAddress = node.value("app_address", "");
  s.quorumMember = node.value("quorum_member", false);
  s.bootstrap = node.value("bootstrap", false);
  if (node.contains("data_directory") && node["data_directory"].is_string()) {
    s.dataDirectory = node["data_directory"].get<std::string>();
  }
  if (node.contains("limits")) {
    s.maxDescriptors = static_cast<int>(node["limits"].value("file_descriptors", 1024.0));
    s.cpuCores = node["limits"].value("cpu_share", 1.0) * node["limits"].value("cpu_cores", 1.0);
    s.diskMb = static_cast<int>(node["limits"].value("disk_mb", 64.0));
  }
  s.ingressAddress = listener(network, "ingress");
  s.egressAddress = listener(network, "egress");
  s.frontendAddress = listener(network, "frontend");
  s.readinessAddress = listener(network, "readiness");
  s.controlAddress = listener(network, "control_plane");
  const std::pair<const char*, const std::string*> addresses[] = {
      {"network.listeners.ingress", &s.ingressAddress},
      {"network.listeners.egress", &s.egressAddress},
      {"network.listeners.frontend", &s.frontendAddress},
      {"network.listeners.readiness", &s.readinessAddress},
      {"network.listeners.control_plane", &s.controlAddress},
      {"self_node.app_address", &s.appAddress}};
  for (const auto& [field, address] : addresses) {
    if (auto problem = addressProblem(field, *address); !problem.empty()) {
      return {std::nullopt, "settings: " + problem};
    }
  }
  s.internalPort = network["internal_port_range"][0].get<std::uint16_t>();
  if (!s.ingressAddress.empty()) s.ingressPort = Poco::Net::SocketAddress(s.ingressAddress).port();
  if (!s.controlAddress.empty()) s.controlPort = Poco::Net::SocketAddress(s.controlAddress).port();
  if (auto problem = roleProblem(node, s); !problem.empty()) {
    return {std::nullopt, "settings: " + problem};
  }
  for (const auto& seed : network["seed_nodes"]) {
    const auto address = seed.get<std::string>();
    if (auto problem = addressProblem("network.seed_nodes", address); !problem.empty()) {
      return {std::nullopt, "settings: " + problem};
    }
    s.seeds.emplace_back(address.substr(0, address.find(':')));
  }
  if (document.contains("platform_config")) {
    s.heartbeatInterval =
        fromSeconds(document["platform_config"].value("heartbeat_interval_s", 1.5));
  }
  const auto& terms = document["policy_terms"];
  readTerms(terms["timing_bounds"], s);
  if (terms.contains("fault_tolerance")) {
    s.faultTolerance = terms["fault_tolerance"].value("machines", s.faultTolerance);
  }
  return {s, ""};
}

SettingsResult loadSettings(const std::string& path) {
  if (path.empty()) return {std::nullopt, "settings: MERLINGAUGE_SETTINGS is not set"};
  std::ifstream file(path);
  if (!file) return {std::nullopt, "settings: can't read " + path};
  std::stringstream text;
  text << file.rdbuf();
  return parseSettings(text.str());
}

}  // namespace merlingauge::node
