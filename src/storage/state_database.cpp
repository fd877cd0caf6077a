#include "storage/state_database.hpp"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "base/hash.hpp"
#include "storage/checksummed_value.hpp"
#include "storage/commit_record.hpp"
#include "storage/storage_file.hpp"
#include "storage/store_layout.hpp"

namespace merlingauge::storage {

namespace {

constexpr mode_t kOwnerOnlyDirectory = 0700;
// Neither is the id of a configuration text: that is a 64-bit hash made odd, so never 0, and 1 only
// by a chance of 2^-63.
constexpr std::uint64_t kUnknownText = 0;
constexpr std::uint64_t kNoText = 1;

std::uint64_t textIdOf(const StateRecord& record) {
  return record.configText ? record.configText->id() : kNoText;
}

}  // namespace

StateDatabase::StateDatabase(std::string directory, std::size_t mapBytes)
    : directory_(std::move(directory)), mapBytes_(mapBytes), storedTextId_(kUnknownText) {}

std::string StateDatabase::pathOf(const char* fileName) const {
  return directory_ + "/" + fileName;
}

LoadResult StateDatabase::load() {
  if (!isNonEmptyFile(pathOf(kDataFile))) return loadWithoutDataFile();
  const auto repaired = repair();
  if (repaired.state == DataFileState::neverCommitted) return NothingStored{};
  if (repaired.error) {
    removeFiles();
    return *repaired.error;
  }
  if (auto error = open()) return std::move(*error);
  return readState();
}

// Commit records that outlive their data file would refuse every later one.
LoadResult StateDatabase::loadWithoutDataFile() {
  if (readCommitRecords(pathOf(kCommitRecordFile)).empty()) return NothingStored{};
  removeFiles();
  return StorageError{StorageOperation::read, "the data file is missing"};
}

LoadResult StateDatabase::readState() {
  std::optional<std::string> head;
  std::optional<std::string> text;
  {
    LmdbTransaction transaction(environment_, LmdbTransaction::Mode::readOnly);
    if (transaction.error()) return *transaction.error();
    const auto storedHead = transaction.get(kHeadKey);
    const auto storedText = transaction.get(kTextKey);
    if (storedHead) head = verifiedRecord(*storedHead);
    if (storedText) text = verifiedRecord(*storedText);
  }
  if (!head || !text) {
    removeFiles();
    return StorageError{StorageOperation::read, "the stored state is damaged"};
  }
  return StoredState{std::move(*head), std::move(*text)};
}

StorageResult StateDatabase::commit(const StateRecord& record) {
  auto error = open();
  if (!error) error = writeState(record);
  if (!error) error = recordCommit();
  if (error) {
    environment_.close();
    return error;
  }
  storedTextId_ = textIdOf(record);
  return std::nullopt;
}

StorageResult StateDatabase::open() {
  if (environment_.isOpen()) return std::nullopt;
  createDirectory();
  auto repaired = repair();
  if (repaired.error) return std::move(repaired.error);
  // A data file without a commit record: no save of it was ever reported.
  if (repaired.state == DataFileState::neverCommitted && isNonEmptyFile(pathOf(kDataFile))) {
    removeFiles();
  }
  storedTextId_ = kUnknownText;
  return environment_.open(directory_, mapBytes_);
}

void StateDatabase::createDirectory() const { ::mkdir(directory_.c_str(), kOwnerOnlyDirectory); }

bool StateDatabase::syncNames() const {
  return syncDirectory(directory_) && syncDirectory(directory_.substr(0, directory_.rfind('/')));
}

MetaPageRepair StateDatabase::repair() {
  const auto records = readCommitRecords(pathOf(kCommitRecordFile));
  if (!records.empty()) lastCommitNumber_ = std::max(lastCommitNumber_, records.front().number);
  return repairMetaPages(pathOf(kDataFile), records);
}

void StateDatabase::removeFiles() {
  environment_.close();
  ::unlink(pathOf(kDataFile).c_str());
  ::unlink(pathOf(kCommitRecordFile).c_str());
  syncDirectory(directory_);
  namesSynced_ = false;
  storedTextId_ = kUnknownText;
}

StorageResult StateDatabase::writeState(const StateRecord& record) {
  LmdbTransaction transaction(environment_, LmdbTransaction::Mode::readWrite);
  transaction.put(kHeadKey, withChecksum(record.head));
  if (storedTextId_ != textIdOf(record)) {
    transaction.put(kTextKey, withChecksum(record.configText ? record.configText->text() : ""));
  }
  if (auto error = transaction.commit()) return error;
  // LMDB writes the meta page last and leaves its flush to the system.
  return environment_.sync();
}

StorageResult StateDatabase::recordCommit() {
  const auto info = environment_.fileInfo();
  if (const auto* error = std::get_if<StorageError>(&info)) return *error;
  const auto& [pageBytes, lastTransactionId] = std::get<LmdbEnvironment::FileInfo>(info);
  const auto pages = readMetaPages(pathOf(kDataFile), pageBytes);
  if (!pages) return systemError(StorageOperation::writeCommitRecord);
  CommitRecord record;
  record.number = lastCommitNumber_ + 1;
  record.pageBytes = pageBytes;
  for (std::size_t index = 0; index < kMetaPages; ++index) {
    record.metaPageHashes.at(index) = stableHash(pages->at(index));
  }
  record.newestMetaPage = lastTransactionId % kMetaPages;
  if (auto error = writeCommitRecord(pathOf(kCommitRecordFile), record)) return error;
  // Both files and the directory may be new, and an earlier process or an earlier commit may have
  // failed before it had synced their names.
  if (!namesSynced_ && !syncNames()) return systemError(StorageOperation::sync);
  namesSynced_ = true;
  lastCommitNumber_ = record.number;
  return std::nullopt;
}

}  // namespace merlingauge::storage
