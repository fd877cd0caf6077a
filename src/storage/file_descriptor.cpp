#include "storage/file_descriptor.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <utility>

namespace merlingauge::storage {

namespace {
// The state of a voter is nobody else's to read or to change.
constexpr mode_t kOwnerOnly = 0600;
}  // namespace

FileDescriptor::FileDescriptor(const std::string& path, int flags)
    : descriptor_(::open(path.c_str(), flags | O_CLOEXEC, kOwnerOnly)) {}

FileDescriptor::~FileDescriptor() {
  if (isOpen()) ::close(descriptor_);
}

FileDescriptor::FileDescriptor(FileDescriptor&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)) {}

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  std::swap(descriptor_, other.descriptor_);
  return *this;
}

bool FileDescriptor::readAt(void* target, std::size_t size, std::size_t offset) const {
  return ::pread(descriptor_, target, size, static_cast<off_t>(offset)) ==
         static_cast<ssize_t>(size);
}

bool FileDescriptor::writeAt(const void* source, std::size_t size, std::size_t offset) const {
  const auto* bytes = static_cast<const char*>(source);
  std::size_t written = 0;
  while (written < size) {
    const auto count = ::pwrite(descriptor_, bytes + written, size - written,
                                static_cast<off_t>(offset + written));
    if (count <= 0) return false;
    written += static_cast<std::size_t>(count);
  }
  return true;
}

bool FileDescriptor::sync() const { return ::fsync(descriptor_) == 0; }

bool FileDescriptor::close() { return ::close(std::exchange(descriptor_, -1)) == 0; }

bool isNonEmptyFile(const std::string& path) {
  struct stat info {};
  return ::stat(path.c_str(), &info) == 0 && info.st_size > 0;
}

bool syncDirectory(const std::string& path) {
  const FileDescriptor directory(path, O_RDONLY | O_DIRECTORY);
  return directory.isOpen() && directory.sync();
}

}  // namespace merlingauge::storage
