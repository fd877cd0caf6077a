#include "config/schema_texts.hpp"

namespace merlingauge::config {

namespace {

// Fields that a schema doesn't name are allowed: a newer operator's document is taken by an older
// node. Rules between items (references, duplicates) are RouteTable's; the form of a text is
// checked by text_rules, never by a "pattern" here.
constexpr const char* kSettingsSchema = R"({
"type":"object","required":["self_node","network","policy_terms"],
"properties":{
 "self_node":{"type":"object","required":["node_name","serves","ip_address","zone"],
  "properties":{
   "node_name":{"type":"string","minLength":1},
   "serves":{"type":"array","items":{"type":"string"}},
   "ip_address":{"type":"string"},
   "zone":{"type":"string","minLength":1},
   "quorum_member":{"type":"boolean"},"bootstrap":{"type":"boolean"},
   "data_directory":{"type":["string","null"]},
   "app_address":{"type":"string"},"target_service":{"type":"string"},
   "limits":{"type":"object","properties":{"file_descriptors":{"type":"number","minimum":64},
     "memory_mb":{"type":"number","minimum":16},"disk_mb":{"type":"number","minimum":0},
     "cpu_share":{"type":"number","minimum":0},"cpu_cores":{"type":"number","minimum":0}}}}},
 "network":{"type":"object","required":["listeners","internal_port_range","seed_nodes"],
  "properties":{
   "listeners":{"type":"object","additionalProperties":{"type":"string"}},
   "internal_port_range":{"type":"array","minItems":2,"maxItems":2,
     "items":{"type":"integer","minimum":1,"maximum":65535}},
   "seed_nodes":{"type":"array","items":{"type":"string"}}}},
 "platform_config":{"type":"object",
  "properties":{"heartbeat_interval_s":{"type":"number","minimum":0.05},
   "deployment":{"type":"string"}}},
 "policy_terms":{"type":"object","required":["timing_bounds"],
  "properties":{"fault_tolerance":{"type":"object","properties":{
    "machines":{"type":"integer","minimum":0}}},
   "timing_bounds":{"type":"object",
   "properties":{
    "drain_timeout_s":{"type":"number","minimum":0},"grace_period_s":{"type":"number","minimum":0},
    "config_apply_s":{"type":"number","minimum":0},"contact_s":{"type":"number","minimum":0},
    "retry_budget_ratio":{"type":"number","minimum":0},"retry_window_s":{"type":"number","minimum":0},
    "retry_budget_slack":{"type":"number","minimum":0}}}}}
}})";

constexpr const char* kRouteSchema = R"({"type":"object",
"required":["name","hostname","path_prefix","route_type","timeout_s","max_attempts"],
"properties":{
 "name":{"type":"string","minLength":1},"hostname":{"type":"string","minLength":1},
 "path_prefix":{"type":"string"},
 "route_type":{"type":"string","enum":["idempotent","non_idempotent"]},
 "timeout_s":{"type":"number","minimum":0,"exclusiveMinimum":true,"maximum":600},
 "target_latency_s":{"type":"number","minimum":0},
 "priority":{"type":"integer","minimum":0},
 "max_attempts":{"type":"integer","minimum":1},
 "target_service":{"type":"string","minLength":1},
 "traffic_split":{"type":"array","minItems":1,"items":{"type":"object",
   "required":["target_service","weight"],
   "properties":{"target_service":{"type":"string","minLength":1},
                 "weight":{"type":"number","minimum":0}}}}}})";

constexpr const char* kServiceSchema = R"({"type":"object","required":["name"],
"properties":{"name":{"type":"string","minLength":1},
 "health_check_path":{"type":"string"},"max_connections":{"type":"integer","minimum":1}}})";

constexpr const char* kLimitsSchema = R"({"type":"object","properties":{
 "max_header_bytes":{"type":"integer","minimum":256},"max_body_bytes":{"type":"integer","minimum":0},
 "header_timeout_s":{"type":"number","minimum":0,"exclusiveMinimum":true},
 "idle_timeout_s":{"type":"number","minimum":0,"exclusiveMinimum":true}}})";

constexpr const char* kHeartbeatSchema = R"({"type":"object",
"required":["address","node_info","status_detail"],
"properties":{
 "address":{"type":"string"},
 "node_info":{"type":"object","required":["target_service","capacity"],"properties":{
   "target_service":{"type":"string","minLength":1},"zone":{"type":"string"},
   "revision":{"type":"string"},"capacity":{"type":"integer","minimum":1}}},
 "status_detail":{"type":"object","required":["status","sequence"],"properties":{
   "status":{"type":"string","enum":["available","draining"]},
   "sequence":{"type":"integer","minimum":0},"warmup_left_s":{"type":"number"}}}}})";

std::string configurationSchema() {
  return std::string(R"({"type":"object","required":["revision","route_rules","services"],
"properties":{"revision":{"type":"integer","minimum":1},"route_rules":{"type":"array","items":)") +
         kRouteSchema + R"(},"services":{"type":"array","items":)" + kServiceSchema +
         R"(},"limits":)" + kLimitsSchema + "}}";
}

std::string updateSchema() {
  return std::string(R"({"type":"object","required":["revision"],
"properties":{"revision":{"type":"integer","minimum":1},
"upserts":{"type":"object","properties":{"route_rules":{"type":"array","items":)") +
         kRouteSchema + R"(},"services":{"type":"array","items":)" + kServiceSchema +
         R"(},"limits":)" + kLimitsSchema + R"(}},
"removals":{"type":"object","properties":{
 "route_rules":{"type":"array","items":{"type":"string"}},
 "services":{"type":"array","items":{"type":"string"}}}}}})";
}

}  // namespace

std::string schemaText(SchemaKind kind) {
  switch (kind) {
    case SchemaKind::settings:
      return kSettingsSchema;
    case SchemaKind::configuration:
      return configurationSchema();
    case SchemaKind::update:
      return updateSchema();
    case SchemaKind::heartbeat:
      return kHeartbeatSchema;
  }
  return "{}";
}

}  // namespace merlingauge::config
