#include "storage/storage_file.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace merlingauge::storage {

namespace {
// The state of a voter is nobody else's to read or to change.
constexpr mode_t kOwnerOnly = 0600;
}  // namespace

StorageFile::StorageFile(const std::string& path, int flags)
    : descriptor_(::open(path.c_str(), flags | O_CLOEXEC, kOwnerOnly)) {}

bool StorageFile::readAt(void* target, std::size_t size, std::size_t offset) const {
  return ::pread(descriptor_.get(), target, size, static_cast<off_t>(offset)) ==
         static_cast<ssize_t>(size);
}

bool StorageFile::writeAt(const void* source, std::size_t size, std::size_t offset) const {
  const auto* bytes = static_cast<const char*>(source);
  std::size_t written = 0;
  while (written < size) {
    const auto count = ::pwrite(descriptor_.get(), bytes + written, size - written,
                                static_cast<off_t>(offset + written));
    if (count <= 0) return false;
    written += static_cast<std::size_t>(count);
  }
  return true;
}

bool StorageFile::sync() const { return ::fsync(descriptor_.get()) == 0; }

bool StorageFile::close() { return ::close(descriptor_.release()) == 0; }

bool isNonEmptyFile(const std::string& path) {
  struct stat info {};
  return ::stat(path.c_str(), &info) == 0 && info.st_size > 0;
}

bool syncDirectory(const std::string& path) {
  const StorageFile directory(path, O_RDONLY | O_DIRECTORY);
  return directory.isOpen() && directory.sync();
}

}  // namespace merlingauge::storage
