// incarnation.hpp: the order of an acceptor's incarnations, one for each loss of its disk.
#pragma once

#include <cstdint>
#include <map>

#include "base/ids.hpp"

namespace merlingauge::consensus {

/// The newest incarnation known of each acceptor that ever lost its disk.
using IncarnationMap = std::map<NodeId, Incarnation>;

/// An incarnation is a generation (the upper bits) with random bits below it, which tell two of one
/// generation apart. The first one of an acceptor that never lost its disk: below every one that
/// `nextIncarnation` gives.
[[nodiscard]] Incarnation firstIncarnation(std::uint64_t randomBits);
/// One of the next generation: above `previous`, whatever the random bits. A recovered acceptor is
/// written down by a majority of the others, so the next incarnation, which asks a majority as
/// well, learns of it and takes a higher generation.
[[nodiscard]] Incarnation nextIncarnation(Incarnation previous, std::uint64_t randomBits);
/// Whether the acceptor never lost its disk: then there is nothing to remember about it.
[[nodiscard]] bool isFirstGeneration(Incarnation incarnation);

/// Whether `newest` knows a newer incarnation of `node`. What a superseded incarnation promised or
/// accepted is forgotten, so it must not count in a quorum with what the newer one says
/// (crash-consistent quorum).
[[nodiscard]] bool isSuperseded(const IncarnationMap& newest, const NodeId& node,
                                Incarnation incarnation);

}  // namespace merlingauge::consensus
