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

}  // namespace
}  // namespace merlingauge::consensus
