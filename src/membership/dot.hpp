// dot: names one update by the source that made it and that source's counter.
#pragma once

#include <cstdint>
#include <string>

#include "base/ids.hpp"

namespace merlingauge::membership {

/// One incarnation of one node as a source of updates, written "NODE/INCARNATION". A restarted node
/// is a new source, so its counter may start at 1 again.
using SourceId = StrongId<struct SourceTag>;

inline SourceId sourceIdOf(const NodeId& node, Incarnation incarnation) {
  return SourceId(node.str() + "/" + std::to_string(incarnation.value));
}

/// The unique name of one update (the dot of dotted version vectors). A version vector covers it
/// once its entry for `source` has reached `counter`.
struct Dot {
  SourceId source;
  std::uint64_t counter = 0;  ///< from 1; 0 only in a default-constructed Dot
};

}  // namespace merlingauge::membership
