// config_applier_test: only a newer configuration that can be read comes into force.
#include "node/config_applier.hpp"

#include <gtest/gtest.h>

#include <string>

#include "config/config_text.hpp"

namespace merlingauge::node {
namespace {

consensus::RegisterValue valueOf(int revision, const std::string& text) {
  consensus::RegisterValue value;
  value.configRevision = Revision{revision};
  value.config = config::ConfigText::create(text);
  return value;
}

consensus::RegisterValue validValueOf(int revision) {
  return valueOf(revision, R"({"revision":)" + std::to_string(revision) +
                               R"(,"route_rules":[],"services":[]})");
}

TEST(ConfigApplier, HasNoRouteTableBeforeTheFirstConfiguration) {
  ConfigApplier applier;
  EXPECT_FALSE(applier.apply(consensus::RegisterValue{}));
  EXPECT_EQ(applier.routeTable(), nullptr);
  EXPECT_EQ(applier.revision(), Revision{0});
}

TEST(ConfigApplier, PutsOnlyNewerRevisionsInForce) {
  ConfigApplier applier;
  EXPECT_TRUE(applier.apply(validValueOf(3)));
  EXPECT_EQ(applier.revision(), Revision{3});
  EXPECT_FALSE(applier.apply(validValueOf(3)));
  EXPECT_FALSE(applier.apply(validValueOf(2)));
  EXPECT_EQ(applier.revision(), Revision{3});
  EXPECT_TRUE(applier.apply(validValueOf(4)));
  EXPECT_EQ(applier.revision(), Revision{4});
}

TEST(ConfigApplier, KeepsTheOneInForceWhereTheNewOneCantBeRead) {
  ConfigApplier applier;
  ASSERT_TRUE(applier.apply(validValueOf(3)));
  EXPECT_FALSE(applier.apply(valueOf(4, "{")));
  // Its route names a service that the configuration doesn't have.
  EXPECT_FALSE(applier.apply(valueOf(
      4, R"({"revision":4,"route_rules":[{"name":"a","hostname":"h","path_prefix":"/",)"
         R"("route_type":"idempotent","timeout_s":2,"target_service":"s","max_attempts":2}],)"
         R"("services":[]})")));
  EXPECT_EQ(applier.revision(), Revision{3});
}

}  // namespace
}  // namespace merlingauge::node
