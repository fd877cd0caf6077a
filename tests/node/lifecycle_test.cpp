// lifecycle_test: a process that stood still has heard nobody meanwhile.
#include "node/lifecycle.hpp"

#include <gtest/gtest.h>

namespace merlingauge::node {
namespace {

TimePoint at(int milliseconds) {
  // Far from the clock's start, as on a machine that has been up for a while.
  return TimePoint(std::chrono::hours(1) + std::chrono::milliseconds(milliseconds));
}

TEST(Lifecycle, ListensSinceItsFirstTick) {
  Lifecycle lifecycle;
  lifecycle.onStart(at(0));
  lifecycle.onTick(at(0));
  lifecycle.onTick(at(100));
  EXPECT_EQ(lifecycle.startedAt(), at(0));
  EXPECT_EQ(lifecycle.listeningSince(), at(0));
}

TEST(Lifecycle, ListensAnewAfterItStoodStillForMoreThanASecond) {
  Lifecycle lifecycle;
  lifecycle.onTick(at(0));
  lifecycle.onTick(at(1000));
  EXPECT_EQ(lifecycle.listeningSince(), at(0));
  lifecycle.onTick(at(2001));
  EXPECT_EQ(lifecycle.listeningSince(), at(2001));
}

TEST(Lifecycle, KnowsSinceWhenItShutsDown) {
  Lifecycle lifecycle;
  EXPECT_FALSE(lifecycle.isShuttingDown());
  EXPECT_FALSE(lifecycle.shutdownSince().has_value());
  lifecycle.onShutdown(at(500));
  EXPECT_TRUE(lifecycle.isShuttingDown());
  EXPECT_EQ(lifecycle.shutdownSince(), at(500));
}

}  // namespace
}  // namespace merlingauge::node
