// text_limits: bounds on texts that are made from what a peer sent.
#pragma once

#include <cstddef>

namespace merlingauge::config {

/// No configuration is near this size: a store's map is 64 MB at the most, and a text a fifth of
/// it. Some kilobytes, packed or as a delta, may stand for gigabytes.
constexpr std::size_t kMaxTextBytes = 64U << 20;

}  // namespace merlingauge::config
