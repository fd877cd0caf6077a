// file_descriptor: the owner of one descriptor of the operating system.
#pragma once

#include <unistd.h>

#include <utility>

namespace merlingauge {

/// Closes its descriptor at the end of its life. Movable; belongs to one thread at a time.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  /// Takes over `descriptor`; -1 for none.
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  ~FileDescriptor() {
    if (descriptor_ >= 0) ::close(descriptor_);
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(other.release()) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }

  [[nodiscard]] int get() const { return descriptor_; }
  /// Gives the descriptor up: the caller closes it.
  [[nodiscard]] int release() { return std::exchange(descriptor_, -1); }

 private:
  int descriptor_ = -1;
};

}  // namespace merlingauge
