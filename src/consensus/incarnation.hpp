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
/// recorded by a majority of the others, so the next incarnation, which asks a majority as well,
/// is refused there until it takes a higher generation.
[[nodiscard]] Incarnation nextIncarnation(Incarnation previous, std::uint64_t randomBits);
/// Whether a rejoining acceptor's incarnation may take the place of the one recorded of it. Of two
/// of one generation neither knew of the other, so the random bits don't tell which is superseded:
/// `candidate` may come from a delayed message of one that never recovered. Whoever is alive takes
/// the next generation when it is refused. docs/register.md, "A late question", has the argument.
[[nodiscard]] bool mayReplace(Incarnation recorded, Incarnation candidate);
/// Whether the acceptor never lost its disk: then there is nothing to remember about it.
[[nodiscard]] bool isFirstGeneration(Incarnation incarnation);

/// Records an incarnation heard of; a record never sinks.
void recordIncarnation(IncarnationMap& newest, const NodeId& node, Incarnation incarnation);
/// Whether `newest` knows an incarnation of `node` of a higher generation. What a superseded
/// incarnation promised or accepted is forgotten, so it must not count in a quorum with what the
/// newer one says (crash-consistent quorum). Of one generation at most one incarnation recovers
/// (`mayReplace`), and only that one promises and accepts: one known besides it is of no account.
[[nodiscard]] bool isSuperseded(const IncarnationMap& newest, const NodeId& node,
                                Incarnation incarnation);

}  // namespace merlingauge::consensus
