// graceful_shutdown: what a node does from SIGTERM to its exit.
#pragma once

#include "base/time.hpp"
#include "control/register_service.hpp"
#include "event/event_loop.hpp"
#include "gossip/gossip_service.hpp"
#include "membership/instance_registry.hpp"
#include "node/lifecycle.hpp"
#include "node/listeners.hpp"
#include "node/settings.hpp"
#include "node/voter_set_observer.hpp"
#include "proxy/egress.hpp"
#include "proxy/ingress.hpp"

namespace merlingauge::node {

/// The parts of the node that a shutdown works on. All must outlive it.
struct ShutdownParticipants {
  Listeners& listeners;
  membership::InstanceRegistry& registry;
  control::RegisterService& registerService;
  gossip::GossipService& gossip;
  VoterSetObserver& voterSet;
  proxy::Egress* egress;    ///< null on a node without callers
  proxy::Ingress* ingress;  ///< null on a node without a server beside it
};

/// The sequence: announce it and take requests for a while yet, because callers notice late; then
/// reject new ones, finish what is in flight, hand the acceptor's place over, and stop the event
/// loop, at the latest shortly before the grace period ends. Event-loop thread only.
class GracefulShutdown {
 public:
  GracefulShutdown(event::EventLoop& loop, const Settings& settings, Lifecycle& lifecycle,
                   const ShutdownParticipants& participants);
  /// Begins the shutdown; without effect if it has begun.
  void begin();
  /// Called at each tick; does nothing before `begin`.
  void tick();

 private:
  [[nodiscard]] int requestsInFlight() const;
  void rejectNewRequests();
  [[nodiscard]] bool hasHandedOver(Duration elapsed);
  [[nodiscard]] bool replacementIsDue(const consensus::VoterSetView& view) const;
  [[nodiscard]] bool isReplicated(const consensus::VoterSetView& view) const;
  void finish();

  event::EventLoop& loop_;
  const Settings& settings_;
  Lifecycle& lifecycle_;
  ShutdownParticipants participants_;
  bool finished_ = false;  // EventLoop::stop is scheduled
};

}  // namespace merlingauge::node
