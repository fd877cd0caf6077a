// load_tracker.hpp: how many requests one instance has at the moment, as far as this node can tell.
#pragma once

#include "base/time.hpp"

namespace merlingauge::proxy {

/// Estimates the load of one instance from this node's own requests there, which it knows exactly,
/// and from the load that responses report, which counts the requests of all nodes but ages.
/// A state machine without a clock: each call that depends on the time is given it.
/// Used on the event-loop thread only.
class LoadTracker {
 public:
  /// A request of this node goes there.
  void onRequestStarted(TimePoint now) { addOwnRequests(1, now); }
  /// A request that was counted by `onRequestStarted` is over or abandoned.
  void onRequestEnded(TimePoint now) { addOwnRequests(-1, now); }
  /// `requests`: running and queued at the instance, this node's own included.
  void onLoadReported(double requests, TimePoint now);

  /// Requests of this node that are in flight there.
  [[nodiscard]] int ownRequests() const { return ownRequests_; }
  /// Requests of all nodes there: the own ones, and the last report of the others', aged.
  [[nodiscard]] double estimatedLoad(TimePoint now) const;
  /// The own requests there, averaged over the last seconds. Another node that draws from the same
  /// instances by the same rule has about as many, so this predicts its load without asking it.
  [[nodiscard]] double averageOwnLoad(TimePoint now) const;

 private:
  void addOwnRequests(int change, TimePoint now);

  int ownRequests_ = 0;       // never negative
  double averageOwn_ = 0;     // exponentially weighted, as of `averagedAt_`
  TimePoint averagedAt_;      // when `ownRequests_` last changed
  double otherRequests_ = 0;  // of other nodes, as of `reportedAt_`
  TimePoint reportedAt_;
};

}  // namespace merlingauge::proxy
