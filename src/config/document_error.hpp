// document_error: why a configuration, an update or another document from outside is not accepted.
#pragma once

#include <string>

namespace merlingauge::config {

/// The first thing that is wrong with a document, for its author.
struct DocumentError {
  std::string field;   ///< path of the field as in the document, or the item: "route NAME"
  std::string reason;  ///< what is wrong with it

  /// One line: "FIELD: REASON".
  [[nodiscard]] std::string message() const { return field + ": " + reason; }
};

}  // namespace merlingauge::config
