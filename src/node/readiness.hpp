// readiness: whether this node should be sent requests.
#pragma once

#include <optional>

#include "base/time.hpp"
#include "consensus/register_replica.hpp"
#include "gossip/gossip_service.hpp"
#include "node/lifecycle.hpp"
#include "node/settings.hpp"

namespace merlingauge::node {

/// The one place that decides it; answered by /v1/readiness. Event-loop thread only; all references
/// must outlive it.
class Readiness {
 public:
  Readiness(const Settings& settings, const Lifecycle& lifecycle,
            const consensus::RegisterReplica& replica, const gossip::GossipService& gossip);

  /// A node that carries traffic is ready once it has been up to date in this incarnation, and
  /// stays so: through a partition it goes on with what it has. A control node without traffic is
  /// ready while it holds its quorum lease. None is while it shuts down.
  [[nodiscard]] bool isReady() const;
  /// Called at each tick: notes when the configuration has become good enough to start with.
  void tick(TimePoint now);

 private:
  [[nodiscard]] bool hasConfiguration() const;

  const Settings& settings_;
  const Lifecycle& lifecycle_;
  const consensus::RegisterReplica& replica_;
  const gossip::GossipService& gossip_;
  std::optional<TimePoint> firstConfigurationAt_;  // in this incarnation
  bool wasUpToDate_ = false;                       // once true, stays true
};

}  // namespace merlingauge::node
