// header_syntax: the character and field rules of HTTP/1.1 that heads and chunk trailers share
// (RFC 9110, section 5.6; RFC 9112, sections 5 and 6). Pure functions without state.
#pragma once

#include <optional>
#include <string_view>

namespace merlingauge::http {

/// Whether `text` is a token: a method or a field name.
bool isToken(std::string_view text);

/// Whether `text` is a decimal number short enough to fit 64 bits.
bool isDecimalNumber(std::string_view text);

/// Whether `text` holds no control character but the tab: neither a bare CR or LF nor a NUL.
bool isPrintable(std::string_view text);

/// `text` without the blanks and tabs around it.
std::string_view trimBlanks(std::string_view text);

bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// How often a head has each field that decides where its message ends or whom it is for. Two of
/// one kind let two readers see two different messages (request smuggling).
struct FieldCounts {
  int contentLength = 0;
  int transferEncoding = 0;
  int host = 0;
};

/// One field of a head or a trailer, as it stands in the bytes of the message.
struct FieldLine {
  std::string_view name;
  std::string_view value;  ///< without the blanks around it, otherwise as it came
};

/// Parses one line without its line end. nullopt where it is no field line.
std::optional<FieldLine> parseFieldLine(std::string_view line);

/// Counts the field in `counts`. False where it is a framing field whose value readers may
/// understand differently.
bool countField(const FieldLine& field, FieldCounts& counts);

/// Whether a field written with this name and value is read as just this field: the name is a
/// token, and the value has no control character.
bool isWritableField(std::string_view name, std::string_view value);

}  // namespace merlingauge::http
