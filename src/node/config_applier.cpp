#include "node/config_applier.hpp"

#include <Poco/Logger.h>

#include <string>

#include "config/document_parser.hpp"

namespace merlingauge::node {

namespace {
Poco::Logger& logger() { return Poco::Logger::get("node"); }

// Without the schema: the document has passed it on the node that proposed it.
config::RouteTable::ParseResult parseCommitted(const std::string& text) {
  const auto document = config::parseDocument(text);
  if (!document) return {nullptr, config::DocumentError{"document", "not JSON"}};
  return config::RouteTable::parseValidated(*document);
}
}  // namespace

Revision ConfigApplier::revision() const {
  return routeTable_ ? routeTable_->revision() : Revision{};
}

bool ConfigApplier::isNewer(const consensus::RegisterValue& value) const {
  return value.config && (!routeTable_ || value.revision() > routeTable_->revision());
}

bool ConfigApplier::apply(const consensus::RegisterValue& value) {
  if (!isNewer(value)) return false;
  const auto parsed = parseCommitted(value.config->text());
  if (!parsed.table) {
    logger().error("a committed configuration can't be read: " + parsed.error->message());
    return false;
  }
  routeTable_ = parsed.table;
  logger().information("configuration revision " + std::to_string(value.revision().value) +
                       " is in force");
  return true;
}

}  // namespace merlingauge::node
