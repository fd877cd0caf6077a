// state_database: a voter's state in an LMDB environment, proof against torn and missing writes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "storage/lmdb_environment.hpp"
#include "storage/meta_page_repair.hpp"
#include "storage/stored_state.hpp"

namespace merlingauge::storage {

/// The files of one store. Every call blocks until the disk has done its part; all calls come from
/// one thread at a time (of a node: the event-loop thread loads, then the storage thread commits).
///
/// Invariant: after any loss of power, load() finds the last state that commit() reported as saved,
/// or the one whose commit was under way.
class StateDatabase {
 public:
  /// `directory` is created when first written to; its parent has to be there. `mapBytes` is the
  /// most that the data file can grow to.
  StateDatabase(std::string directory, std::size_t mapBytes);

  /// Creates the directory if it is missing. Where that fails, opening the files in it reports it.
  LoadResult loadWithoutDataFile();
  void createDirectory() const;
  /// Flushes the names of the files and of the directory itself; false where that failed.
  [[nodiscard]] bool syncNames() const;
  /// What was saved. Files that can't be read are removed, so that the store can be used again.
  [[nodiscard]] LoadResult load();
  /// Writes and flushes the state and its commit record. After an error nothing of it counts, and
  /// the next call opens the files anew, at the last recorded commit.
  [[nodiscard]] StorageResult commit(const StateRecord& record);

 private:
  [[nodiscard]] StorageResult open();
  [[nodiscard]] StorageResult writeState(const StateRecord& record);
  [[nodiscard]] StorageResult recordCommit();
  // Repairs the meta pages by the commit records. Only while the environment is closed.
  MetaPageRepair repair();
  void removeFiles();
  [[nodiscard]] LoadResult readState();
  [[nodiscard]] std::string pathOf(const char* fileName) const;

  std::string directory_;
  std::size_t mapBytes_;
  LmdbEnvironment environment_;
  std::uint64_t storedTextId_;  // of the text on the disk; kUnknownText after (re)opening
  bool namesSynced_ = false;    // since this object is there, and since files were last removed
  std::uint64_t lastCommitNumber_ = 0;  // of the newest commit record seen or written; only rises
};

}  // namespace merlingauge::storage
