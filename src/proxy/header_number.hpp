// header_number.hpp: numbers in header values.
#pragma once

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <system_error>
#include <type_traits>

namespace merlingauge::proxy {

/// The number at the front of `text`, whatever follows it; nothing where there is none, or where it
/// is out of range or not finite.
template <typename Number>
std::optional<Number> leadingNumber(std::string_view text) {
  Number value{};
  const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
  if (read.ec != std::errc()) return std::nullopt;
  if constexpr (std::is_floating_point_v<Number>) {
    if (!std::isfinite(value)) return std::nullopt;
  }
  return value;
}

}  // namespace merlingauge::proxy
