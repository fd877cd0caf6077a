#include "membership/range_digest.hpp"

#include "base/hash.hpp"

namespace merlingauge::membership {

namespace {

// Places of the precedence fields in the seed of an item's hash: two bits for the status, four for
// the reporter's edits. Peers compare the results, so these must never change, nor must the 32 bits
// in which the edits are multiplied.
constexpr std::uint32_t kEditUnit = 4;
constexpr std::uint64_t kSequenceUnit = 64;
constexpr std::uint64_t kInfoVersionUnit = 4;

}  // namespace

std::size_t rangeOf(const std::string& key) { return stableHash(key) % kRangeCount; }

std::uint64_t itemHash(const Instance& instance) {
  if (instance.isClosed()) return 0;
  const std::uint64_t seed = instance.sequence * kSequenceUnit + instance.reporterEdit * kEditUnit +
                             static_cast<std::uint64_t>(instance.status);
  return stableHash(instance.id.str(), seed);
}

std::uint64_t itemHash(const NodeInfo& info) {
  return info.isDown() ? 0 : stableHash(info.id.str(), info.infoVersion * kInfoVersionUnit);
}

}  // namespace merlingauge::membership
