// bootstrap_discovery: asks a seed which control nodes there are, before the first pull.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>

#include "base/time.hpp"
#include "gossip/control_node_directory.hpp"
#include "gossip/gossip_coordinator.hpp"
#include "gossip/gossip_dependencies.hpp"
#include "gossip/gossip_options.hpp"

namespace merlingauge::gossip {

/// A node that is no control node discovers the control nodes with one small message, and only then
/// pulls. If the whole fleet pulled everything from the seeds, these would answer nobody in time,
/// other control nodes included. Event-loop thread.
class BootstrapDiscovery {
 public:
  BootstrapDiscovery(const GossipDependencies& dependencies, const GossipOptions& options,
                     ControlNodeDirectory& directory, GossipCoordinator& coordinator)
      : dependencies_(dependencies),
        options_(options),
        directory_(directory),
        coordinator_(coordinator),
        done_(options.isControlNode) {}

  /// Pulls may start: the control nodes are known, or nobody could tell.
  [[nodiscard]] bool done() const { return done_; }
  /// Sends the next request when it is due.
  void tick();
  void stop() { stopped_ = true; }

 private:
  void onResponse(const std::optional<nlohmann::json>& response);

  const GossipDependencies& dependencies_;
  const GossipOptions& options_;
  ControlNodeDirectory& directory_;
  GossipCoordinator& coordinator_;
  bool done_;
  bool stopped_ = false;
  std::size_t attempts_ = 0;
  std::optional<TimePoint> nextAttemptAt_;  ///< set by the first tick
};

}  // namespace merlingauge::gossip
