// snapshot_format_test.cpp: the snapshot of a voter of version 0.1.0 is read, restored, and written
// again unchanged.
#include "compatibility/voter_store.hpp"
#include "storage/snapshot_codec.hpp"
#include "storage/state_snapshot.hpp"

namespace merlingauge::test {
namespace {

using SnapshotFormat = VoterStore;

TEST_F(SnapshotFormat, HoldsTheStateOfTheStore) {
  const auto record = storage::decodeSnapshot(readFixture(kFixtures / "voter.snapshot"));
  const auto stored = load();
  EXPECT_EQ(record.head, stored.head);
  EXPECT_EQ(record.configText, stored.configText);
}

TEST_F(SnapshotFormat, IsEncodedAgainByteForByte) {
  const auto bytes = readFixture(kFixtures / "voter.snapshot");
  EXPECT_EQ(storage::encodeSnapshot(storage::decodeSnapshot(bytes)), bytes);
}

TEST_F(SnapshotFormat, IsSavedFromTheStoreByteForByte) {
  const auto file = (folder() / "saved.snapshot").string();
  const auto result = storage::saveSnapshot(file, folder().string());
  ASSERT_EQ(result.status, storage::SnapshotResult::Status::ok) << result.message;
  EXPECT_EQ(readFixture(file), readFixture(kFixtures / "voter.snapshot"));
}

TEST_F(SnapshotFormat, IsRestoredAsARecoveringVoter) {
  const auto file = (kFixtures / "voter.snapshot").string();
  const auto result = storage::restoreSnapshot(file, folder().string(), true);
  ASSERT_EQ(result.status, storage::SnapshotResult::Status::ok) << result.message;
  const auto acceptor = restore();
  EXPECT_FALSE(acceptor.recovered());
  EXPECT_GT(acceptor.incarnation(), Incarnation{1380714384687U});
  EXPECT_EQ(acceptor.value().revision(), Revision{7});
  EXPECT_EQ(acceptor.value().voters, (std::vector<NodeId>{kVoter, kSecond, kFourth}));
}

TEST_F(SnapshotFormat, ShowsTheConfiguration) {
  const auto result = storage::showSnapshot((kFixtures / "voter.snapshot").string());
  EXPECT_EQ(result.status, storage::SnapshotResult::Status::ok);
  EXPECT_EQ(result.message, readFixture(kFixtures / "configurations" / "revision-7.json"));
}

}  // namespace
}  // namespace merlingauge::test
