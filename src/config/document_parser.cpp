#include "config/document_parser.hpp"

#include <cstddef>

namespace merlingauge::config {

namespace {

// Some times what the deepest message (a value inside a reply inside a pull) needs, and far below
// what the stack of a thread bears.
constexpr int kMaxDepth = 32;
// Some times what the largest configuration or the items of the largest fleet have. A parsed value
// takes up to 80 bytes for two or three of the text.
constexpr std::size_t kMaxValues = 500'000;

}  // namespace

// Reads brackets and commas outside of strings only; whether the text is JSON is the parser's
// question.
bool isWithinDocumentBounds(std::string_view text) {
  int depth = 0;
  std::size_t values = 0;
  bool insideString = false;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const char character = text[at];
    if (insideString) {
      if (character == '\\') ++at;
      insideString = character != '"';
    } else if (character == '"') {
      insideString = true;
    } else if (character == '[' || character == '{') {
      if (++depth > kMaxDepth || ++values > kMaxValues) return false;
    } else if (character == ']' || character == '}') {
      --depth;
    } else if (character == ',') {
      if (++values > kMaxValues) return false;
    }
  }
  return true;
}

std::optional<nlohmann::json> parseDocument(std::string_view text) {
  if (!isWithinDocumentBounds(text)) return std::nullopt;
  auto document = nlohmann::json::parse(text, nullptr, false);
  if (document.is_discarded()) return std::nullopt;
  return document;
}

}  // namespace merlingauge::config
