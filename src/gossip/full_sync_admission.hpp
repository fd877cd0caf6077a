// full_sync_admission: gives turns to nodes that have to be sent nearly the whole state.
#pragma once

#include <map>
#include <optional>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "gossip/gossip_dependencies.hpp"
#include "gossip/gossip_options.hpp"

namespace merlingauge::gossip {

/// A full sync is processor time that a small machine can't spend for many nodes at once. Each
/// newcomer gets a turn, one every GossipOptions::fullSyncInterval. Event-loop thread.
class FullSyncAdmission {
 public:
  FullSyncAdmission(const GossipDependencies& dependencies, const GossipOptions& options)
      : dependencies_(dependencies), options_(options) {}

  /// How long a node with this version vector has to wait for its full sync; nothing where it may
  /// have it now, or lacks so little that it needs no turn.
  [[nodiscard]] std::optional<Duration> waitFor(const NodeId& newcomer,
                                                const membership::VersionVectorEntries& vector);

 private:
  [[nodiscard]] bool lacksMuch(const membership::VersionVectorEntries& vector) const;

  const GossipDependencies& dependencies_;
  const GossipOptions& options_;
  /// Turns promised and not taken yet. A newcomer that asks again keeps its turn.
  std::map<NodeId, TimePoint> reservedTurns_;
  TimePoint nextFreeTurn_;
};

}  // namespace merlingauge::gossip
