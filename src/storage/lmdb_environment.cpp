#include "storage/lmdb_environment.hpp"

#include <lmdb.h>

#include <utility>

namespace merlingauge::storage {

namespace {

// The state of a voter is nobody else's to read or to change.
constexpr mdb_mode_t kOwnerOnly = 0600;
// No lock file and no reader table tied to threads: one thread of one process uses the files. No
// read-ahead: they are read once, at the start.
constexpr unsigned kEnvironmentFlags = MDB_NOLOCK | MDB_NOTLS | MDB_NORDAHEAD;
constexpr int kForceSync = 1;

StorageResult resultOf(int code, StorageOperation operation) {
  if (code == MDB_SUCCESS) return std::nullopt;
  if (code == MDB_MAP_FULL) operation = StorageOperation::map;
  return StorageError{operation, mdb_strerror(code)};
}

// LMDB's C interface takes a mutable pointer and only reads through it.
MDB_val lmdbValue(std::string_view bytes) {
  return {bytes.size(), const_cast<char*>(bytes.data())};
}

}  // namespace

StorageResult LmdbEnvironment::open(const std::string& directory, std::size_t mapBytes) {
  auto error = openFiles(directory, mapBytes);
  if (!error) error = openDatabase();
  if (error) close();
  return error;
}

StorageResult LmdbEnvironment::openFiles(const std::string& directory, std::size_t mapBytes) {
  if (auto error = resultOf(mdb_env_create(&environment_), StorageOperation::open)) return error;
  if (auto error = resultOf(mdb_env_set_mapsize(environment_, mapBytes), StorageOperation::map)) {
    return error;
  }
  return resultOf(mdb_env_open(environment_, directory.c_str(), kEnvironmentFlags, kOwnerOnly),
                  StorageOperation::open);
}

StorageResult LmdbEnvironment::openDatabase() {
  MDB_txn* transaction = nullptr;
  if (auto error = resultOf(mdb_txn_begin(environment_, nullptr, MDB_RDONLY, &transaction),
                            StorageOperation::open)) {
    return error;
  }
  if (auto error =
          resultOf(mdb_dbi_open(transaction, nullptr, 0, &database_), StorageOperation::open)) {
    mdb_txn_abort(transaction);
    return error;
  }
  return resultOf(mdb_txn_commit(transaction), StorageOperation::open);
}

void LmdbEnvironment::close() {
  if (environment_ != nullptr) mdb_env_close(environment_);
  environment_ = nullptr;
}

StorageResult LmdbEnvironment::sync() {
  return resultOf(mdb_env_sync(environment_, kForceSync), StorageOperation::sync);
}

std::variant<LmdbEnvironment::FileInfo, StorageError> LmdbEnvironment::fileInfo() const {
  MDB_stat statistics{};
  if (auto error = resultOf(mdb_env_stat(environment_, &statistics), StorageOperation::read)) {
    return std::move(*error);
  }
  MDB_envinfo info{};
  if (auto error = resultOf(mdb_env_info(environment_, &info), StorageOperation::read)) {
    return std::move(*error);
  }
  return FileInfo{statistics.ms_psize, info.me_last_txnid};
}

LmdbTransaction::LmdbTransaction(LmdbEnvironment& environment, Mode mode)
    : database_(environment.database_) {
  const bool readOnly = mode == Mode::readOnly;
  error_ = resultOf(
      mdb_txn_begin(environment.environment_, nullptr, readOnly ? MDB_RDONLY : 0U, &transaction_),
      readOnly ? StorageOperation::read : StorageOperation::write);
  if (error_) transaction_ = nullptr;
}

LmdbTransaction::~LmdbTransaction() {
  if (transaction_ != nullptr) mdb_txn_abort(transaction_);
}

std::optional<std::string> LmdbTransaction::get(std::string_view key) {
  if (error_) return std::nullopt;
  MDB_val lmdbKey = lmdbValue(key);
  MDB_val found{};
  const int code = mdb_get(transaction_, database_, &lmdbKey, &found);
  if (code == MDB_NOTFOUND) return std::nullopt;
  error_ = resultOf(code, StorageOperation::read);
  if (error_) return std::nullopt;
  return std::string(static_cast<const char*>(found.mv_data), found.mv_size);
}

void LmdbTransaction::put(std::string_view key, std::string_view value) {
  if (error_) return;
  MDB_val lmdbKey = lmdbValue(key);
  MDB_val stored = lmdbValue(value);
  error_ =
      resultOf(mdb_put(transaction_, database_, &lmdbKey, &stored, 0), StorageOperation::write);
}

StorageResult LmdbTransaction::commit() {
  if (error_) return error_;
  // LMDB frees the transaction whether or not the commit goes well.
  error_ = resultOf(mdb_txn_commit(std::exchange(transaction_, nullptr)), StorageOperation::write);
  return error_;
}

}  // namespace merlingauge::storage
