// text_rules: the form of texts in documents from outside that a JSON schema could only give as a
// pattern. Plain loops in place of std::regex, which takes a level of the stack for each character
// that it matches: no length of a text can end the process.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "config/config_schema.hpp"
#include "config/document_error.hpp"

namespace merlingauge::config {

/// A `path_prefix`: begins and ends with a slash ("/" does both), all on one line.
[[nodiscard]] bool isPathPrefix(std::string_view text);

/// The first text of the document whose form is wrong; none where all are right. `document` fits
/// the schema of this kind.
[[nodiscard]] std::optional<DocumentError> textViolation(SchemaKind kind,
                                                         const nlohmann::json& document);

}  // namespace merlingauge::config
