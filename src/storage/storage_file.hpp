// storage_file: an open file with the few operations that storage needs.
#pragma once

#include <cstddef>
#include <string>

#include "base/file_descriptor.hpp"

namespace merlingauge::storage {

/// One open file or directory. Movable, not copyable. No thread of its own: use it on one thread at
/// a time.
class StorageFile {
 public:
  /// Opens `path` with the flags of open(2); a file that O_CREAT makes is for its owner only.
  /// isOpen() tells whether that went well.
  StorageFile(const std::string& path, int flags);

  [[nodiscard]] bool isOpen() const { return descriptor_.get() >= 0; }
  /// The descriptor itself, -1 where none is open. It stays owned by this object.
  [[nodiscard]] int get() const { return descriptor_.get(); }
  /// Reads exactly `size` bytes from `offset`; false on an error or before the end is reached.
  [[nodiscard]] bool readAt(void* target, std::size_t size, std::size_t offset) const;
  /// Writes all `size` bytes at `offset`; false where not all of them could be written.
  [[nodiscard]] bool writeAt(const void* source, std::size_t size, std::size_t offset) const;
  /// fsync: true once everything written is on the disk.
  [[nodiscard]] bool sync() const;
  /// Closes early, to learn whether a delayed write failed.
  [[nodiscard]] bool close();

 private:
  FileDescriptor descriptor_;
};

/// Whether a file with at least one byte is there.
bool isNonEmptyFile(const std::string& path);

/// Flushes a directory, so that files created, renamed or removed in it stay so after a power loss.
bool syncDirectory(const std::string& path);

}  // namespace merlingauge::storage
