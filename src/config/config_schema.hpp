// config_schema: documents from outside checked against the JSON schemas of this system.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

#include "config/document_error.hpp"

namespace merlingauge::config {

enum class SchemaKind : std::uint8_t {
  settings,       ///< a node's settings file
  configuration,  ///< a whole configuration (Configuration.Replace)
  update,         ///< a change of some of its items (Configuration.Update)
  heartbeat,      ///< what a server instance reports of itself
};

/// The first violation of the schema or of the rules for its texts (text_rules.hpp); none where the
/// document fits. Event-loop thread only: each
/// schema is compiled when it is first asked for, and kept.
std::optional<DocumentError> schemaViolation(SchemaKind kind, const nlohmann::json& document);

}  // namespace merlingauge::config
