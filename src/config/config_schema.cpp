#include "config/config_schema.hpp"

#include <array>
#include <memory>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace merlingauge::config {

namespace {

constexpr const char* kSettings = R"({
"type":"object","required":["self_node","network","policy_terms"],
"properties":{
 "self_node":{"type":"object","required":["node_name","serves","ip_address","zone"],
  "properties":{
   "node_name":{"type":"string","minLength":1},
   "serves":{"type":"array","items":{"type":"string"}},
   "ip_address":{"type":"string","pattern":"^[0-9]+[.][0-9]+[.][0-9]+[.][0-9]+$"},
   "zone":{"type":"string","minLength":1},
   "quorum_member":{"type":"boolean"},"bootstrap":{"type":"boolean"},
   "data_directory":{"type":["string","null"]},
   "app_address":{"type":"string"},"target_service":{"type":"string"},
   "limits":{"type":"object","properties":{"file_descriptors":{"type":"number","minimum":64},
     "memory_mb":{"type":"number","minimum":16},"disk_mb":{"type":"number","minimum":0}}}}},
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

constexpr const char* kRoute = R"({"type":"object",
"required":["name","hostname","path_prefix","route_type","timeout_s","max_attempts"],
"properties":{
 "name":{"type":"string","minLength":1},"hostname":{"type":"string","minLength":1},
 "path_prefix":{"type":"string","pattern":"^/(.*/)?$"},
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

constexpr const char* kService = R"({"type":"object","required":["name"],
"properties":{"name":{"type":"string","minLength":1},
 "health_check_path":{"type":"string"},"max_connections":{"type":"integer","minimum":1}}})";

constexpr const char* kLimits = R"({"type":"object","properties":{
 "max_header_bytes":{"type":"integer","minimum":256},"max_body_bytes":{"type":"integer","minimum":0},
 "header_timeout_s":{"type":"number","minimum":0,"exclusiveMinimum":true},
 "idle_timeout_s":{"type":"number","minimum":0,"exclusiveMinimum":true}}})";

constexpr const char* kHeartbeat = R"({"type":"object",
"required":["address","node_info","status_detail"],
"properties":{
 "address":{"type":"string","pattern":"^[0-9.]+:[0-9]+$"},
 "node_info":{"type":"object","required":["target_service","capacity"],"properties":{
   "target_service":{"type":"string","minLength":1},"zone":{"type":"string"},
   "revision":{"type":"string"},"capacity":{"type":"integer","minimum":1}}},
 "status_detail":{"type":"object","required":["status","sequence"],"properties":{
   "status":{"type":"string","enum":["available","draining"]},
   "sequence":{"type":"integer","minimum":0},"warmup_left_s":{"type":"number"}}}}})";

std::string configurationText() {
  return std::string(R"({"type":"object","required":["revision","route_rules","services"],
"properties":{"revision":{"type":"integer","minimum":1},"route_rules":{"type":"array","items":)") +
         kRoute + R"(},"services":{"type":"array","items":)" + kService + R"(},"limits":)" +
         kLimits + "}}";
}

std::string updateText() {
  return std::string(R"({"type":"object","required":["revision"],
"properties":{"revision":{"type":"integer","minimum":1},
"upserts":{"type":"object","properties":{"route_rules":{"type":"array","items":)") +
         kRoute + R"(},"services":{"type":"array","items":)" + kService + R"(},"limits":)" +
         kLimits + R"(}},
"removals":{"type":"object","properties":{
 "route_rules":{"type":"array","items":{"type":"string"}},
 "services":{"type":"array","items":{"type":"string"}}}}}})";
}

std::unique_ptr<valijson::Schema> parsed(const std::string& text) {
  auto schema = std::make_unique<valijson::Schema>();
  const auto document = nlohmann::json::parse(text);
  valijson::SchemaParser parser(valijson::SchemaParser::kDraft4);
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(document), *schema);
  return schema;
}

const valijson::Schema& schemaOf(SchemaKind kind) {
  static std::array<std::unique_ptr<valijson::Schema>, 4> schemas;
  auto& slot = schemas.at(static_cast<std::size_t>(kind));
  if (!slot) {
    switch (kind) {
      case SchemaKind::settings:
        slot = parsed(kSettings);
        break;
      case SchemaKind::configuration:
        slot = parsed(configurationText());
        break;
      case SchemaKind::update:
        slot = parsed(updateText());
        break;
      case SchemaKind::heartbeat:
        slot = parsed(kHeartbeat);
        break;
    }
  }
  return *slot;
}

constexpr int kDeepest = 32;

bool tooDeep(std::string_view text) {
  int depth = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (quoted) {
      i += c == '\\' ? 1 : 0;
      quoted = c != '"';
    } else if (c == '"') {
      quoted = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kDeepest) return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}
}  // namespace

std::optional<nlohmann::json> parseDocument(std::string_view text) {
  if (tooDeep(text)) return std::nullopt;
  auto document = nlohmann::json::parse(text, nullptr, false);
  if (document.is_discarded()) return std::nullopt;
  return document;
}

std::string schemaViolation(SchemaKind kind, const nlohmann::json& document) {
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  if (validator.validate(schemaOf(kind), valijson::adapters::NlohmannJsonAdapter(document),
                         &results)) {
    return "";
  }
  // The deepest complaint names the field itself.
  std::string where;
  std::string what = "does not fit the schema";
  std::size_t depth = 0;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    if (error.context.size() < depth) continue;
    depth = error.context.size();
    where.clear();
    for (const auto& part : error.context) {
      if (part == "<root>") continue;
      auto name = part;
      if (name.size() > 1 && name.front() == '[' && name.back() == ']') {
        name = name.substr(1, name.size() - 2);
      }
      std::erase(name, '"');
      where += (where.empty() ? "" : ".") + name;
    }
    what = error.description;
  }
  return (where.empty() ? std::string("document") : where) + ": " + what;
}

}  // namespace merlingauge::config
