// schema: JSON documents checked against the schemas of this system, by valijson.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace merlin::cairn {

enum class SchemaKind : std::uint8_t { settings, configuration, update, heartbeat };

// Empty if the document fits; else the first thing that is wrong, naming the field.
std::string schemaProblem(SchemaKind kind, const nlohmann::json& document);

}  // namespace merlin::cairn
