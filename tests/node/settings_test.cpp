// settings_test: the error names the field, and each key ends up in its field.
#include "node/settings.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace merlingauge::node {
namespace {

using nlohmann::json;

json sidecar() {
  return json::parse(R"({
    "self_node": {"node_name": "n", "role": "r", "serves": ["sidecar"], "ip_address": "10.0.0.1",
                  "zone": "z", "quorum_member": true, "bootstrap": true, "data_directory": "/data",
                  "limits": {"file_descriptors": 4100, "cpu_share": 0.5, "cpu_cores": 2,
                             "disk_mb": 128},
                  "app_address": "10.0.0.1:81", "target_service": "s"},
    "network": {"listeners": {"egress": "10.0.0.1:82", "ingress": "10.0.0.1:84",
                              "control_plane": "10.0.0.1:85"},
                "internal_port_range": [7000, 7015], "seed_nodes": ["10.0.0.2:83"]},
    "platform_config": {"heartbeat_interval_s": 2.5},
    "policy_terms": {"timing_bounds": {"drain_timeout_s": 3, "grace_period_s": 7,
                                       "retry_budget_ratio": 0.25, "retry_budget_slack": 4,
                                       "retry_window_s": 11},
                     "fault_tolerance": {"machines": 2}}})");
}

SettingsError errorOf(const json& document) {
  const auto parsed = parseSettings(document.dump());
  const auto* error = std::get_if<SettingsError>(&parsed);
  return error == nullptr ? SettingsError{} : *error;
}

TEST(Settings, EachKeyEndsUpInItsField) {
  const auto parsed = parseSettings(sidecar().dump());
  ASSERT_TRUE(std::holds_alternative<Settings>(parsed));
  const auto& settings = std::get<Settings>(parsed);
  EXPECT_EQ(settings.nodeName, "n");
  EXPECT_EQ(settings.nodeId, NodeId("10.0.0.1"));
  EXPECT_EQ(settings.zone, ZoneName("z"));
  EXPECT_EQ(settings.targetService, ServiceName("s"));
  EXPECT_EQ(settings.appAddress, "10.0.0.1:81");
  EXPECT_TRUE(settings.bootstrap);
  EXPECT_TRUE(settings.isControlNode());
  EXPECT_EQ(settings.maxDescriptors, 4100);
  EXPECT_DOUBLE_EQ(settings.cpuCores, 1.0);
  EXPECT_EQ(settings.diskMb, 128);
  EXPECT_EQ(settings.clientAddress(), "10.0.0.1:82");
  EXPECT_EQ(settings.internalPort, 7000);
  EXPECT_EQ(settings.ingressPort, 84);
  EXPECT_EQ(settings.controlPort, 85);
  EXPECT_EQ(settings.seeds, std::vector<NodeId>{NodeId("10.0.0.2")});
  EXPECT_EQ(settings.heartbeatInterval, std::chrono::milliseconds(2500));
  EXPECT_EQ(settings.drainTimeout, std::chrono::seconds(3));
  EXPECT_EQ(settings.gracePeriod, std::chrono::seconds(7));
  EXPECT_DOUBLE_EQ(settings.retryBudgetRatio, 0.25);
  EXPECT_DOUBLE_EQ(settings.retryBudgetSlack, 4);
  EXPECT_EQ(settings.retryWindow, std::chrono::seconds(11));
  EXPECT_EQ(settings.faultTolerance, 2U);
}

TEST(Settings, ANodeWithoutADataDirectoryIsNoControlNode) {
  auto document = sidecar();
  document["self_node"]["data_directory"] = nullptr;
  const auto parsed = parseSettings(document.dump());
  ASSERT_TRUE(std::holds_alternative<Settings>(parsed));
  EXPECT_FALSE(std::get<Settings>(parsed).isControlNode());
}

TEST(Settings, TheErrorNamesTheField) {
  auto document = sidecar();
  document["network"]["listeners"]["egress"] = "10.0.0.1";
  EXPECT_EQ(errorOf(document).field, "network.listeners.egress");
  EXPECT_EQ(errorOf(document).message(),
            "settings: network.listeners.egress: not an address with a port: 10.0.0.1");

  document = sidecar();
  document["network"]["seed_nodes"] = {"10.0.0.2:0"};
  EXPECT_EQ(errorOf(document).field, "network.seed_nodes");

  document = sidecar();
  document["self_node"]["node_name"] = 7;
  EXPECT_EQ(errorOf(document).field, "self_node.node_name");

  document = sidecar();
  document["self_node"]["serves"] = {"edge"};
  EXPECT_EQ(errorOf(document).field, "network.listeners.frontend");
}

TEST(Settings, AFileThatIsNoJsonOrMissingHasNoField) {
  const auto noJson = parseSettings("{");
  ASSERT_TRUE(std::holds_alternative<SettingsError>(noJson));
  EXPECT_EQ(std::get<SettingsError>(noJson).message(), "settings: not JSON");

  const auto unset = loadSettings("");
  ASSERT_TRUE(std::holds_alternative<SettingsError>(unset));
  EXPECT_EQ(std::get<SettingsError>(unset).message(), "settings: MERLINGAUGE_SETTINGS is not set");

  const auto missing = loadSettings("/nonexistent/settings.json");
  ASSERT_TRUE(std::holds_alternative<SettingsError>(missing));
  EXPECT_EQ(std::get<SettingsError>(missing).message(),
            "settings: can't read /nonexistent/settings.json");
}

}  // namespace
}  // namespace merlingauge::node
