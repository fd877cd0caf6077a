// The commit records of the compatibility fixture: read, and written again byte for byte.
#include "storage/commit_record.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "storage/meta_page_repair.hpp"
#include "storage/store_layout.hpp"

namespace merlingauge::storage {
namespace {

namespace fs = std::filesystem;
const fs::path kStoredBy010 = fs::path(FIXTURES_FOLDER) / "store" / "register";
constexpr std::size_t kPageBytes = 4096;

std::string contents(const fs::path& path) {
  const std::ifstream file(path, std::ios::binary);
  std::stringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

class CommitRecords : public ::testing::Test {
 protected:
  void SetUp() override {
    directory_ = fs::temp_directory_path() / ("commit-records-" + std::to_string(::getpid()));
    fs::remove_all(directory_);
    fs::create_directories(directory_);
    fs::copy(kStoredBy010 / kDataFile, dataFile());
    fs::copy(kStoredBy010 / kCommitRecordFile, recordFile());
  }
  void TearDown() override { fs::remove_all(directory_); }

  [[nodiscard]] std::string recordFile() const { return (directory_ / kCommitRecordFile).string(); }
  [[nodiscard]] std::string dataFile() const { return (directory_ / kDataFile).string(); }
  [[nodiscard]] MetaPageRepair repair() const {
    return repairMetaPages(dataFile(), readCommitRecords(recordFile()));
  }
  static void overwrite(const std::string& path, std::size_t offset, const std::string& bytes) {
    std::fstream file(path, std::ios::binary | std::ios::in | std::ios::out);
    file.seekp(static_cast<std::streamoff>(offset));
    file << bytes;
  }

 private:
  fs::path directory_;
};

TEST_F(CommitRecords, AreReadNewestFirst) {
  const auto records = readCommitRecords(recordFile());
  ASSERT_EQ(records.size(), 2U);
  EXPECT_EQ(records[0].number, 11U);
  EXPECT_EQ(records[0].pageBytes, kPageBytes);
  EXPECT_EQ(records[0].newestMetaPage, 1U);
  EXPECT_EQ(records[1].number, 10U);
  EXPECT_EQ(records[1].newestMetaPage, 0U);
}

TEST_F(CommitRecords, AreWrittenAgainByteForByte) {
  const auto records = readCommitRecords(recordFile());
  const auto copy = recordFile() + "-copy";
  for (const auto& record : records) EXPECT_FALSE(writeCommitRecord(copy, record));
  EXPECT_EQ(contents(copy), contents(kStoredBy010 / kCommitRecordFile));
}

TEST_F(CommitRecords, LeaveOutATornOne) {
  overwrite(recordFile(), kPageBytes + 20, "torn");
  const auto records = readCommitRecords(recordFile());
  ASSERT_EQ(records.size(), 1U);
  EXPECT_EQ(records[0].number, 10U);
}

TEST_F(CommitRecords, FailWhereTheFileCannotBeCreated) {
  const auto error = writeCommitRecord(recordFile() + "/below", CommitRecord{});
  ASSERT_TRUE(error);
  EXPECT_EQ(error->operation, StorageOperation::writeCommitRecord);
}

TEST_F(CommitRecords, LeaveRecordedMetaPagesAlone) {
  EXPECT_EQ(repair().state, DataFileState::consistent);
  EXPECT_EQ(contents(dataFile()), contents(kStoredBy010 / kDataFile));
}

TEST_F(CommitRecords, ReplaceTheTornMetaPageByTheRecordedOne) {
  overwrite(dataFile(), 100, "torn");
  EXPECT_EQ(repair().state, DataFileState::consistent);
  const auto pages = readMetaPages(dataFile(), kPageBytes);
  ASSERT_TRUE(pages);
  EXPECT_EQ(pages->at(0), pages->at(1));
  EXPECT_EQ(pages->at(1), contents(kStoredBy010 / kDataFile).substr(kPageBytes, kPageBytes));
}

TEST_F(CommitRecords, TakeTheOneBeforeWhereTheNewestMetaPageIsTorn) {
  overwrite(dataFile(), kPageBytes + 100, "torn");
  EXPECT_EQ(repair().state, DataFileState::consistent);
  const auto pages = readMetaPages(dataFile(), kPageBytes);
  ASSERT_TRUE(pages);
  EXPECT_EQ(pages->at(0), pages->at(1));
}

TEST_F(CommitRecords, ReportDamageWhereNoMetaPageFits) {
  overwrite(dataFile(), 100, "torn");
  overwrite(dataFile(), kPageBytes + 100, "torn");
  const auto result = repair();
  EXPECT_EQ(result.state, DataFileState::damaged);
  ASSERT_TRUE(result.error);
  EXPECT_EQ(result.error->operation, StorageOperation::repairMetaPages);
}

TEST_F(CommitRecords, ThatAreMissingMakeTheDataFileCountAsNeverCommitted) {
  fs::remove(recordFile());
  EXPECT_EQ(repair().state, DataFileState::neverCommitted);
}

}  // namespace
}  // namespace merlingauge::storage
