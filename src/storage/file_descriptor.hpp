// file_descriptor: an owned file descriptor, and the few file operations that storage needs.
#pragma once

#include <cstddef>
#include <string>

namespace merlingauge::storage {

/// Owns one descriptor and closes it. Movable, not copyable. No thread of its own: use it on one
/// thread at a time.
class FileDescriptor {
 public:
  /// Opens `path` with the flags of open(2); a file that O_CREAT makes is for its owner only.
  /// isOpen() tells whether that went well.
  FileDescriptor(const std::string& path, int flags);
  ~FileDescriptor();
  FileDescriptor(FileDescriptor&& other) noexcept;
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  [[nodiscard]] bool isOpen() const { return descriptor_ >= 0; }
  /// The descriptor itself, -1 where none is open. It stays owned by this object.
  [[nodiscard]] int get() const { return descriptor_; }
  /// Reads exactly `size` bytes from `offset`; false on an error or before the end is reached.
  [[nodiscard]] bool readAt(void* target, std::size_t size, std::size_t offset) const;
  /// Writes all `size` bytes at `offset`; false where not all of them could be written.
  [[nodiscard]] bool writeAt(const void* source, std::size_t size, std::size_t offset) const;
  /// fsync: true once everything written is on the disk.
  [[nodiscard]] bool sync() const;
  /// Closes early, to learn whether a delayed write failed.
  [[nodiscard]] bool close();

 private:
  int descriptor_;  // -1: none
};

/// Whether a file with at least one byte is there.
bool isNonEmptyFile(const std::string& path);

/// Flushes a directory, so that files created, renamed or removed in it stay so after a power loss.
bool syncDirectory(const std::string& path);

}  // namespace merlingauge::storage
