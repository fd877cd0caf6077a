// voter_store.hpp: test fixture with a copy of the store that a voter of version 0.1.0 wrote.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdint>
#include <filesystem>
#include <string>
#include <variant>

#include "compatibility/fixture_files.hpp"
#include "consensus/acceptor.hpp"
#include "consensus/acceptor_state_codec.hpp"
#include "storage/state_database.hpp"

namespace merlingauge::test {

/// Size of the map of the test stores: far above the few kilobytes of the recorded state.
constexpr std::size_t kDiskBytes = 8U << 20U;

/// A copy of the recorded store in a folder of its own: a store is written to when it is opened.
class VoterStore : public ::testing::Test {
 protected:
  void SetUp() override {
    folder_ = std::filesystem::temp_directory_path() /
              ("fixtures-" + std::to_string(::getpid()) + "-" +
               ::testing::UnitTest::GetInstance()->current_test_info()->name());
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    std::filesystem::copy(kFixtures / "store" / "register", registerFolder());
  }
  void TearDown() override { std::filesystem::remove_all(folder_); }
  [[nodiscard]] std::filesystem::path registerFolder() const { return folder_ / "register"; }
  [[nodiscard]] const std::filesystem::path& folder() const { return folder_; }

  /// The state record as stored; a failure of the test where there is none.
  storage::StoredState load() {
    storage::StateDatabase store(registerFolder().string(), kDiskBytes);
    const auto loaded = store.load();
    const auto* state = std::get_if<storage::StoredState>(&loaded);
    const auto* error = std::get_if<storage::StorageError>(&loaded);
    EXPECT_TRUE(state) << (error == nullptr ? "nothing stored" : error->message());
    return state == nullptr ? storage::StoredState{} : *state;
  }
  /// The acceptor as it is after a restart on this store.
  consensus::Acceptor restore() {
    const auto loaded = load();
    return consensus::Acceptor(
        kVoter,
        consensus::decodeState({loaded.head, config::ConfigText::create(loaded.configText)}));
  }
  /// Phase 1a of the second voter.
  static consensus::RegisterRequest prepare(std::uint64_t number) {
    consensus::RegisterRequest request;
    request.sender = kSecond;
    request.ballot = consensus::Ballot{number, kSecond};
    return request;
  }

 private:
  std::filesystem::path folder_;
};

}  // namespace merlingauge::test
