// lifecycle: when this process started, stood still and began to shut down.
#pragma once

#include <optional>

#include "base/time.hpp"

namespace merlingauge::node {

/// The one place that knows these times. Written by Node and GracefulShutdown, read by all parts of
/// the node; event-loop thread only.
class Lifecycle {
 public:
  void onStart(TimePoint now) { startedAt_ = now; }
  /// Called at each tick; notices a process that was suspended or starved since the last one.
  void onTick(TimePoint now);
  void onShutdown(TimePoint now) { shutdownSince_ = now; }

  [[nodiscard]] TimePoint startedAt() const { return startedAt_; }
  /// Before this time the process could not have heard anybody: silence of others up to then proves
  /// nothing.
  [[nodiscard]] TimePoint listeningSince() const { return listeningSince_; }
  [[nodiscard]] bool isShuttingDown() const { return shutdownSince_.has_value(); }
  /// Set once the shutdown has begun.
  [[nodiscard]] std::optional<TimePoint> shutdownSince() const { return shutdownSince_; }

 private:
  TimePoint startedAt_;
  TimePoint lastTickAt_;
  TimePoint listeningSince_;
  std::optional<TimePoint> shutdownSince_;
};

}  // namespace merlingauge::node
