// schema: JSON documents checked against the schemas of this system, by valijson.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace merlingauge::config {

enum class SchemaKind : std::uint8_t { settings, configuration, update, heartbeat };

// A document from outside. Nothing where the text is no JSON, or nests deeper than any document of
// ours does: copying and writing one go down a level of the stack with each of its own.
std::optional<nlohmann::json> parseDocument(std::string_view text);

// Empty if the document fits; else the first thing that is wrong, naming the field.
std::string schemaViolation(SchemaKind kind, const nlohmann::json& document);

}  // namespace merlingauge::config
