// text_delta: one text as a delta to another.
//
// A delta is a sequence of
//   =OFFSET,LENGTH;   LENGTH bytes of the base from OFFSET on
//   +LENGTH:BYTES     LENGTH bytes of its own
// with decimal numbers.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace merlingauge::config {

/// A delta that makes `text` of `base`. Texts are compared by items of their JSON lists, so a
/// change of some items gives a short delta; the time is linear in both sizes.
std::string makeDelta(std::string_view base, std::string_view text);

/// The text; none where the delta is malformed, reaches beyond the base, or makes more than
/// kMaxTextBytes.
std::optional<std::string> applyDelta(std::string_view base, std::string_view delta);

}  // namespace merlingauge::config
