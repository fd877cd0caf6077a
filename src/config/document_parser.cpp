#include "config/document_parser.hpp"

#include <cstddef>

namespace merlingauge::config {

namespace {

// Some times what the deepest message (a value inside a reply inside a pull) needs, and far below
// what the stack of a thread bears.
constexpr int kMaxDepth = 32;

// Reads brackets outside of strings only; whether the text is JSON is the parser's question.
bool exceedsMaxDepth(std::string_view text) {
  int depth = 0;
  bool insideString = false;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const char character = text[at];
    if (insideString) {
      if (character == '\\') ++at;
      insideString = character != '"';
    } else if (character == '"') {
      insideString = true;
    } else if (character == '[' || character == '{') {
      if (++depth > kMaxDepth) return true;
    } else if (character == ']' || character == '}') {
      --depth;
    }
  }
  return false;
}

}  // namespace

std::optional<nlohmann::json> parseDocument(std::string_view text) {
  if (exceedsMaxDepth(text)) return std::nullopt;
  auto document = nlohmann::json::parse(text, nullptr, false);
  if (document.is_discarded()) return std::nullopt;
  return document;
}

}  // namespace merlingauge::config
