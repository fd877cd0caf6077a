// checksummed_value: a stored value with the checksum that tells a damaged one.
//
//   offset  size  content
//        0     8  stableHash of the record, in the byte order of the machine
//        8     n  the record
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace merlingauge::storage {

/// The record with its checksum in front.
std::string withChecksum(const std::string& record);

/// The record without its checksum; none where the checksum doesn't fit.
std::optional<std::string> verifiedRecord(std::string_view stored);

}  // namespace merlingauge::storage
