// version_vector_test: arithmetic of version vectors and the numbers that they share.
#include "membership/version_vector.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <tuple>
#include <vector>

namespace merlingauge::membership {
namespace {

const SourceId kFirst("10.0.0.1/1");
const SourceId kSecond("10.0.0.2/1");
const SourceId kThird("10.0.0.3/1");

class VersionVectorTest : public testing::Test {
 protected:
  std::shared_ptr<SourceTable> table_ = std::make_shared<SourceTable>();
  VersionVector left_{table_};
  VersionVector right_{table_};
};

TEST_F(VersionVectorTest, MissingEntryCountsAsZero) {
  EXPECT_EQ(left_.counterOf(kFirst), 0U);
  EXPECT_FALSE(left_.covers({kFirst, 1}));
  EXPECT_EQ(left_.size(), 0U);
  EXPECT_EQ(left_.hash(), 0U);
}

TEST_F(VersionVectorTest, CoversUpToTheCounter) {
  left_.set(kFirst, 5);
  EXPECT_TRUE(left_.covers({kFirst, 5}));
  EXPECT_FALSE(left_.covers({kFirst, 6}));
  EXPECT_FALSE(left_.covers({kSecond, 1}));
}

TEST_F(VersionVectorTest, HashDependsOnTheEntriesOnly) {
  left_.set(kFirst, 1);
  left_.set(kSecond, 2);
  left_.set(kFirst, 3);
  right_.set(kSecond, 2);
  right_.set(kThird, 9);
  right_.set(kFirst, 3);
  EXPECT_NE(left_.hash(), right_.hash());
  right_.erase(kThird);
  EXPECT_EQ(left_.hash(), right_.hash());
}

TEST_F(VersionVectorTest, HashIsTheSameWithAnotherTable) {
  VersionVector elsewhere(std::make_shared<SourceTable>());
  elsewhere.set(kThird, 1);
  elsewhere.set(kSecond, 2);
  elsewhere.erase(kThird);
  left_.set(kSecond, 2);
  EXPECT_EQ(left_.hash(), elsewhere.hash());
}

TEST_F(VersionVectorTest, VisitsOnlyEntriesThatAreNewer) {
  left_.set(kFirst, 4);
  left_.set(kSecond, 7);
  right_.set(kFirst, 6);
  right_.set(kSecond, 7);
  right_.set(kThird, 1);
  std::vector<std::tuple<SourceId, std::uint64_t, std::uint64_t>> newer;
  left_.forEachNewer(right_, [&](const SourceId& source, std::uint64_t ahead, std::uint64_t own) {
    newer.emplace_back(source, ahead, own);
  });
  const std::vector<std::tuple<SourceId, std::uint64_t, std::uint64_t>> expected = {{kFirst, 6, 4},
                                                                                    {kThird, 1, 0}};
  EXPECT_EQ(newer, expected);
}

TEST_F(VersionVectorTest, NamesSourcesThatTheOtherLacks) {
  left_.set(kFirst, 1);
  left_.set(kSecond, 1);
  right_.set(kSecond, 8);
  EXPECT_EQ(left_.sourcesMissingIn(right_), std::vector<SourceId>{kFirst});
  EXPECT_TRUE(right_.sourcesMissingIn(left_).empty());
}

TEST_F(VersionVectorTest, NumberIsFreeOnceNoVectorHoldsTheSource) {
  left_.set(kFirst, 1);
  right_.set(kFirst, 2);
  const auto number = table_->find(kFirst);
  left_.erase(kFirst);
  EXPECT_EQ(table_->find(kFirst), number);
  right_.clear();
  EXPECT_FALSE(table_->find(kFirst).has_value());
  left_.set(kSecond, 3);
  EXPECT_EQ(table_->find(kSecond), number);
  EXPECT_EQ(right_.counterOf(kSecond), 0U);
}

}  // namespace
}  // namespace merlingauge::membership
