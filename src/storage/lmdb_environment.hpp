// lmdb_environment: owns an open LMDB environment, and one transaction on it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "storage/storage_error.hpp"

struct MDB_env;
struct MDB_txn;

namespace merlingauge::storage {

/// An LMDB environment with its unnamed database. Belongs to one thread: it is opened without
/// LMDB's lock file, which only several processes or threads would need.
class LmdbEnvironment {
 public:
  LmdbEnvironment() = default;
  ~LmdbEnvironment() { close(); }
  LmdbEnvironment(const LmdbEnvironment&) = delete;
  LmdbEnvironment& operator=(const LmdbEnvironment&) = delete;

  /// Opens the files in `directory`, created if they are missing, with a map of `mapBytes`: the
  /// most that the data file can grow to. On an error nothing is open.
  [[nodiscard]] StorageResult open(const std::string& directory, std::size_t mapBytes);
  void close();
  [[nodiscard]] bool isOpen() const { return environment_ != nullptr; }

  /// Flushes the data file, also where LMDB believes that it has been.
  [[nodiscard]] StorageResult sync();

  /// What a commit record needs to know of the file.
  struct FileInfo {
    std::size_t pageBytes = 0;
    std::uint64_t lastTransactionId = 0;  ///< its lowest bit names the meta page it wrote
  };
  [[nodiscard]] std::variant<FileInfo, StorageError> fileInfo() const;

 private:
  friend class LmdbTransaction;
  [[nodiscard]] StorageResult openFiles(const std::string& directory, std::size_t mapBytes);
  [[nodiscard]] StorageResult openDatabase();

  MDB_env* environment_ = nullptr;  // owned; null while closed
  unsigned database_ = 0;           // LMDB's handle (MDB_dbi), valid while the environment is open
};

/// One transaction; it is aborted at the end of its scope unless it was committed. The first error
/// is kept: what is called after it does nothing, and commit() returns it.
class LmdbTransaction {
 public:
  enum class Mode : std::uint8_t { readOnly, readWrite };

  /// Begins a transaction on an open environment, which has to outlive it.
  LmdbTransaction(LmdbEnvironment& environment, Mode mode);
  ~LmdbTransaction();
  LmdbTransaction(const LmdbTransaction&) = delete;
  LmdbTransaction& operator=(const LmdbTransaction&) = delete;

  /// The value of a key; none where there is none, or after an error.
  [[nodiscard]] std::optional<std::string> get(std::string_view key);
  void put(std::string_view key, std::string_view value);
  /// Ends the transaction: LMDB has written the pages, flushed them, and written the meta page.
  [[nodiscard]] StorageResult commit();
  [[nodiscard]] const StorageResult& error() const { return error_; }

 private:
  unsigned database_;
  MDB_txn* transaction_ = nullptr;  // owned; null once it has ended or where it couldn't begin
  StorageResult error_;
};

}  // namespace merlingauge::storage
