#include "config/config_schema.hpp"

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <vector>

#include "config/schema_texts.hpp"
#include "config/text_rules.hpp"

namespace merlingauge::config {

namespace {

using valijson::adapters::NlohmannJsonAdapter;
constexpr std::size_t kSchemaKinds = 4;

std::unique_ptr<valijson::Schema> compile(const std::string& text) {
  auto schema = std::make_unique<valijson::Schema>();
  const auto document = nlohmann::json::parse(text);
  valijson::SchemaParser parser(valijson::SchemaParser::kDraft4);
  parser.populateSchema(NlohmannJsonAdapter(document), *schema);
  return schema;
}

const valijson::Schema& compiledSchema(SchemaKind kind) {
  static std::array<std::unique_ptr<valijson::Schema>, kSchemaKinds> schemas;
  auto& schema = schemas.at(static_cast<std::size_t>(kind));
  if (!schema) schema = compile(schemaText(kind));
  return *schema;
}

// valijson's path, ["<root>", "[route_rules]", "[0]", ...], as "route_rules.0...".
std::string fieldPath(const std::vector<std::string>& context) {
  std::string path;
  for (std::string part : context) {
    if (part == "<root>") continue;
    if (part.size() > 1 && part.front() == '[' && part.back() == ']') {
      part = part.substr(1, part.size() - 2);
    }
    std::erase(part, '"');
    path += (path.empty() ? "" : ".") + part;
  }
  return path.empty() ? "document" : path;
}

// valijson reports the same violation at every level above it. The deepest one names the field.
DocumentError deepestError(valijson::ValidationResults& results) {
  DocumentError deepest{"document", "does not fit the schema"};
  std::size_t depth = 0;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    if (error.context.size() < depth) continue;
    depth = error.context.size();
    deepest = {fieldPath(error.context), error.description};
  }
  return deepest;
}

}  // namespace

std::optional<DocumentError> schemaViolation(SchemaKind kind, const nlohmann::json& document) {
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  if (!validator.validate(compiledSchema(kind), NlohmannJsonAdapter(document), &results)) {
    return deepestError(results);
  }
  return textViolation(kind, document);
}

}  // namespace merlingauge::config
