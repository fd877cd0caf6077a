// config_update: a change of some items of a configuration (Configuration.Update).
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "config/document_error.hpp"

namespace merlingauge::config {

struct UpdateResult {
  nlohmann::json config;               ///< the configuration that the update makes of its base
  std::optional<DocumentError> error;  ///< the update doesn't fit its schema; `config` is null then
};

/// Applies `update` to `base`, a configuration that fits its schema. Items are matched by name:
/// those that are replaced keep their places, new ones follow in the order of the update. The rules
/// between items are left to RouteTable::parseValidated.
UpdateResult applyUpdate(const nlohmann::json& base, const nlohmann::json& update);

}  // namespace merlingauge::config
