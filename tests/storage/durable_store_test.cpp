// The queue and the thread of the store, on a real disk.
#include "storage/durable_store.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <variant>
#include <vector>

#include "storage/store_layout.hpp"

namespace merlingauge::storage {
namespace {

namespace fs = std::filesystem;
constexpr std::size_t kMapBytes = 8U << 20U;

class DurableStoreTest : public ::testing::Test {
 protected:
  void SetUp() override {
    parent_ = fs::temp_directory_path() / ("durable-store-" + std::to_string(::getpid()));
    fs::remove_all(parent_);
    fs::create_directories(parent_);
  }
  void TearDown() override { fs::remove_all(parent_); }

  [[nodiscard]] std::string directory() const { return (parent_ / "register").string(); }
  static StateRecord record(const std::string& head) {
    return {head, config::ConfigText::create("text of " + head)};
  }

  event::EventLoop loop_;
  fs::path parent_;
};

TEST_F(DurableStoreTest, IsEmptyAtFirstAndLoadsWhatWasSaved) {
  {
    DurableStore store(loop_, directory(), kMapBytes);
    EXPECT_TRUE(std::holds_alternative<NothingStored>(store.load()));
    store.start();
    store.save(record("one"), [this](const StorageResult& error) {
      EXPECT_FALSE(error);
      loop_.stop();
    });
    loop_.run();
    EXPECT_EQ(store.commitCount(), 1U);
  }
  DurableStore store(loop_, directory(), kMapBytes);
  const auto loaded = store.load();
  const auto* state = std::get_if<StoredState>(&loaded);
  ASSERT_TRUE(state);
  EXPECT_EQ(state->head, "one");
  EXPECT_EQ(state->configText, "text of one");
}

TEST_F(DurableStoreTest, WritesStatesThatWaitTogetherOnceAndCallsBackInOrder) {
  std::vector<int> called;
  const auto note = [&called](int number) {
    return [&called, number](const StorageResult& error) {
      EXPECT_FALSE(error);
      called.push_back(number);
    };
  };
  {
    DurableStore store(loop_, directory(), kMapBytes);
    store.save(record("one"), note(1));
    store.afterPendingWrites(note(2));
    store.save(record("two"), note(3));
    store.afterPendingWrites([&](const StorageResult& error) {
      EXPECT_FALSE(error);
      loop_.stop();
    });
    store.start();
    loop_.run();
    EXPECT_EQ(store.commitCount(), 1U);
  }
  EXPECT_EQ(called, (std::vector<int>{1, 2, 3}));
  DurableStore store(loop_, directory(), kMapBytes);
  const auto loaded = store.load();
  const auto* state = std::get_if<StoredState>(&loaded);
  ASSERT_TRUE(state);
  EXPECT_EQ(state->head, "two");
}

TEST_F(DurableStoreTest, NamesTheOperationThatFailed) {
  std::ofstream(directory()) << "a file where the directory should be";
  DurableStore store(loop_, directory(), kMapBytes);
  store.start();
  StorageResult reported;
  store.save(record("one"), [&](const StorageResult& error) {
    reported = error;
    loop_.stop();
  });
  loop_.run();
  ASSERT_TRUE(reported);
  EXPECT_EQ(reported->operation, StorageOperation::open);
  EXPECT_EQ(store.commitCount(), 0U);
}

TEST_F(DurableStoreTest, RefusesWhatTheMapHasNoRoomForAndGoesOn) {
  DurableStore store(loop_, directory(), kMapBytes);
  store.start();
  StorageResult tooLarge;
  StorageResult next = StorageError{};
  const auto text = config::ConfigText::create(std::string(2 * kMapBytes, 'x'));
  store.save({"one", text}, [&](const StorageResult& error) {
    tooLarge = error;
    store.save(record("two"), [&](const StorageResult& later) {
      next = later;
      loop_.stop();
    });
  });
  loop_.run();
  ASSERT_TRUE(tooLarge);
  EXPECT_EQ(tooLarge->operation, StorageOperation::map);
  EXPECT_FALSE(next);
}

// Guards against a store that loads as empty beside commit records of a lost file, and refuses
// every save because of them.
TEST_F(DurableStoreTest, IsDamagedWithoutItsDataFileAndTakesSavesAgain) {
  const auto save = [this](DurableStore& store, const std::string& head) {
    StorageResult result;
    store.start();
    store.save(record(head), [&](const StorageResult& error) {
      result = error;
      loop_.stop();
    });
    loop_.run();
    return result;
  };
  {
    DurableStore store(loop_, directory(), kMapBytes);
    EXPECT_FALSE(save(store, "one"));
  }
  fs::remove(fs::path(directory()) / kDataFile);
  {
    DurableStore store(loop_, directory(), kMapBytes);
    EXPECT_TRUE(std::holds_alternative<StorageError>(store.load()));
    EXPECT_FALSE(save(store, "two"));
  }
  DurableStore store(loop_, directory(), kMapBytes);
  const auto loaded = store.load();
  const auto* state = std::get_if<StoredState>(&loaded);
  ASSERT_TRUE(state);
  EXPECT_EQ(state->head, "two");
}

TEST_F(DurableStoreTest, MarksItsDirectoryAsInUse) {
  {
    DurableStore store(loop_, directory(), kMapBytes);
    EXPECT_TRUE(DirectoryLock::isFree(directory()));
    store.start();
    EXPECT_FALSE(DirectoryLock::isFree(directory()));
  }
  EXPECT_TRUE(DirectoryLock::isFree(directory()));
}

}  // namespace
}  // namespace merlingauge::storage
