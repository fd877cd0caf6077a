#include "storage/meta_page_repair.hpp"

#include <fcntl.h>

#include "base/hash.hpp"
#include "storage/storage_file.hpp"

namespace merlingauge::storage {

namespace {

MetaPageRepair damaged(std::string reason) {
  return {DataFileState::damaged,
          StorageError{StorageOperation::repairMetaPages, std::move(reason)}};
}

// Whether the meta page at `index` is the one that the commit left there.
bool matches(const MetaPages& pages, const CommitRecord& record, std::size_t index) {
  return stableHash(pages.at(index)) == record.metaPageHashes.at(index);
}

bool writeMetaPage(const std::string& dataFile, const std::string& page, std::size_t index) {
  const StorageFile file(dataFile, O_RDWR);
  return file.isOpen() && file.writeAt(page.data(), page.size(), index * page.size()) &&
         file.sync();
}

}  // namespace

std::optional<MetaPages> readMetaPages(const std::string& dataFile, std::size_t pageBytes) {
  const StorageFile file(dataFile, O_RDONLY);
  if (!file.isOpen()) return std::nullopt;
  MetaPages pages;
  for (std::size_t index = 0; index < kMetaPages; ++index) {
    auto& page = pages.at(index);
    page.resize(pageBytes);
    if (!file.readAt(page.data(), pageBytes, index * pageBytes)) return std::nullopt;
  }
  return pages;
}

MetaPageRepair repairMetaPages(const std::string& dataFile,
                               const std::vector<CommitRecord>& newestFirst) {
  if (newestFirst.empty()) return {DataFileState::neverCommitted, std::nullopt};
  if (!isNonEmptyFile(dataFile)) return damaged("the data file is missing");
  for (const auto& record : newestFirst) {
    if (record.newestMetaPage >= kMetaPages) continue;
    const auto pages = readMetaPages(dataFile, record.pageBytes);
    if (!pages) continue;
    const auto newest = static_cast<std::size_t>(record.newestMetaPage);
    if (!matches(*pages, record, newest)) continue;
    const std::size_t other = 1 - newest;
    if (!matches(*pages, record, other) && !writeMetaPage(dataFile, pages->at(newest), other)) {
      return damaged("a torn meta page can't be overwritten");
    }
    return {DataFileState::consistent, std::nullopt};
  }
  return damaged("no meta page is as a commit record says");
}

}  // namespace merlingauge::storage
