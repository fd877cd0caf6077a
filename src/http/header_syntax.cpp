#include "http/header_syntax.hpp"

#include <algorithm>
#include <cctype>
#include <cstddef>

namespace merlingauge::http {

namespace {

// So many decimal digits always fit 64 bits.
constexpr std::size_t kMaxDecimalDigits = 18;

bool isDigit(char character) { return character >= '0' && character <= '9'; }

bool isTokenCharacter(char character) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return isDigit(character) || (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         kPunctuation.find(character) != std::string_view::npos;
}

bool isBlank(char character) { return character == ' ' || character == '\t'; }

char toLower(char character) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
}

}  // namespace

bool isToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isDecimalNumber(std::string_view text) {
  return !text.empty() && text.size() <= kMaxDecimalDigits &&
         std::all_of(text.begin(), text.end(), isDigit);
}

bool isPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char character) {
    const auto code = static_cast<unsigned char>(character);
    return (code >= 0x20 && code != 0x7f) || code == '\t';
  });
}

std::string_view trimBlanks(std::string_view text) {
  while (!text.empty() && isBlank(text.front())) text.remove_prefix(1);
  while (!text.empty() && isBlank(text.back())) text.remove_suffix(1);
  return text;
}

bool equalsIgnoringCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char one, char other) { return toLower(one) == toLower(other); });
}

std::optional<FieldLine> parseFieldLine(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const FieldLine field{line.substr(0, colon), trimBlanks(line.substr(colon + 1))};
  // A folded line begins with a blank, which is no token.
  if (!isWritableField(field.name, field.value)) return std::nullopt;
  return field;
}

bool countField(const FieldLine& field, FieldCounts& counts) {
  if (equalsIgnoringCase(field.name, "content-length")) {
    ++counts.contentLength;
    return isDecimalNumber(field.value);
  }
  if (equalsIgnoringCase(field.name, "transfer-encoding")) {
    ++counts.transferEncoding;
    return equalsIgnoringCase(field.value, "chunked");
  }
  if (equalsIgnoringCase(field.name, "host")) {
    ++counts.host;
    return !field.value.empty() && field.value.find_first_of(" \t,/@") == std::string_view::npos;
  }
  return true;
}

bool isWritableField(std::string_view name, std::string_view value) {
  return isToken(name) && isPrintable(value);
}

}  // namespace merlingauge::http
