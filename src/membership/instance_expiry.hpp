// instance_expiry: which instances to give up, by their heartbeats or by their reporter.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "membership/instance_table.hpp"
#include "membership/node_table.hpp"
#include "membership/update_throttle.hpp"

namespace merlingauge::membership {

/// How long a node waits for an instance before it gives it up, and then before it forgets it.
struct ExpiryLimits {
  Duration heartbeatTimeout{};
  Duration forgetAfter{};
};

/// The heartbeats that this incarnation of the node has received. Each instance has one reporter,
/// the node that last received its heartbeats, and that one watches it: so the work of failure
/// detection is spread over the fleet. Changes no instance, it only names those to be changed.
/// Reads no clock; event-loop thread only.
class InstanceExpiry {
 public:
  /// Both references must outlive this object. `self` is the node that it works for.
  InstanceExpiry(const InstanceTable& instances, UpdateThrottle& throttle, NodeId self)
      : instances_(instances), throttle_(throttle), self_(std::move(self)) {}

  /// Notes a heartbeat. False for one that is older than the last, hence delayed on the way.
  bool recordHeartbeat(const InstanceId& id, std::uint64_t sequence, TimePoint now);
  [[nodiscard]] bool heardHere(const InstanceId& id) const { return heartbeats_.contains(id); }
  /// Peers say that an earlier incarnation of this node reported the instance: its next heartbeat
  /// is due here, and it is given up like one that was heard if none comes.
  void expectHeartbeat(const InstanceId& id, TimePoint now);
  void forget(const InstanceId& id) { heartbeats_.erase(id); }

  /// The open instances of this reporter whose heartbeats have stopped. Stops to watch those that
  /// are another reporter's by now, or that closed long ago, and drops the deferred updates of all
  /// whose heartbeats have stopped.
  std::vector<InstanceId> takeTimedOut(TimePoint now, const ExpiryLimits& limits);
  /// The open instances whose reporter has been down for longer than `heartbeatTimeout`: were they
  /// alive, their heartbeats would go to another node by now. Only those that `isMine` accepts.
  [[nodiscard]] std::vector<InstanceId> orphans(
      TimePoint now, Duration heartbeatTimeout, const NodeTable& nodes,
      const std::function<bool(const InstanceId&)>& isMine) const;
  /// The instances that have been closed for longer than `forgetAfter`.
  [[nodiscard]] std::vector<InstanceId> longClosed(TimePoint now, Duration forgetAfter) const;

 private:
  struct Heartbeat {
    TimePoint at;
    std::uint64_t sequence = 0;  // only rises
  };
  /// What follows for an instance whose heartbeats have stopped.
  enum class Verdict : std::uint8_t { stopWatching, keepWatching, markUnresponsive };
  [[nodiscard]] Verdict judgeTimeout(const InstanceId& id, Duration sinceHeartbeat,
                                     Duration forgetAfter) const;
  [[nodiscard]] bool isOpenAndReportedHere(const InstanceId& id) const;

  const InstanceTable& instances_;
  UpdateThrottle& throttle_;
  NodeId self_;
  std::unordered_map<InstanceId, Heartbeat> heartbeats_;
  std::map<InstanceId, TimePoint> expected_;  // since when; none heard here yet
};

}  // namespace merlingauge::membership
