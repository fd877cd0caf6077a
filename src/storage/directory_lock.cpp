#include "storage/directory_lock.hpp"

#include <fcntl.h>
#include <sys/file.h>

namespace merlingauge::storage {

DirectoryLock::DirectoryLock(const std::string& directory)
    : directory_(directory, O_RDONLY | O_DIRECTORY) {
  if (directory_.isOpen()) ::flock(directory_.get(), LOCK_SH | LOCK_NB);
}

bool DirectoryLock::isFree(const std::string& directory) {
  const StorageFile descriptor(directory, O_RDONLY | O_DIRECTORY);
  if (!descriptor.isOpen()) return true;
  return ::flock(descriptor.get(), LOCK_EX | LOCK_NB) == 0;
}

}  // namespace merlingauge::storage
