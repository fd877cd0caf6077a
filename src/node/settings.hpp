// settings: what the machine tells a process, checked and laid out.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace merlingauge::node {

struct Settings {
  std::string nodeName;
  NodeId nodeId;
  ZoneName zone;
  ServiceName targetService;
  std::string appAddress;
  bool quorumMember = false;
  bool bootstrap = false;
  std::string dataDirectory;  // empty: no disk
  int maxDescriptors = 1024;
  double cpuCores = 1;  // cores' worth of processor time
  int diskMb = 64;

  std::string ingressAddress;  // addresses, empty where not served
  std::string egressAddress;
  std::string frontendAddress;
  std::string readinessAddress;
  std::string controlAddress;
  std::uint16_t internalPort = 0;
  std::uint16_t ingressPort = 0;
  std::uint16_t controlPort = 0;
  std::vector<NodeId> seeds;
  // The way in for callers, whichever it is.
  [[nodiscard]] const std::string& clientAddress() const {
    return frontendAddress.empty() ? egressAddress : frontendAddress;
  }

  Duration heartbeatInterval = std::chrono::milliseconds(1500);
  Duration drainTimeout = std::chrono::seconds(2);
  Duration gracePeriod = std::chrono::seconds(6);
  std::size_t faultTolerance = 1;  // core machines that may be lost at once
  double retryBudgetRatio = 0.2;
  double retryBudgetSlack = 0;
  Duration retryWindow = std::chrono::seconds(10);
};

struct SettingsResult {
  std::optional<Settings> settings;
  std::string error;  // one line naming the field
};

SettingsResult loadSettings(const std::string& path);
SettingsResult parseSettings(const std::string& text);

}  // namespace merlingauge::node
