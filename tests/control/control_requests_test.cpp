// control_requests_test.cpp: bodies of the control API's calls, well-formed and not.
#include "control/control_requests.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

namespace merlingauge::control {
namespace {

using membership::Instance;
using nlohmann::json;

json heartbeatDocument() {
  return {{"address", "10.0.0.9:8080"},
          {"node_info", {{"target_service", "shop"}, {"zone", "a"}, {"capacity", 4}}},
          {"status_detail", {{"status", "draining"}, {"sequence", 7}, {"warmup_left_s", 1.5}}}};
}

TEST(ControlRequests, HeartbeatIsRead) {
  const auto parsed = parseHeartbeat("shop-1", heartbeatDocument().dump());
  const auto* const request = std::get_if<HeartbeatRequest>(&parsed);
  ASSERT_NE(request, nullptr);
  const auto instance = request->toInstance();
  EXPECT_EQ(instance.id, InstanceId("shop-1"));
  EXPECT_EQ(instance.service, ServiceName("shop"));
  EXPECT_EQ(instance.address, "10.0.0.9:8080");
  EXPECT_EQ(instance.zone, ZoneName("a"));
  EXPECT_EQ(instance.capacity, 4);
  EXPECT_EQ(instance.status, Instance::Status::draining);
  EXPECT_EQ(instance.sequence, 7U);
  EXPECT_TRUE(instance.warmingUp);
}

TEST(ControlRequests, HeartbeatOptionalFieldsHaveDefaults) {
  auto document = heartbeatDocument();
  document["node_info"].erase("zone");
  document["status_detail"].erase("warmup_left_s");
  document["status_detail"]["status"] = "available";
  const auto parsed = parseHeartbeat("shop-1", document.dump());
  const auto* const request = std::get_if<HeartbeatRequest>(&parsed);
  ASSERT_NE(request, nullptr);
  EXPECT_TRUE(request->zone.empty());
  EXPECT_FALSE(request->warmingUp);
  EXPECT_FALSE(request->draining);
}

TEST(ControlRequests, HeartbeatThatIsNoJsonHasNoDetail) {
  const auto parsed = parseHeartbeat("shop-1", "{");
  const auto* const error = std::get_if<RequestError>(&parsed);
  ASSERT_NE(error, nullptr);
  EXPECT_EQ(error->kind, ErrorKind::invalidJson);
  EXPECT_EQ(error->detail, "");
}

TEST(ControlRequests, HeartbeatThatBreaksItsSchemaNamesTheField) {
  auto document = heartbeatDocument();
  document["node_info"]["capacity"] = 0;
  const auto parsed = parseHeartbeat("shop-1", document.dump());
  const auto* const error = std::get_if<RequestError>(&parsed);
  ASSERT_NE(error, nullptr);
  EXPECT_EQ(error->kind, ErrorKind::invalidJson);
  EXPECT_NE(error->detail.find("capacity"), std::string::npos) << error->detail;
}

TEST(ControlRequests, ConfigChangeIsRead) {
  const std::string body = R"({"revision":5,"route_rules":[],"services":[]})";
  const auto parsed = parseConfigChange(ConfigChange::Kind::replace, "4", body);
  const auto* const change = std::get_if<ConfigChange>(&parsed);
  ASSERT_NE(change, nullptr);
  EXPECT_EQ(change->baseRevision, Revision{4});
  EXPECT_EQ(change->text->text(), body);
  EXPECT_EQ(change->digest, changeDigest(ConfigChange::Kind::replace, "4", body));
  EXPECT_EQ(findViolation(*change), "");
}

TEST(ControlRequests, ConfigChangeNeedsAWholeNumberAsBase) {
  for (const char* const base : {"", "x", "4x", "4.0", " 4"}) {
    const auto parsed = parseConfigChange(ConfigChange::Kind::update, base, "{}");
    const auto* const error = std::get_if<RequestError>(&parsed);
    ASSERT_NE(error, nullptr) << base;
    EXPECT_EQ(error->kind, ErrorKind::invalidConfig);
    EXPECT_EQ(error->detail, "Base-Revision: a whole number is wanted");
  }
}

TEST(ControlRequests, ConfigChangeThatIsNoJsonIsRefusedBeforeItsBase) {
  const auto parsed = parseConfigChange(ConfigChange::Kind::replace, "x", "{");
  const auto* const error = std::get_if<RequestError>(&parsed);
  ASSERT_NE(error, nullptr);
  EXPECT_EQ(error->kind, ErrorKind::invalidConfig);
  EXPECT_EQ(error->detail, "the body can't be read whole");
}

TEST(ControlRequests, ViolationsAreFoundByKind) {
  const auto parsed = parseConfigChange(ConfigChange::Kind::update, "4", R"({"revision":0})");
  const auto* const change = std::get_if<ConfigChange>(&parsed);
  ASSERT_NE(change, nullptr);
  EXPECT_NE(findViolation(*change), "");
}

}  // namespace
}  // namespace merlingauge::control
