// directory_lock: marks a store's directory as in use by a running process.
#pragma once

#include <string>

#include "storage/storage_file.hpp"

namespace merlingauge::storage {

/// An advisory lock (flock) on a directory, held until destruction or the end of the process. It is
/// shared, so that a process that ends late never keeps its successor from starting; it only keeps
/// an operator's restore from replacing the files of a running process.
class DirectoryLock {
 public:
  /// Takes the lock if it is free. A store works the same without it, so a failure is no error.
  explicit DirectoryLock(const std::string& directory);

  /// Whether no process holds the lock. A directory that isn't there is free.
  static bool isFree(const std::string& directory);

 private:
  StorageFile directory_;
};

}  // namespace merlingauge::storage
