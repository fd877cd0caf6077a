// shared_fleet_test.hpp: the fixture of suites whose tests play one after the other on one fleet.
#pragma once

#include <gtest/gtest.h>

#include <memory>

namespace merlingauge::test {

/// All tests of a suite share one `Fleet`, started before the first and ended after the last, since
/// its start takes seconds. They run in the order in which they stand; each needs what those before
/// it have set up, so none can be run alone. Once one has failed, all later ones fail.
template <class Fleet>
class SharedFleetTest : public testing::Test {
 protected:
  static void SetUpTestSuite() { shared = std::make_unique<Fleet>(); }
  static void TearDownTestSuite() { shared.reset(); }

  void SetUp() override {
    ASSERT_FALSE(failedBefore) << "an earlier test has failed: the fleet is in no known state";
  }
  void TearDown() override { failedBefore = failedBefore || HasFailure(); }

 private:
  static inline std::unique_ptr<Fleet> shared;
  static inline bool failedBefore = false;

 protected:
  Fleet& fleet_ = *shared;
};

}  // namespace merlingauge::test
