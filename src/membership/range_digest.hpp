// range_digest: hashes over the registry for anti-entropy, as a whole and in 16 ranges.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "membership/instance.hpp"
#include "membership/node_info.hpp"

namespace merlingauge::membership {

/// Items fall into this many ranges by the hash of their key. Two nodes whose digests differ send
/// each other only the ranges that do: with 16 of them a single lost item costs a sixteenth of the
/// registry, and the digests themselves fit into some 300 bytes. Part of the peer protocol.
inline constexpr std::size_t kRangeCount = 16;

/// XOR of the item hashes of each range; equal where both nodes hold the same items.
using RangeDigests = std::array<std::uint64_t, kRangeCount>;

/// A set of ranges: bit n stands for range n.
using RangeMask = std::uint32_t;

/// The range of an item by its key, the text of its InstanceId or NodeId.
std::size_t rangeOf(const std::string& key);
inline bool isInRanges(const std::string& key, RangeMask ranges) {
  return ((ranges >> rangeOf(key)) & 1U) != 0;
}

/// The hash of one item over its key and precedence. 0, hence without effect on a digest, for
/// closed instances and nodes that are down: each node forgets those in its own time.
std::uint64_t itemHash(const Instance& instance);
std::uint64_t itemHash(const NodeInfo& info);

}  // namespace merlingauge::membership
