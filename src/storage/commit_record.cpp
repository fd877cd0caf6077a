#include "storage/commit_record.hpp"

#include <fcntl.h>

#include <algorithm>
#include <type_traits>

#include "base/hash.hpp"
#include "storage/storage_file.hpp"

namespace merlingauge::storage {

namespace {
constexpr std::size_t kSlots = 2;
// A page of the disk: no torn write of one slot touches the other.
constexpr std::size_t kSlotBytes = 4096;
constexpr std::uint64_t kChecksumSeed = 3;

// The bytes of the struct are the bytes of the slot.
static_assert(std::is_trivially_copyable_v<CommitRecord>);
static_assert(sizeof(CommitRecord) == 48);
static_assert(offsetof(CommitRecord, pageBytes) == 8);
static_assert(offsetof(CommitRecord, metaPageHashes) == 16);
static_assert(offsetof(CommitRecord, newestMetaPage) == 32);
static_assert(offsetof(CommitRecord, checksum) == 40);

std::size_t slotOffset(std::uint64_t number) { return (number % kSlots) * kSlotBytes; }
}  // namespace

std::uint64_t CommitRecord::expectedChecksum() const {
  std::string text;
  for (const auto field :
       {number, pageBytes, metaPageHashes[0], metaPageHashes[1], newestMetaPage}) {
    text += std::to_string(field) + "/";
  }
  return stableHash(text, kChecksumSeed);
}

std::vector<CommitRecord> readCommitRecords(const std::string& path) {
  std::vector<CommitRecord> records;
  const StorageFile file(path, O_RDONLY);
  if (!file.isOpen()) return records;
  for (std::size_t slot = 0; slot < kSlots; ++slot) {
    CommitRecord record;
    if (!file.readAt(&record, sizeof record, slotOffset(slot))) continue;
    if (record.number == 0 || record.checksum != record.expectedChecksum()) continue;
    records.push_back(record);
  }
  std::sort(records.begin(), records.end(),
            [](const CommitRecord& left, const CommitRecord& right) {
              return left.number > right.number;
            });
  return records;
}

StorageResult writeCommitRecord(const std::string& path, CommitRecord record) {
  record.checksum = record.expectedChecksum();
  const StorageFile file(path, O_RDWR | O_CREAT);
  if (!file.isOpen() || !file.writeAt(&record, sizeof record, slotOffset(record.number)) ||
      !file.sync()) {
    return systemError(StorageOperation::writeCommitRecord);
  }
  return std::nullopt;
}

}  // namespace merlingauge::storage
