// endpoint_state_test.cpp: what is observed of one instance: load, reachability, outliers.
#include <gtest/gtest.h>

#include <cmath>
#include <optional>

#include "proxy/endpoint_table.hpp"
#include "proxy/failure_rate_reporter.hpp"

namespace merlingauge::test {
namespace {

using proxy::EndpointTable;
using proxy::FailureRateReporter;
using proxy::LoadTracker;
using proxy::OutlierDetector;
using proxy::Reachability;

constexpr TimePoint kStart{std::chrono::hours(1)};

TimePoint at(double ms) { return kStart + fromMillis(ms); }

TEST(LoadTracker, OwnRequestsAreExactAndReportsAge) {
  LoadTracker load;
  load.onRequestStarted(at(0));
  load.onRequestStarted(at(0));
  load.onLoadReported(10, at(0));
  EXPECT_EQ(load.estimatedLoad(at(0)), 10);
  // After one time constant (1 s), 8 others weigh 8 / e.
  EXPECT_EQ(load.estimatedLoad(at(1000)), 2 + 3);
  load.onRequestEnded(at(1000));
  EXPECT_EQ(load.ownRequests(), 1);
  EXPECT_EQ(load.estimatedLoad(at(60000)), 1);
}

TEST(LoadTracker, OwnRequestsNeverGoBelowZero) {
  LoadTracker load;
  load.onRequestEnded(at(0));
  EXPECT_EQ(load.ownRequests(), 0);
}

TEST(LoadTracker, AverageFollowsOwnRequestsSlowly) {
  LoadTracker load;
  load.onRequestStarted(at(0));
  EXPECT_NEAR(load.averageOwnLoad(at(0)), 0, 1e-9);
  EXPECT_NEAR(load.averageOwnLoad(at(3000)), 1 - std::exp(-1), 1e-9);
  EXPECT_NEAR(load.averageOwnLoad(at(60000)), 1, 1e-6);
}

TEST(Reachability, BackoffDoublesUpToItsBound) {
  Reachability reachability;
  const double backoffMs[] = {200, 400, 800, 1600, 3000, 3000, 3000, 3000, 3000, 3000};
  double now = 0;
  for (const double backoff : backoffMs) {
    reachability.onUnreachable(at(now));
    EXPECT_FALSE(reachability.isReachable(at(now + backoff - 1)));
    EXPECT_TRUE(reachability.isReachable(at(now + backoff)));
    now += backoff;
  }
}

TEST(Reachability, InDoubtUntilItResponds) {
  Reachability reachability;
  EXPECT_FALSE(reachability.isDoubtful(at(0)));
  reachability.onUnreachable(at(0));
  EXPECT_TRUE(reachability.isDoubtful(at(200 + 1999)));
  EXPECT_FALSE(reachability.isDoubtful(at(200 + 2000)));
  reachability.onUnreachable(at(3000));
  reachability.onReachable();
  EXPECT_TRUE(reachability.isReachable(at(3000)));
  EXPECT_FALSE(reachability.isDoubtful(at(3000)));
}

TEST(OutlierDetector, OneFailureDoesNotEjectTwoInARowDo) {
  OutlierDetector outliers;
  outliers.onResponse(false, at(0));
  EXPECT_FALSE(outliers.isEjected(at(0)));
  outliers.onResponse(false, at(1));
  EXPECT_TRUE(outliers.isEjected(at(1)));
  EXPECT_TRUE(outliers.isEjected(at(1500)));
  EXPECT_FALSE(outliers.isEjected(at(1501)));
}

TEST(OutlierDetector, TrialIsASingleRequest) {
  OutlierDetector outliers;
  outliers.onResponse(false, at(0));
  outliers.onResponse(false, at(0));
  ASSERT_FALSE(outliers.isEjected(at(1500)));
  outliers.onRequestStarted(at(1500));
  EXPECT_TRUE(outliers.isEjected(at(1501)));
  outliers.onResponse(true, at(1600));
  EXPECT_FALSE(outliers.isEjected(at(1600)));
}

TEST(OutlierDetector, FailedTrialsEjectLongerUpToTwelveSeconds) {
  OutlierDetector outliers;
  outliers.onResponse(false, at(0));
  outliers.onResponse(false, at(0));
  double now = 1500;
  for (const double ejectionMs : {3000.0, 6000.0, 12000.0, 12000.0}) {
    outliers.onResponse(false, at(now));
    EXPECT_TRUE(outliers.isEjected(at(now + ejectionMs - 1)));
    EXPECT_FALSE(outliers.isEjected(at(now + ejectionMs)));
    now += ejectionMs;
  }
}

TEST(EndpointTable, ForgetsWhatIsNotUsedAndSaysSo) {
  EndpointTable endpoints;
  endpoints.onRequestStarted(InstanceId("busy"), at(0));
  endpoints.onRequestStarted(InstanceId("idle"), at(0));
  endpoints.onRequestEnded(InstanceId("idle"), at(10));
  const auto generation = endpoints.generation();
  endpoints.expireUnused(at(60000));
  EXPECT_EQ(endpoints.generation(), generation);
  endpoints.expireUnused(at(60001));
  EXPECT_NE(endpoints.generation(), generation);
  EXPECT_EQ(endpoints.state(InstanceId("busy")).load.ownRequests(), 1);
}

TEST(FailureRateReporter, ReportsLargeChangesSeldomAndTheReturnToZero) {
  FailureRateReporter reporter;
  EXPECT_EQ(reporter.onResponse(false, at(0)), std::nullopt);    // 0.1
  EXPECT_EQ(reporter.onResponse(false, at(1)), 2);               // 0.19
  EXPECT_EQ(reporter.onResponse(false, at(2)), std::nullopt);    // 0.271
  EXPECT_EQ(reporter.onResponse(false, at(3)), std::nullopt);    // 0.344
  EXPECT_EQ(reporter.onResponse(false, at(400)), std::nullopt);  // 0.41, too soon
  EXPECT_EQ(reporter.onResponse(false, at(501)), 5);             // 0.469
  std::optional<int> last;
  for (int i = 1; i <= 40; ++i) {
    if (const auto tenths = reporter.onResponse(true, at(501 + i * 500.0))) last = tenths;
  }
  EXPECT_EQ(last, 0);
}

}  // namespace
}  // namespace merlingauge::test
