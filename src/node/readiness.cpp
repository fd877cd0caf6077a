#include "node/readiness.hpp"

#include "consensus/register_value.hpp"

namespace merlingauge::node {

namespace {
// A node that carries traffic waits for this long for a neighbour that is proven up to date, then
// it starts with what it has: a quorum of the control nodes may be down for long.
constexpr Duration kWaitForUpToDate = std::chrono::seconds(6);
}  // namespace

Readiness::Readiness(const Settings& settings, const Lifecycle& lifecycle,
                     const consensus::RegisterReplica& replica, const gossip::GossipService& gossip)
    : settings_(settings), lifecycle_(lifecycle), replica_(replica), gossip_(gossip) {}

bool Readiness::hasConfiguration() const { return replica_.committedValue().config != nullptr; }

bool Readiness::isReady() const {
  if (lifecycle_.isShuttingDown() || !hasConfiguration() || !gossip_.hasPulled()) return false;
  return settings_.hasEgress() ? wasUpToDate_ : gossip_.hasQuorumLease();
}

void Readiness::tick(TimePoint now) {
  if (wasUpToDate_ || !settings_.hasEgress() || !hasConfiguration()) return;
  if (!firstConfigurationAt_) firstConfigurationAt_ = now;
  wasUpToDate_ = gossip_.isUpToDate() || now - *firstConfigurationAt_ > kWaitForUpToDate;
}

}  // namespace merlingauge::node
