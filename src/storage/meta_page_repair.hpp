// meta_page_repair: finds the newest commit that is whole on the disk and restores a torn or
// unrecorded meta page of LMDB, before LMDB reads the file.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "storage/commit_record.hpp"
#include "storage/storage_error.hpp"

namespace merlingauge::storage {

/// The bytes of both meta pages.
using MetaPages = std::array<std::string, kMetaPages>;

/// Reads both meta pages of a data file; none where they can't be read whole.
std::optional<MetaPages> readMetaPages(const std::string& dataFile, std::size_t pageBytes);

/// What the data file holds, by the commit records.
enum class DataFileState : std::uint8_t {
  neverCommitted,  ///< no commit was ever reported as saved; whatever the file holds doesn't count
  consistent,      ///< LMDB will open the newest recorded commit
  damaged,         ///< a commit was recorded, and no meta page of it is there or can be restored
};

struct MetaPageRepair {
  DataFileState state = DataFileState::damaged;
  StorageResult error;  ///< why, where the state is `damaged`
};

/// Compares the meta pages with the records, the newest record first. The meta page that a record's
/// commit wrote has to be as recorded. Where the other one isn't (a later transaction was torn, or
/// not recorded before the power went), it is overwritten with the recorded one, so that LMDB can't
/// choose it. Must not be called while the file is open in LMDB.
MetaPageRepair repairMetaPages(const std::string& dataFile,
                               const std::vector<CommitRecord>& newestFirst);

}  // namespace merlingauge::storage
