#include "storage/storage_error.hpp"

#include <cerrno>
#include <system_error>

namespace merlingauge::storage {

namespace {

const char* nameOf(StorageOperation operation) {
  switch (operation) {
    case StorageOperation::open:
      return "open";
    case StorageOperation::map:
      return "map";
    case StorageOperation::read:
      return "read";
    case StorageOperation::write:
      return "write";
    case StorageOperation::sync:
      return "sync";
    case StorageOperation::writeCommitRecord:
      return "write commit record";
    case StorageOperation::repairMetaPages:
      return "repair meta pages";
  }
  return "storage";
}

}  // namespace

std::string StorageError::message() const { return std::string(nameOf(operation)) + ": " + reason; }

StorageError systemError(StorageOperation operation) {
  return {operation, std::generic_category().message(errno)};
}

}  // namespace merlingauge::storage
