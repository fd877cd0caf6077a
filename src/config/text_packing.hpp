// text_packing: a text compressed by zlib and written in base64, for a JSON string.
#pragma once

#include <optional>
#include <string>

namespace merlingauge::config {

std::string packText(const std::string& text);

/// The text; none where it is more than kMaxTextBytes. Damaged bytes give none or some other text:
/// the caller has to compare the text's id.
std::optional<std::string> unpackText(const std::string& packed);

}  // namespace merlingauge::config
