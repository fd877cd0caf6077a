// idle_timeout_estimator_test.cpp: how observations limit the idle time of a service's connections.
#include "http/idle_timeout_estimator.hpp"

#include <gtest/gtest.h>

namespace merlingauge::http {
namespace {

using std::chrono::seconds;

const ServiceName kService("echo");
const ServiceName kOther("other");
constexpr Duration kOtherwise = seconds(20);
constexpr TimePoint kNow{seconds(100)};

TEST(IdleTimeoutEstimator, KnowsNothingAtFirst) {
  EXPECT_EQ(IdleTimeoutEstimator().idleLimit(kService, kOtherwise, kNow), kOtherwise);
}

TEST(IdleTimeoutEstimator, StaysBelowTheIdleTimeOfAStaleConnection) {
  IdleTimeoutEstimator estimator;
  estimator.onStaleConnection(kService, seconds(10), kNow);
  EXPECT_EQ(estimator.idleLimit(kService, kOtherwise, kNow), seconds(6));
  EXPECT_EQ(estimator.idleLimit(kOther, kOtherwise, kNow), kOtherwise);
  EXPECT_EQ(estimator.idleLimit(kService, seconds(2), kNow), seconds(2));
}

TEST(IdleTimeoutEstimator, UsesNoIdleConnectionAfterOneOutOfStep) {
  IdleTimeoutEstimator estimator;
  estimator.onOutOfStep(kService, kNow);
  estimator.onStaleConnection(kService, seconds(10), kNow + seconds(1));
  EXPECT_EQ(estimator.idleLimit(kService, kOtherwise, kNow + seconds(1)), seconds(0));
}

TEST(IdleTimeoutEstimator, ForgetsEightSecondsAfterTheLastObservation) {
  IdleTimeoutEstimator estimator;
  estimator.onOutOfStep(kService, kNow);
  EXPECT_EQ(estimator.idleLimit(kService, kOtherwise, kNow + seconds(7)), seconds(0));
  EXPECT_EQ(estimator.idleLimit(kService, kOtherwise, kNow + seconds(8)), kOtherwise);
}

}  // namespace
}  // namespace merlingauge::http
