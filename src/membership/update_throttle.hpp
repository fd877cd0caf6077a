// update_throttle: holds back updates that say little new after a restart, and releases them
// slowly.
#pragma once

#include <map>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "membership/instance_table.hpp"

namespace merlingauge::membership {

/// A restarted node receives heartbeats of instances that the mesh knows already, from another
/// reporter or from before the restart. Making an update of each at once would fill the links of
/// the nodes that pull from here with states that they hold already. So such updates wait, the
/// latest of each instance, and leave a few at a time. Inactive until the first throttleUntil().
/// Reads no clock; event-loop thread only.
class UpdateThrottle {
 public:
  /// From now on updates may be held back; those of instances that this node does not know until
  /// `until`, by which time peers have sent what they know. A later call can only shorten this.
  void throttleUntil(TimePoint until);
  /// May `update` wait? `held` is what the registry holds of the instance, or nullptr.
  [[nodiscard]] bool mayDefer(const InstanceItem* held, const Instance& update,
                              TimePoint now) const;
  /// In place of an earlier one of the same instance.
  void defer(Instance update);
  void drop(const InstanceId& id) { deferred_.erase(id); }
  /// Takes out the updates that are to be made now, and drops those that something newer overtook.
  std::vector<Instance> takeDue(TimePoint now, const InstanceTable& instances, const NodeId& self);

 private:
  bool active_ = false;
  TimePoint unknownUntil_;  // only falls once active
  std::map<InstanceId, Instance> deferred_;
};

}  // namespace merlingauge::membership
