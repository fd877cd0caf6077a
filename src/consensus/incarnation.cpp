#include "consensus/incarnation.hpp"

#include <algorithm>

namespace merlingauge::consensus {

namespace {
// 24 bits are left for the generation: 16 million losses of a disk.
constexpr unsigned kRandomBits = 40;
constexpr std::uint64_t kRandomMask = (std::uint64_t{1} << kRandomBits) - 1;
constexpr std::uint64_t kFirstGeneration = 1;

Incarnation makeIncarnation(std::uint64_t generation, std::uint64_t randomBits) {
  return Incarnation{(generation << kRandomBits) | (randomBits & kRandomMask)};
}

std::uint64_t generationOf(Incarnation incarnation) { return incarnation.value >> kRandomBits; }
}  // namespace

Incarnation firstIncarnation(std::uint64_t randomBits) {
  return makeIncarnation(kFirstGeneration, randomBits);
}

Incarnation nextIncarnation(Incarnation previous, std::uint64_t randomBits) {
  const std::uint64_t generation = std::max(generationOf(previous), kFirstGeneration);
  return makeIncarnation(generation + 1, randomBits);
}

bool mayReplace(Incarnation recorded, Incarnation candidate) {
  return candidate == recorded || generationOf(recorded) < generationOf(candidate);
}

bool isFirstGeneration(Incarnation incarnation) {
  return generationOf(incarnation) <= kFirstGeneration;
}

void recordIncarnation(IncarnationMap& newest, const NodeId& node, Incarnation incarnation) {
  auto& recorded = newest[node];
  recorded = std::max(recorded, incarnation);
}

bool isSuperseded(const IncarnationMap& newest, const NodeId& node, Incarnation incarnation) {
  const auto found = newest.find(node);
  return found != newest.end() && generationOf(incarnation) < generationOf(found->second);
}

}  // namespace merlingauge::consensus
