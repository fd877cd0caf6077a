// incarnation_test.cpp: the order of incarnations, on which the rejoin protocol rests.
#include "consensus/incarnation.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>

namespace merlingauge::consensus {
namespace {

constexpr std::uint64_t kLargestRandom = std::numeric_limits<std::uint64_t>::max();

TEST(Incarnation, NextIsAboveWhateverTheRandomBits) {
  const Incarnation first = firstIncarnation(kLargestRandom);
  const Incarnation second = nextIncarnation(first, 0);
  const Incarnation third = nextIncarnation(second, 0);
  EXPECT_LT(first, second);
  EXPECT_LT(second, third);
}

TEST(Incarnation, NextOfNoneIsAboveEveryFirst) {
  EXPECT_LT(firstIncarnation(kLargestRandom), nextIncarnation(Incarnation{}, 0));
}

TEST(Incarnation, RandomBitsTellIncarnationsOfOneGenerationApart) {
  EXPECT_NE(firstIncarnation(1), firstIncarnation(2));
  EXPECT_NE(nextIncarnation(firstIncarnation(1), 1), nextIncarnation(firstIncarnation(1), 2));
}

TEST(Incarnation, IsReplacedByAHigherGenerationOnly) {
  const Incarnation low = nextIncarnation(Incarnation{}, 1);
  const Incarnation high = nextIncarnation(Incarnation{}, 2);
  EXPECT_TRUE(mayReplace(low, low));
  EXPECT_FALSE(mayReplace(low, high));
  EXPECT_FALSE(mayReplace(high, low));
  EXPECT_TRUE(mayReplace(high, nextIncarnation(low, 0)));
  EXPECT_FALSE(mayReplace(nextIncarnation(low, 0), high));
}

TEST(Incarnation, IsSupersededByANewerOneOfItsOwnNode) {
  const NodeId node("n1");
  const Incarnation older = nextIncarnation(Incarnation{}, 1);
  const IncarnationMap newest = {{node, nextIncarnation(older, 1)}};
  EXPECT_TRUE(isSuperseded(newest, node, older));
  EXPECT_FALSE(isSuperseded(newest, node, newest.at(node)));
  EXPECT_FALSE(isSuperseded(newest, NodeId("n2"), older));
}

// One of them never recovered, and the random bits don't tell which.
TEST(Incarnation, IsNotSupersededByAnotherOfItsGeneration) {
  const NodeId node("n1");
  const Incarnation low = nextIncarnation(Incarnation{}, 1);
  const IncarnationMap newest = {{node, nextIncarnation(Incarnation{}, 2)}};
  ASSERT_LT(low, newest.at(node));
  EXPECT_FALSE(isSuperseded(newest, node, low));
}

}  // namespace
}  // namespace merlingauge::consensus
