// settings: what an operator configures for one process, read from its settings file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace merlingauge::node {

/// Where a node shows its metrics.
struct MetricsAddress {
  std::uint16_t port = 0;
  std::string path;  ///< begins with a slash
};

/// Reads PORT/PATH, as in 9464/metrics; nullopt where it has another form.
std::optional<MetricsAddress> parseMetricsAddress(const std::string& text);

/// The settings of one process, checked. Each field names the key that it comes from; a default
/// holds where the key is missing. Addresses are IP:PORT, empty where the node serves no such
/// listener.
struct Settings {
  std::string nodeName;       ///< self_node.node_name, for logs and the status only
  NodeId nodeId;              ///< self_node.ip_address
  ZoneName zone;              ///< self_node.zone, the failure domain of this machine
  ServiceName targetService;  ///< self_node.target_service, of the server beside this node
  std::string appAddress;     ///< self_node.app_address, of the server beside this node
  bool quorumMember = false;  ///< self_node.quorum_member
  bool bootstrap = false;     ///< self_node.bootstrap: the deployment's very first start
  std::string dataDirectory;  ///< self_node.data_directory, empty: this node holds no state
  int maxDescriptors = 1024;  ///< self_node.limits.file_descriptors
  double cpuCores = 1;        ///< self_node.limits.cpu_share x cpu_cores: cores of processor time
  int diskMb = 64;            ///< self_node.limits.disk_mb, megabytes of disk for the state

  std::string ingressAddress;      ///< network.listeners.ingress
  std::string egressAddress;       ///< network.listeners.egress
  std::string frontendAddress;     ///< network.listeners.frontend
  std::string readinessAddress;    ///< network.listeners.readiness
  std::string controlAddress;      ///< network.listeners.control_plane
  std::uint16_t internalPort = 0;  ///< network.internal_port_range, the first: between nodes
  std::uint16_t ingressPort = 0;   ///< of ingressAddress, the same on all nodes; 0 without one
  std::uint16_t controlPort = 0;   ///< of controlAddress, the same on all nodes; 0 without one
  std::vector<NodeId> seeds;       ///< network.seed_nodes, without their ports

  /// platform_config.heartbeat_interval_s: how often servers send their heartbeats.
  Duration heartbeatInterval = std::chrono::milliseconds(1500);
  /// policy_terms.timing_bounds.drain_timeout_s: how long a draining server gets new requests yet.
  Duration drainTimeout = std::chrono::seconds(2);
  /// policy_terms.timing_bounds.grace_period_s: from SIGTERM to the exit at the latest.
  Duration gracePeriod = std::chrono::seconds(6);
  /// policy_terms.fault_tolerance.machines: control nodes that may be lost at once (f).
  std::size_t faultTolerance = 1;
  /// policy_terms.timing_bounds.retry_budget_ratio: retries allowed per request.
  double retryBudgetRatio = 0.2;
  /// policy_terms.timing_bounds.retry_budget_slack: retries allowed in each window beyond the
  /// ratio, over all nodes together.
  double retryBudgetSlack = 0;
  /// policy_terms.timing_bounds.retry_window_s: over which the retry budget is counted.
  Duration retryWindow = std::chrono::seconds(10);

  /// Not in the file, but --metrics of the command line; nullopt: no metrics are shown.
  std::optional<MetricsAddress> metrics;

  /// Where callers connect, in whichever deployment; empty where they don't.
  [[nodiscard]] const std::string& clientAddress() const {
    return frontendAddress.empty() ? egressAddress : frontendAddress;
  }
  /// An edge of a gateway: it connects to the servers themselves.
  [[nodiscard]] bool isGateway() const { return !frontendAddress.empty(); }
  [[nodiscard]] bool hasEgress() const { return !clientAddress().empty(); }
  [[nodiscard]] bool hasIngress() const { return !ingressAddress.empty(); }
  /// It has an acceptor with a disk and may vote.
  [[nodiscard]] bool isControlNode() const { return quorumMember && !dataDirectory.empty(); }
};

/// Why settings can't be used.
struct SettingsError {
  std::string field;   ///< path of the key, as in network.seed_nodes; empty: the file as a whole
  std::string reason;  ///< what is wrong with it
  /// One line for the operator.
  [[nodiscard]] std::string message() const;
};

using SettingsResult = std::variant<Settings, SettingsError>;

/// Reads the file that MERLINGAUGE_SETTINGS names; an empty path means that the variable isn't set.
SettingsResult loadSettings(const std::string& path);
/// Checks `text` against the schema and lays it out. Unknown keys are ignored.
SettingsResult parseSettings(const std::string& text);

}  // namespace merlingauge::node
