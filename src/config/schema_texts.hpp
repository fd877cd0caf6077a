// schema_texts: the JSON schemas (draft 4) of the documents that this system takes from outside.
#pragma once

#include <string>

#include "config/config_schema.hpp"

namespace merlingauge::config {

/// The schema of a kind of document, as JSON.
std::string schemaText(SchemaKind kind);

}  // namespace merlingauge::config
