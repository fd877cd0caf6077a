#include "node/startup_throttle.hpp"

namespace merlingauge::node {

namespace {
// Within this time after a start the neighbours have sent their registry.
constexpr Duration kRegistryArrivesWithin = std::chrono::milliseconds(1500);
}  // namespace

StartupThrottle::StartupThrottle(const Settings& settings, membership::InstanceRegistry& registry,
                                 gossip::GossipService& gossip)
    : settings_(settings), registry_(registry), gossip_(gossip) {}

void StartupThrottle::onStart(TimePoint now) {
  if (!settings_.isControlNode()) return;
  // At the very first start nobody has a registry to wait for.
  registry_.throttleUpdatesUntil(settings_.bootstrap ? now : now + kRegistryArrivesWithin);
}

void StartupThrottle::onFirstContact(const NodeId& peer, TimePoint now) {
  if (!settings_.isControlNode()) return;
  const auto known = registry_.nodes().find(peer);
  if (known == registry_.nodes().end() || known->second.isControlNode) return;
  registry_.throttleUpdatesUntil(now);
  if (registry_.releaseThrottledUpdates(now)) gossip_.notifyUpdate();
}

}  // namespace merlingauge::node
