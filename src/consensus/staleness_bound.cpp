#include "consensus/staleness_bound.hpp"

#include <algorithm>
#include <functional>

namespace merlingauge::consensus {

namespace {
constexpr std::size_t kMostAhead = 16;
}  // namespace

void StalenessBound::onAccepted(std::uint64_t sequence, TimePoint at) {
  // A value written over by an older one, under a higher ballot, was not chosen and never will be.
  while (!acceptedAhead_.empty() && acceptedAhead_.back().sequence > sequence)
    acceptedAhead_.pop_back();
  if (sequence <= knownSequence_) return;
  if (!acceptedAhead_.empty() && sequence <= acceptedAhead_.back().sequence) return;
  if (acceptedAhead_.size() == kMostAhead) {
    acceptedAhead_.back().sequence = sequence;  // counts as held for longer than it was
    return;
  }
  acceptedAhead_.push_back({sequence, at});
}

void StalenessBound::onLearned(std::uint64_t sequence) {
  knownSequence_ = std::max(knownSequence_, sequence);
  std::erase_if(acceptedAhead_,
                [this](const AcceptedAhead& held) { return held.sequence <= knownSequence_; });
}

TimePoint StalenessBound::ownAsOf(TimePoint now) const {
  return acceptedAhead_.empty() ? now : std::min(now, acceptedAhead_.front().since);
}

void StalenessBound::onVoterContact(const NodeId& node, TimePoint asOf) {
  const auto [it, fresh] = voterContacts_.try_emplace(node, asOf);
  if (!fresh) it->second = std::max(it->second, asOf);
}

TimePoint StalenessBound::quorumContact(const RegisterValue& known, const NodeId& self,
                                        const std::optional<TimePoint>& own) const {
  TimePoint out = TimePoint::max();
  for (const auto* set : {&known.voters, &known.previousVoters}) {
    if (set->empty() && set != &known.voters) continue;
    std::vector<TimePoint> times;
    for (const auto& voter : *set) {
      const auto it = voterContacts_.find(voter);
      if (voter == self) {
        times.push_back(own.value_or(kNever));
      } else {
        times.push_back(it == voterContacts_.end() ? kNever : it->second);
      }
    }
    const std::size_t needed = times.size() / 2;  // so many others beside the oldest that counts
    if (times.empty()) return quorumRead_;
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(needed),
                     times.end(), std::greater<>());
    out = std::min(out, times[needed]);
  }
  return std::max(out, quorumRead_);
}

}  // namespace merlingauge::consensus
