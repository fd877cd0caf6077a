// long_texts_test.cpp: no length of a text in a document from outside ends the process.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "base/ipv4_address.hpp"
#include "config/config_schema.hpp"
#include "config/document_parser.hpp"
#include "config/route_table.hpp"
#include "config/text_rules.hpp"

namespace merlingauge::config {
namespace {

using nlohmann::json;

// What a call of the control API may bring.
constexpr std::size_t kLongText = std::size_t{8} << 20;

json routeWithPrefix(const std::string& prefix) {
  return {
      {"name", "a"},    {"hostname", "h"},   {"path_prefix", prefix}, {"route_type", "idempotent"},
      {"timeout_s", 2}, {"max_attempts", 1}, {"target_service", "s"}};
}

json configurationWithPrefix(const std::string& prefix) {
  return {{"revision", 1},
          {"route_rules", json::array({routeWithPrefix(prefix)})},
          {"services", json::array({{{"name", "s"}}})}};
}

json heartbeatFrom(const std::string& address) {
  return {{"address", address},
          {"node_info", {{"target_service", "s"}, {"capacity", 1}}},
          {"status_detail", {{"status", "available"}, {"sequence", 1}}}};
}

// Guards against review case 4: std::regex ended the process on a long path_prefix.
TEST(LongTexts, PathPrefixOfAConfiguration) {
  const std::string inside(kLongText, 'a');
  EXPECT_TRUE(RouteTable::parse(configurationWithPrefix("/" + inside + "/")).table);
  const auto open = RouteTable::parse(configurationWithPrefix("/" + inside));
  ASSERT_TRUE(open.error);
  EXPECT_EQ(open.error->field, "route_rules.0.path_prefix");
}

TEST(LongTexts, PathPrefixOfAnUpdate) {
  const std::string inside(kLongText, 'a');
  json update = {
      {"revision", 2},
      {"upserts", {{"route_rules", json::array({routeWithPrefix("/" + inside + "/")})}}}};
  EXPECT_FALSE(schemaViolation(SchemaKind::update, update));
  update["upserts"]["route_rules"][0]["path_prefix"] = inside + "/";
  const auto violation = schemaViolation(SchemaKind::update, update);
  ASSERT_TRUE(violation);
  EXPECT_EQ(violation->field, "upserts.route_rules.0.path_prefix");
}

TEST(LongTexts, AddressOfAHeartbeat) {
  EXPECT_FALSE(schemaViolation(SchemaKind::heartbeat, heartbeatFrom("10.0.0.1:80")));
  EXPECT_TRUE(schemaViolation(SchemaKind::heartbeat, heartbeatFrom(std::string(kLongText, '1'))));
  EXPECT_TRUE(schemaViolation(SchemaKind::heartbeat,
                              heartbeatFrom("10.0.0.1:" + std::string(kLongText, '1'))));
}

TEST(LongTexts, AddressInSettings) {
  const json settings = {{"self_node",
                          {{"node_name", "n"},
                           {"serves", json::array()},
                           {"zone", "z"},
                           {"ip_address", std::string(kLongText, '1') + ".0.0.1"}}},
                         {"network",
                          {{"listeners", json::object()},
                           {"internal_port_range", {1, 2}},
                           {"seed_nodes", json::array()}}},
                         {"policy_terms", {{"timing_bounds", json::object()}}}};
  const auto violation = schemaViolation(SchemaKind::settings, settings);
  ASSERT_TRUE(violation);
  EXPECT_EQ(violation->field, "self_node.ip_address");
}

// Guards against documents that take a hundred times the memory of their text.
TEST(DocumentBounds, RefuseManySmallValues) {
  std::string wide = "[0";
  while (wide.size() < kLongText) wide += ",{}";
  EXPECT_FALSE(parseDocument(wide + "]"));
  EXPECT_FALSE(isWithinDocumentBounds(wide + "]"));
  EXPECT_TRUE(parseDocument("[" + json(std::string(kLongText, ',')).dump() + "]"));
}

TEST(DocumentBounds, RefuseDeepNesting) {
  EXPECT_FALSE(parseDocument(std::string(kLongText, '[') + std::string(kLongText, ']')));
}

// A long prefix beside a path of slashes: the longest prefix is still the one that is found.
TEST(LongTexts, PathOfManySlashes) {
  constexpr std::size_t kPathBytes = 60'000;
  auto configuration = configurationWithPrefix("/" + std::string(kPathBytes, 'a') + "/");
  configuration["route_rules"].push_back(routeWithPrefix("//"));
  configuration["route_rules"][1]["name"] = "b";
  const auto table = RouteTable::parse(configuration).table;
  ASSERT_TRUE(table);
  const auto* found = table->findRoute("h", std::string(kPathBytes, '/'));
  ASSERT_NE(found, nullptr);
  EXPECT_EQ(found->name, "b");
  EXPECT_EQ(table->findRoute("h", "/" + std::string(kPathBytes, 'a') + "/x")->name, "a");
  EXPECT_EQ(table->findRoute("h", "/x"), nullptr);
}

TEST(TextRules, PathPrefix) {
  for (const char* prefix : {"/", "/a/", "/a/b/", "//"})
    EXPECT_TRUE(isPathPrefix(prefix)) << prefix;
  for (const char* text : {"", "a", "/a", "a/", "/a\n/", "/a\r/"}) {
    EXPECT_FALSE(isPathPrefix(text)) << text;
  }
}

TEST(Ipv4Address, Endpoint) {
  for (const char* address : {"10.0.0.1:80", "127.255.0.0:65535"}) {
    EXPECT_TRUE(isIpv4Endpoint(address)) << address;
  }
  for (const char* text : {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0:80",
                           "10.0.0.256:80", "10.0.0.1.2:80", "10.0.0.1:80 ", "host:80", ":80"}) {
    EXPECT_FALSE(isIpv4Endpoint(text)) << text;
  }
}

}  // namespace
}  // namespace merlingauge::config
