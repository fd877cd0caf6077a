#include "node/voter_role.hpp"

namespace merlingauge::node {

namespace {
// A spare steps in only after it has listened for long enough to know that all voters are gone and
// not merely not heard yet.
constexpr Duration kSpareListensFor = 2 * ControlNodeLiveness::kLiveWithin;
}  // namespace

VoterRole::VoterRole(const Settings& settings, const Lifecycle& lifecycle,
                     membership::InstanceRegistry& registry,
                     control::RegisterService& registerService, gossip::GossipService& gossip,
                     const ControlNodeLiveness& controlNodes, VoterSetObserver& voterSet)
    : settings_(settings),
      lifecycle_(lifecycle),
      registry_(registry),
      registerService_(registerService),
      gossip_(gossip),
      controlNodes_(controlNodes),
      voterSet_(voterSet) {}

void VoterRole::announceRecovery() {
  if (registerService_.recovered() == registry_.selfInfo().recovered) return;
  registry_.announceRecovered(registerService_.recovered());
  gossip_.notifyUpdate();
}

bool VoterRole::isEligible() const {
  return !lifecycle_.isShuttingDown() && registerService_.recovered() &&
         controlNodes_.mayActForOthers();
}

void VoterRole::tick(TimePoint now) {
  announceRecovery();
  if (!isEligible()) return;
  const auto view = voterSet_.view(now);
  if (!consensus::ownsVoterSetRole(view, settings_.nodeId)) return;
  const bool isVoter = registerService_.committedValue().isVoter(settings_.nodeId);
  const bool listenedEnough = now - lifecycle_.startedAt() >= kSpareListensFor;
  if (!isVoter && !listenedEnough) return;
  registerService_.maintainVoterSet(view);
}

}  // namespace merlingauge::node
