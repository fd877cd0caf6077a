// settings: what the machine tells a process, checked and laid out.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "units.hpp"

namespace merlin::hut {

struct Settings {
  std::string nodeName;
  NodeId self;
  ZoneName zone;
  ServiceName service;
  std::string appAddress;
  bool quorumMember = false;
  bool bootstrap = false;
  std::string dataDirectory;  // empty: no disk
  int descriptors = 1024;
  double processor = 1;  // cores' worth of processor time
  int diskMb = 64;

  std::string ingress;  // addresses, empty where not served
  std::string egress;
  std::string frontend;
  std::string readiness;
  std::string control;
  std::uint16_t internalPort = 0;
  std::uint16_t ingressPort = 0;
  std::uint16_t controlPort = 0;
  std::vector<NodeId> seeds;
  // The way in for callers, whichever it is.
  [[nodiscard]] const std::string& wayIn() const { return frontend.empty() ? egress : frontend; }

  Span heartbeat = std::chrono::milliseconds(1500);
  Span drainTimeout = std::chrono::seconds(2);
  Span grace = std::chrono::seconds(6);
  std::size_t tolerance = 1;  // core machines that may be lost at once
  double retryRatio = 0.2;
  double retrySlack = 0;
  Span retryWindow = std::chrono::seconds(10);
};

struct SettingsRead {
  std::optional<Settings> settings;
  std::string problem;  // one line naming the field
};

SettingsRead readSettings(const std::string& path);
SettingsRead parseSettings(const std::string& text);

}  // namespace merlin::hut
