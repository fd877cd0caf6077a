// storage_error: what a storage operation reports when it fails.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace merlingauge::storage {

/// The step at which the disk or LMDB refused.
enum class StorageOperation : std::uint8_t {
  open,               ///< create or open the directory or the LMDB environment
  map,                ///< reserve the memory map, or find room in it for a value
  read,               ///< read a stored value, or what was read fails its checksum
  write,              ///< write a value into a transaction, or the transaction to the file
  sync,               ///< flush the data file to the disk
  writeCommitRecord,  ///< write or flush the commit record that makes a transaction count
  repairMetaPages,    ///< find a meta page that a commit record vouches for, or restore the other
};

/// One failed operation. A value type: it is handed from the storage thread to the event loop.
struct StorageError {
  StorageOperation operation = StorageOperation::open;
  std::string reason;  ///< of the operating system or of LMDB, or what a check found

  /// One line for the log and for the operator: "OPERATION: REASON".
  [[nodiscard]] std::string message() const;
};

/// The result of an operation that yields nothing: empty on success.
using StorageResult = std::optional<StorageError>;

/// The error for a failed system call, from errno. Call it before errno can change.
StorageError systemError(StorageOperation operation);

}  // namespace merlingauge::storage
