// The history of changes: its packed form to the character, and malformed ones.
#include "config/change_history.hpp"

#include <gtest/gtest.h>

#include "base/decode_error.hpp"

namespace merlingauge::config {
namespace {

using Outcome = ChangeHistory::Outcome;

ChangeHistory::Ptr threeChanges() {
  return ChangeHistory(Revision{0})
      .extendedBy({Revision{1}, 77})
      ->extendedBy({Revision{33}, 0xffffffffffffffffULL})
      ->extendedBy({Revision{40}, 5});
}

TEST(ChangeHistory, PacksStepsAndDigests) {
  EXPECT_EQ(threeChanges()->packed(),
            "BNBAAAAAAAAA"
            "gB__________P"
            "HFAAAAAAAAAA");
}

TEST(ChangeHistory, IsUnpackedToTheSame) {
  const auto history = threeChanges();
  const auto again = ChangeHistory::unpack(history->floor(), history->seed(), history->packed());
  EXPECT_EQ(again->id(), history->id());
  EXPECT_EQ(again->lastRevision(), Revision{40});
  EXPECT_TRUE(again->contains({Revision{33}, 0xffffffffffffffffULL}));
  EXPECT_FALSE(again->contains({Revision{33}, 1}));
}

TEST(ChangeHistory, IsExtendedByWhatAnotherOneHasMore) {
  const auto before = ChangeHistory(Revision{0}).extendedBy({Revision{1}, 77});
  const auto after = threeChanges();
  const auto more = after->packedSince(before->id());
  ASSERT_TRUE(more);
  const auto joined = before->appendPacked(*more, after->floor(), after->id());
  ASSERT_TRUE(joined);
  EXPECT_EQ(joined->packed(), after->packed());
  EXPECT_FALSE(before->appendPacked(*more, after->floor(), after->id() + 1));
  EXPECT_FALSE(before->packedSince(after->id()));
}

TEST(ChangeHistory, KeepsItsIdWhereItIsTruncated) {
  const auto whole = threeChanges();
  const auto truncated = ChangeHistory(Revision{0})
                             .extendedBy({Revision{1}, 77})
                             ->extendedBy({Revision{33}, 0xffffffffffffffffULL})
                             ->extendedBy({Revision{40}, 5}, 1);
  EXPECT_EQ(truncated->id(), whole->id());
  EXPECT_EQ(truncated->floor(), Revision{33});
  EXPECT_EQ(truncated->entries().size(), 1U);
}

TEST(ChangeHistory, TellsWhatBecameOfAChange) {
  const auto history = threeChanges();
  EXPECT_EQ(history->outcomeOf(Revision{40}, 9), Outcome::undecided);
  EXPECT_EQ(history->outcomeOf(Revision{41}, 9), Outcome::baseNotYetCommitted);
  EXPECT_EQ(history->outcomeOf(Revision{33}, 5), Outcome::committed);
  EXPECT_EQ(history->outcomeOf(Revision{33}, 6), Outcome::superseded);
  EXPECT_EQ(history->outcomeOf(Revision{20}, 5), Outcome::superseded);
  EXPECT_EQ(history->outcomeOf(Revision{-1}, 5), Outcome::superseded);
  const auto truncated = history->extendedBy({Revision{41}, 6}, 1);
  EXPECT_EQ(truncated->outcomeOf(Revision{33}, 5), Outcome::truncated);
}

TEST(ChangeHistory, MalformedOnesThrowADecodeError) {
  for (const char* packed :
       {"B", "!", "BNBAAAAAAAA", "ANBAAAAAAAAA", "gggggggggggggggB", "BNBAAAAAAAAA*"}) {
    EXPECT_THROW(ChangeHistory::unpack(Revision{0}, 1, packed), DecodeError) << packed;
  }
  std::string tooMany;
  for (std::size_t entry = 0; entry <= ChangeHistory::kMaxEntries; ++entry) {
    tooMany += "BNBAAAAAAAAA";
  }
  EXPECT_THROW(ChangeHistory::unpack(Revision{0}, 1, tooMany), DecodeError);
}

}  // namespace
}  // namespace merlingauge::config
