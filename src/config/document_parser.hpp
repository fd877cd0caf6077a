// document_parser: JSON from outside, before anything is known of its shape.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace merlingauge::config {

/// Whether a text may be parsed, if it is JSON at all: it is nested no deeper and has no more
/// values than any document of this system. Copying and writing a document take a level of the
/// stack for each of its own, and each value takes many times the memory of its text.
bool isWithinDocumentBounds(std::string_view text);

/// The document in `text`; none where that is no JSON, or not within these bounds.
std::optional<nlohmann::json> parseDocument(std::string_view text);

}  // namespace merlingauge::config
