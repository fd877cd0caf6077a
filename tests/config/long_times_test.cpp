// long_times_test.cpp: no number of seconds in a document overflows the clock.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "base/time.hpp"
#include "config/route_table.hpp"

namespace merlingauge::config {
namespace {

using nlohmann::json;

constexpr double kHugeSeconds = 1e300;
// Any time of day: the clock starts with the machine.
constexpr TimePoint kNow{std::chrono::hours(24 * 365)};

json configurationWithLimits(const json& limits) {
  return {{"revision", 1},
          {"route_rules", json::array()},
          {"services", json::array({{{"name", "s"}}})},
          {"limits", limits}};
}

// Guards against limits that are over before they begin: a valid configuration with a huge time-out
// overflowed, and no head of a request was waited for.
TEST(LongTimes, LimitsOfAConfiguration) {
  const auto parsed = RouteTable::parse(configurationWithLimits(
      {{"header_timeout_s", kHugeSeconds}, {"idle_timeout_s", kHugeSeconds}}));
  ASSERT_TRUE(parsed.table);
  const auto& limits = parsed.table->limits();
  EXPECT_GT(kNow + limits.headerTimeout, kNow);
  EXPECT_GT(kNow + limits.idleTimeout, kNow);
}

TEST(LongTimes, SpansOfEitherSign) {
  EXPECT_GT(kNow + fromSeconds(kHugeSeconds), kNow);
  EXPECT_LT(kNow - fromSeconds(kHugeSeconds), kNow);
  EXPECT_LT(kNow + fromMillis(-kHugeSeconds), kNow);
  EXPECT_EQ(fromSeconds(1.5), std::chrono::milliseconds(1500));
  EXPECT_EQ(fromMillis(-0.5), std::chrono::microseconds(-500));
}

}  // namespace
}  // namespace merlingauge::config
