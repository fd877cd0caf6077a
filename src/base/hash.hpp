// hash: one hash for texts that is the same on every machine and in every version.
#pragma once

#include <cstdint>
#include <string>

namespace merlingauge {

/// 64-bit FNV-1a with the final mix of MurmurHash3. Nodes compare its results with each other
/// (rendezvous order, range digests), so it must never change.
inline std::uint64_t stableHash(const std::string& text, std::uint64_t seed = 0) {
  std::uint64_t hash = 1469598103934665603ULL ^ seed;
  for (const unsigned char byte : text) hash = (hash ^ byte) * 1099511628211ULL;
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53ULL;
  return hash ^ (hash >> 33);
}

}  // namespace merlingauge
