#include "gossip/quorum_lease.hpp"

#include <algorithm>

#include "consensus/register_value.hpp"

namespace merlingauge::gossip {

using consensus::StalenessBound;

TimePoint QuorumLease::lastQuorumContact() const {
  const auto& replica = dependencies_.replica;
  return dependencies_.stalenessBound.quorumContact(replica.committedValue(), options_.self,
                                                    replica.ownAcceptedAsOf());
}

Duration QuorumLease::quorumContactAge() const {
  return dependencies_.environment.readClock() - lastQuorumContact();
}

Duration QuorumLease::stalenessAge() const {
  return dependencies_.environment.readClock() -
         dependencies_.stalenessBound.knownUpTo(lastQuorumContact());
}

bool QuorumLease::isHeld() const {
  return options_.isControlNode && quorumContactAge() <= kLeaseDuration;
}

QuorumLease::Change QuorumLease::update() {
  if (!options_.isControlNode) return Change::none;
  const TimePoint now = dependencies_.environment.now();
  if (startedAt_ == StalenessBound::kNever) startedAt_ = now;
  const bool held = isHeld();
  if (held == wasHeld_) return Change::none;
  wasHeld_ = held;
  if (held) heldSince_ = now;
  return held ? Change::gained : Change::lost;
}

// One that has just started may still be on its way to its first contact.
bool QuorumLease::justStarted() const {
  if (heldSince_ != StalenessBound::kNever) return false;
  if (startedAt_ == StalenessBound::kNever) return true;
  return dependencies_.environment.now() - startedAt_ <= kLeaseDuration;
}

StalenessReport QuorumLease::reportFor(TimePoint pullArrivedAt, bool toControlNode) const {
  StalenessReport report;
  const TimePoint quorumContact = lastQuorumContact();
  const TimePoint knownUpTo = dependencies_.stalenessBound.knownUpTo(quorumContact);
  if (knownUpTo > StalenessBound::kNever) report.knownUpToAge = pullArrivedAt - knownUpTo;
  if (!options_.isControlNode) return report;
  if (toControlNode) {
    const auto acceptedAsOf = dependencies_.replica.ownAcceptedAsOf();
    if (acceptedAsOf && *acceptedAsOf > StalenessBound::kNever) {
      report.acceptedAsOfAge = pullArrivedAt - *acceptedAsOf;
    }
  }
  const Duration contactAge = dependencies_.environment.readClock() - quorumContact;
  report.outOfQuorum = !justStarted() && contactAge > kLeaseDuration;
  return report;
}

void QuorumLease::takeIn(const NodeId& peer, const StalenessReport& report, TimePoint pullSentAt) {
  const TimePoint now = dependencies_.environment.readClock();
  auto& bound = dependencies_.stalenessBound;
  if (report.knownUpToAge) bound.onPeerBound(std::min(now, pullSentAt - *report.knownUpToAge));
  if (report.acceptedAsOfAge) {
    bound.onVoterContact(peer, std::min(now, pullSentAt - *report.acceptedAsOfAge));
  }
}

}  // namespace merlingauge::gossip
