#include "consensus/staleness_bound.hpp"

#include <algorithm>
#include <functional>

namespace merlingauge::consensus {

namespace {
// More values than are ever under way at once; beyond it the bound is only older than it must be.
constexpr std::size_t kMaxAcceptedAhead = 16;
}  // namespace

void StalenessBound::onAccepted(std::uint64_t sequence, TimePoint at) {
  // One overwritten by a lower sequence, under a higher ballot, was not committed and never will
  // be.
  while (!acceptedAhead_.empty() && acceptedAhead_.back().sequence > sequence) {
    acceptedAhead_.pop_back();
  }
  if (sequence <= knownSequence_) return;
  if (!acceptedAhead_.empty() && sequence <= acceptedAhead_.back().sequence) return;
  if (acceptedAhead_.size() == kMaxAcceptedAhead) {
    acceptedAhead_.back().sequence = sequence;  // counts as accepted earlier than it was
    return;
  }
  acceptedAhead_.push_back({sequence, at});
}

void StalenessBound::onLearned(std::uint64_t sequence) {
  knownSequence_ = std::max(knownSequence_, sequence);
  std::erase_if(acceptedAhead_, [this](const AcceptedAhead& accepted) {
    return accepted.sequence <= knownSequence_;
  });
}

TimePoint StalenessBound::ownAsOf(TimePoint now) const {
  return acceptedAhead_.empty() ? now : std::min(now, acceptedAhead_.front().since);
}

void StalenessBound::onVoterContact(const NodeId& voter, TimePoint asOf) {
  const auto [entry, inserted] = voterContacts_.try_emplace(voter, asOf);
  if (!inserted) entry->second = std::max(entry->second, asOf);
}

TimePoint StalenessBound::quorumContact(const RegisterValue& known, const NodeId& self,
                                        const std::optional<TimePoint>& ownAsOf) const {
  if (known.voters.empty()) return quorumRead_;
  TimePoint contact = majorityContact(known.voters, self, ownAsOf);
  if (!known.previousVoters.empty()) {
    contact = std::min(contact, majorityContact(known.previousVoters, self, ownAsOf));
  }
  return std::max(contact, quorumRead_);
}

// The newest time that at least a majority of the voters has reached.
TimePoint StalenessBound::majorityContact(const std::vector<NodeId>& voters, const NodeId& self,
                                          const std::optional<TimePoint>& ownAsOf) const {
  std::vector<TimePoint> contacts;
  for (const auto& voter : voters) {
    const auto found = voterContacts_.find(voter);
    if (voter == self) {
      contacts.push_back(ownAsOf.value_or(kNever));
    } else {
      contacts.push_back(found == voterContacts_.end() ? kNever : found->second);
    }
  }
  const auto majorityLast = contacts.begin() + static_cast<std::ptrdiff_t>(contacts.size() / 2);
  std::nth_element(contacts.begin(), majorityLast, contacts.end(), std::greater<>());
  return *majorityLast;
}

}  // namespace merlingauge::consensus
