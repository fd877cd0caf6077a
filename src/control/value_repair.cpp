#include "control/value_repair.hpp"

#include <algorithm>

namespace merlingauge::control {

using consensus::Proposer;

namespace {
// The longest extra wait: a side without a quorum need not raise the ballots all the time, and
// notices within a second that it has one again.
constexpr Duration kMaxBackoff = std::chrono::seconds(1);
}  // namespace

ValueRepair::ValueRepair(event::EventLoop& loop, ProposalRunner& runner,
                         const consensus::RegisterReplica& replica,
                         const AcceptorHost& acceptorHost, const ProposalTiming& timing)
    : loop_(loop),
      runner_(runner),
      replica_(replica),
      acceptorHost_(acceptorHost),
      timing_(timing) {
  // What was read from the disk was probably committed: no delay before that is found out.
  if (acceptorHost_.acceptor().value().sequence > 0)
    aheadSince_ = loop_.now() - kBackgroundProposalDelay;
}

bool ValueRepair::acceptorIsAhead() const {
  return acceptorHost_.acceptor().value().sequence > replica_.committedValue().sequence;
}

// Another node runs rounds here: two at once only preempt each other.
bool ValueRepair::rivalIsActive(TimePoint now) const {
  const auto lastRound = acceptorHost_.lastRivalRound();
  return lastRound && now - *lastRound < 2 * timing_.roundTimeout();
}

void ValueRepair::tick() {
  const TimePoint now = loop_.now();
  if (!acceptorIsAhead()) {
    aheadSince_.reset();
    backoff_ = Duration(0);
    return;
  }
  if (!aheadSince_) aheadSince_ = now;
  if (reading_ || rivalIsActive(now)) return;
  const Duration wait =
      kBackgroundProposalDelay + timing_.staggerDelay(replica_.committedValue().voters) + backoff_;
  if (now - *aheadSince_ >= wait) startRead();
}

void ValueRepair::startRead() {
  reading_ = true;
  runner_.read(timing_.backgroundProposalTimeout(), [this](const Proposer::Result& result) {
    reading_ = false;
    aheadSince_ = loop_.now();
    if (!result.value) backoff_ = std::min(kMaxBackoff, backoff_ * 2 + kBackgroundProposalDelay);
  });
}

}  // namespace merlingauge::control
