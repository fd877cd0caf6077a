// config_applier: makes a committed configuration the one that requests are routed by.
#pragma once

#include "config/route_table.hpp"
#include "consensus/register_value.hpp"

namespace merlingauge::node {

/// Owns the route table in force. Event-loop thread only.
class ConfigApplier {
 public:
  /// Puts the value's configuration in force if it is newer. True if it has. A configuration that
  /// can't be read is logged as an error and the one in force stays.
  bool apply(const consensus::RegisterValue& value);
  /// Null before there is one.
  [[nodiscard]] const config::RouteTable::Ptr& routeTable() const { return routeTable_; }
  /// Of the route table in force; 0 before there is one.
  [[nodiscard]] Revision revision() const;

 private:
  [[nodiscard]] bool isNewer(const consensus::RegisterValue& value) const;

  config::RouteTable::Ptr routeTable_;
};

}  // namespace merlingauge::node
