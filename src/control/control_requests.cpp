#include "control/control_requests.hpp"

#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "base/decode_error.hpp"
#include "base/json_fields.hpp"
#include "config/config_schema.hpp"
#include "config/document_parser.hpp"
#include "config/route_table.hpp"

namespace merlingauge::control {

using nlohmann::json;

namespace {
std::optional<Revision> parseRevision(const std::string& text) {
  Revision revision;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, revision.value);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return revision;
}

HeartbeatRequest decodeHeartbeat(const std::string& instanceId, const json& document) {
  const auto& info = requiredMember(document, "node_info");
  const auto& detail = requiredMember(document, "status_detail");
  HeartbeatRequest request;
  request.id = InstanceId(instanceId);
  request.service = ServiceName(requiredField<std::string>(info, "target_service"));
  request.address = requiredField<std::string>(document, "address");
  request.zone = ZoneName(optionalField<std::string>(info, "zone", ""));
  request.capacity = requiredField<int>(info, "capacity");
  request.draining = requiredField<std::string>(detail, "status") == "draining";
  request.sequence = requiredField<std::uint64_t>(detail, "sequence");
  request.warmingUp = optionalField<double>(detail, "warmup_left_s", 0.0) > 0;
  return request;
}
}  // namespace

membership::Instance HeartbeatRequest::toInstance() const {
  membership::Instance instance;
  instance.id = id;
  instance.service = service;
  instance.address = address;
  instance.zone = zone;
  instance.capacity = capacity;
  instance.status =
      draining ? membership::Instance::Status::draining : membership::Instance::Status::available;
  instance.sequence = sequence;
  instance.warmingUp = warmingUp;
  return instance;
}

std::variant<HeartbeatRequest, RequestError> parseHeartbeat(const std::string& instanceId,
                                                            const std::string& body) {
  const auto document = config::parseDocument(body);
  if (!document) return RequestError{ErrorKind::invalidJson, ""};
  auto violation = config::schemaViolation(config::SchemaKind::heartbeat, *document);
  if (violation) return RequestError{ErrorKind::invalidJson, violation->message()};
  try {
    return decodeHeartbeat(instanceId, *document);
  } catch (const DecodeError& error) {
    return RequestError{ErrorKind::invalidJson, error.what()};
  }
}

std::variant<ConfigChange, RequestError> parseConfigChange(ConfigChange::Kind kind,
                                                           const std::string& baseRevision,
                                                           const std::string& body) {
  auto document = config::parseDocument(body);
  if (!document) return RequestError{ErrorKind::invalidConfig, "the body can't be read whole"};
  const auto base = parseRevision(baseRevision);
  if (!base) {
    return RequestError{ErrorKind::invalidConfig, "Base-Revision: a whole number is wanted"};
  }
  ConfigChange change;
  change.kind = kind;
  change.baseRevision = *base;
  change.digest = changeDigest(kind, baseRevision, body);
  change.document = std::make_shared<const json>(*std::move(document));
  if (kind == ConfigChange::Kind::replace) change.text = config::ConfigText::create(body);
  return change;
}

std::string findViolation(const ConfigChange& change) {
  const auto violation =
      change.kind == ConfigChange::Kind::replace
          ? config::RouteTable::parse(*change.document).error
          : config::schemaViolation(config::SchemaKind::update, *change.document);
  return violation ? violation->message() : "";
}

}  // namespace merlingauge::control
