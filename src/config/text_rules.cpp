#include "config/text_rules.hpp"

#include <cstddef>
#include <string>

#include "base/ipv4_address.hpp"
#include "http/header_syntax.hpp"

namespace merlingauge::config {

using nlohmann::json;

namespace {

std::optional<DocumentError> routesViolation(const json& parent, const std::string& path) {
  if (!parent.contains("route_rules")) return std::nullopt;
  std::size_t index = 0;
  for (const auto& rule : parent["route_rules"]) {
    if (!isPathPrefix(rule["path_prefix"].get_ref<const std::string&>())) {
      return DocumentError{path + "route_rules." + std::to_string(index) + ".path_prefix",
                           "does not begin and end with a slash"};
    }
    ++index;
  }
  return std::nullopt;
}

std::optional<DocumentError> settingsViolation(const json& settings) {
  const auto& node = settings["self_node"];
  if (!isIpv4Address(node["ip_address"].get_ref<const std::string&>())) {
    return DocumentError{"self_node.ip_address", "not an IPv4 address"};
  }
  // It goes into a header of each request.
  if (!http::isPrintable(node.value("target_service", ""))) {
    return DocumentError{"self_node.target_service", "has a control character"};
  }
  return std::nullopt;
}

std::optional<DocumentError> heartbeatViolation(const json& heartbeat) {
  if (isIpv4Endpoint(heartbeat["address"].get_ref<const std::string&>())) return std::nullopt;
  return DocumentError{"address", "not an IPv4 address with a port"};
}

}  // namespace

bool isPathPrefix(std::string_view text) {
  return text.starts_with('/') && text.ends_with('/') &&
         text.find_first_of("\r\n") == std::string_view::npos;
}

std::optional<DocumentError> textViolation(SchemaKind kind, const json& document) {
  switch (kind) {
    case SchemaKind::settings:
      return settingsViolation(document);
    case SchemaKind::configuration:
      return routesViolation(document, "");
    case SchemaKind::update:
      return document.contains("upserts") ? routesViolation(document["upserts"], "upserts.")
                                          : std::nullopt;
    case SchemaKind::heartbeat:
      return heartbeatViolation(document);
  }
  return std::nullopt;
}

}  // namespace merlingauge::config
