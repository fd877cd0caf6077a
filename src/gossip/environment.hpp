// environment: clock, timers and network as the gossip service sees them.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace merlingauge::gossip {

/// All that the gossip service knows of the machine it runs on: the event loop and the peer RPC of
/// a node, or the simulated ones of a test. It must outlive the service. All calls come from the
/// event-loop thread.
class Environment {
 public:
  using TimerId = std::uint64_t;
  /// The decoded response of a peer; nothing where none came in time or it was no success.
  using ResponseCallback = std::function<void(std::optional<nlohmann::json>)>;

  Environment() = default;
  virtual ~Environment() = default;
  Environment(const Environment&) = delete;
  Environment& operator=(const Environment&) = delete;
  Environment(Environment&&) = delete;
  Environment& operator=(Environment&&) = delete;

  /// The time at which this turn of the event loop began. Enough for pauses and time-outs.
  [[nodiscard]] virtual TimePoint now() const = 0;
  /// The clock itself. A process can be stopped in the middle of a turn, so whatever proves
  /// something (a lease held, a contact made) must not rest on now().
  [[nodiscard]] virtual TimePoint readClock() const = 0;
  /// Runs `task` once, `delay` from now; never within this call.
  virtual TimerId runAfter(Duration delay, std::function<void()> task) = 0;
  /// Cancels a timer that has not run yet; without effect on one that has.
  virtual void cancel(TimerId timer) = 0;
  /// Sends one message of the pull protocol. `onResponse` is called exactly once, at the latest
  /// after `timeout`, and never within this call.
  virtual void sendPull(const NodeId& recipient, const nlohmann::json& message, Duration timeout,
                        ResponseCallback onResponse) = 0;
};

}  // namespace merlingauge::gossip
