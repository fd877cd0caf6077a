#include "node/voter_set_observer.hpp"

#include <algorithm>

namespace merlingauge::node {

VoterSetObserver::VoterSetObserver(const Settings& settings, const Lifecycle& lifecycle,
                                   const membership::InstanceRegistry& registry,
                                   const control::RegisterService& registerService,
                                   const gossip::GossipService& gossip)
    : settings_(settings),
      lifecycle_(lifecycle),
      registry_(registry),
      registerService_(registerService),
      gossip_(gossip) {}

std::set<NodeId> VoterSetObserver::knownControlNodes() const {
  std::set<NodeId> nodes = registry_.controlNodes();
  const auto& voters = registerService_.committedValue().voters;
  nodes.insert(voters.begin(), voters.end());
  return nodes;
}

consensus::VoterSetView VoterSetObserver::view(TimePoint now) {
  const auto nodes = knownControlNodes();
  std::erase_if(firstSeenAt_, [&](const auto& entry) { return !nodes.contains(entry.first); });
  consensus::VoterSetView view{
      registerService_.committedValue().voters, {}, settings_.faultTolerance};
  for (const auto& node : nodes) {
    view.nodes.push_back(node == settings_.nodeId ? viewOfSelf(now) : viewOfPeer(node, now));
  }
  return view;
}

consensus::ControlNodeView VoterSetObserver::viewOfSelf(TimePoint now) const {
  consensus::ControlNodeView self;
  self.id = settings_.nodeId;
  self.knownFor = now - lifecycle_.startedAt();
  self.heardRecently = true;
  self.recovered = registerService_.recovered();
  self.shuttingDown = lifecycle_.isShuttingDown();
  return self;
}

consensus::ControlNodeView VoterSetObserver::viewOfPeer(const NodeId& node, TimePoint now) {
  consensus::ControlNodeView peer;
  peer.id = node;
  const TimePoint firstSeen = firstSeenAt_.try_emplace(node, now).first->second;
  peer.knownFor = now - firstSeen;
  // Only silence counts during which this node could have heard: not from before it ran or had
  // its quorum lease.
  peer.unresponsiveFor = now - std::max({gossip_.lastHeard(node), firstSeen,
                                         lifecycle_.listeningSince(), gossip_.leaseHeldSince()});
  peer.heardRecently = gossip_.heardWithin(node, consensus::kVoterUnresponsiveAfter);
  const auto known = registry_.nodes().find(node);
  if (known != registry_.nodes().end()) {
    peer.recovered = known->second.recovered;
    peer.shuttingDown = known->second.shuttingDown;
  }
  return peer;
}

}  // namespace merlingauge::node
