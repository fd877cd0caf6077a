// commit_record: the record, in a file beside the database, that makes a committed transaction
// count.
//
// LMDB chooses between its two meta pages by their transaction number alone and writes the newer
// one last, so a torn meta page could be taken for a good one. After each transaction is on the
// disk, a commit record with the hashes of both meta pages is written and flushed; only then is the
// transaction reported as saved.
//
// The file has two slots, 4096 bytes apart. Record n is written into slot n % 2, so that the record
// before it stays whole until this one is on the disk. Each slot, in the byte order of the machine:
//
//   offset  size  content
//        0     8  number: 1 for the first record of a store, then rising by 1
//        8     8  page size of the database in bytes
//       16     8  stableHash of meta page 0, all of its bytes
//       24     8  stableHash of meta page 1
//       32     8  which meta page (0 or 1) this commit wrote
//       40     8  checksum: stableHash, seed 3, of the five numbers above in decimal, "/" after
//       each 48        unused up to the next slot
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "storage/storage_error.hpp"

namespace merlingauge::storage {

/// LMDB has two meta pages, the first two pages of its file.
constexpr std::size_t kMetaPages = 2;

/// One slot of the file, exactly as it is on the disk.
struct CommitRecord {
  std::uint64_t number = 0;  ///< 0: a slot that was never written
  std::uint64_t pageBytes = 0;
  std::array<std::uint64_t, kMetaPages> metaPageHashes{};
  std::uint64_t newestMetaPage = 0;  ///< the index of the meta page that this commit wrote
  std::uint64_t checksum = 0;

  /// The checksum that the other fields ask for.
  [[nodiscard]] std::uint64_t expectedChecksum() const;
};

/// The whole records in the file, the newest first: two, one, or none. A torn one is left out.
std::vector<CommitRecord> readCommitRecords(const std::string& path);

/// Writes the record, checksum included, into its slot and flushes it.
[[nodiscard]] StorageResult writeCommitRecord(const std::string& path, CommitRecord record);

}  // namespace merlingauge::storage
