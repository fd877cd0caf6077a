// quorum_lease: how far this node's knowledge reaches, and whether a control node may act for
// others.
#pragma once

#include <cstdint>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "consensus/staleness_bound.hpp"
#include "gossip/gossip_dependencies.hpp"
#include "gossip/gossip_options.hpp"
#include "gossip/pull_messages.hpp"

namespace merlingauge::gossip {

/// Contact with a quorum of the voters is a lease without a leader: it says that no other majority
/// has been formed without this node knowing, up to its end. Nobody grants it, so nobody can take
/// it away: a control node that can't renew it loses it by its own clock, also when its process
/// stood still meanwhile (Gray and Cheriton: leases). docs/register.md has the argument. Contacts
/// come as StalenessReport with each pulled response. Event-loop thread.
class QuorumLease {
 public:
  /// Contacts with voters are renewed by pulls that are held for two seconds at most; the rest is
  /// for a lost message.
  static constexpr Duration kLeaseDuration = std::chrono::milliseconds(3000);
  /// A contact of that age, and then one more pull that is held for two seconds.
  static constexpr Duration kUpToDateBound = std::chrono::milliseconds(4500);

  enum class Change : std::uint8_t { none, gained, lost };

  QuorumLease(const GossipDependencies& dependencies, const GossipOptions& options)
      : dependencies_(dependencies), options_(options) {}

  /// Compares with the last call. Always none on a node that is no control node.
  Change update();
  /// Read off the clock, not off the last update().
  [[nodiscard]] bool isHeld() const;
  /// Since when update() has found it held without a break; StalenessBound::kNever before.
  [[nodiscard]] TimePoint heldSince() const { return heldSince_; }
  /// Since the last contact with a quorum of the voters.
  [[nodiscard]] Duration quorumContactAge() const;
  /// Everything chosen longer ago than this is known here.
  [[nodiscard]] Duration stalenessAge() const;

  /// What a response of this node says of its own knowledge. `pullArrivedAt`: by readClock().
  [[nodiscard]] StalenessReport reportFor(TimePoint pullArrivedAt, bool toControlNode) const;
  /// Takes in the report of a peer whose register value, if the response brought one, is known here
  /// by now. `pullSentAt` stands for the arrival of the pull, which was later: the contact counts
  /// as older than it is, never as newer.
  void takeIn(const NodeId& peer, const StalenessReport& report, TimePoint pullSentAt);

 private:
  [[nodiscard]] TimePoint lastQuorumContact() const;
  [[nodiscard]] bool justStarted() const;

  const GossipDependencies& dependencies_;
  const GossipOptions& options_;
  TimePoint startedAt_ = consensus::StalenessBound::kNever;  ///< of the first update()
  TimePoint heldSince_ = consensus::StalenessBound::kNever;
  bool wasHeld_ = false;
};

}  // namespace merlingauge::gossip
