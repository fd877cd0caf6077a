#include "storage/checksummed_value.hpp"

#include <cstdint>
#include <cstring>

#include "base/hash.hpp"

namespace merlingauge::storage {

namespace {
constexpr std::size_t kChecksumBytes = sizeof(std::uint64_t);
}  // namespace

std::string withChecksum(const std::string& record) {
  const std::uint64_t checksum = stableHash(record);
  std::string stored(kChecksumBytes, '\0');
  std::memcpy(stored.data(), &checksum, kChecksumBytes);
  return stored + record;
}

std::optional<std::string> verifiedRecord(std::string_view stored) {
  if (stored.size() < kChecksumBytes) return std::nullopt;
  std::uint64_t checksum = 0;
  std::memcpy(&checksum, stored.data(), kChecksumBytes);
  std::string record(stored.substr(kChecksumBytes));
  if (stableHash(record) != checksum) return std::nullopt;
  return record;
}

}  // namespace merlingauge::storage
