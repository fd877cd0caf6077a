// endpoint_table.hpp: what this node knows of each instance from its own traffic.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "proxy/load_tracker.hpp"
#include "proxy/outlier_detector.hpp"
#include "proxy/reachability.hpp"

namespace merlingauge::proxy {

/// Observations of one instance, each kept by its own state machine.
struct EndpointState {
  LoadTracker load;
  Reachability reachability;
  OutlierDetector outliers;
  TimePoint usedAt;  ///< when a request last went there; decides when this is forgotten
};

/// The states by instance. Lives as long as the egress; event-loop thread only.
class EndpointTable {
 public:
  /// The state of `id`, made if there is none. The reference is good until `generation` changes:
  /// the map's nodes stay where they are until one is erased.
  EndpointState& state(const InstanceId& id) { return states_[id]; }
  /// Changes whenever a reference handed out may have become invalid.
  [[nodiscard]] std::uint64_t generation() const { return generation_; }

  /// A request goes to `id`.
  void onRequestStarted(const InstanceId& id, TimePoint now);
  /// A request that was started there is over.
  void onRequestEnded(const InstanceId& id, TimePoint now);
  /// Forgets the instances without requests that weren't used for long.
  void expireUnused(TimePoint now);

 private:
  std::unordered_map<InstanceId, EndpointState> states_;
  std::uint64_t generation_ = 0;
};

}  // namespace merlingauge::proxy
