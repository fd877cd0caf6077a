// document_parser: JSON from outside, before anything is known of its shape.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace merlingauge::config {

/// The document in `text`; none where that is no JSON, or is nested deeper than any document of
/// this system: copying and writing a document take a level of the stack for each of its own.
std::optional<nlohmann::json> parseDocument(std::string_view text);

}  // namespace merlingauge::config
