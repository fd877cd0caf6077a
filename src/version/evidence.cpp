#include "version/evidence.hpp"

#include <algorithm>
#include <functional>

namespace merlin::cairn {

namespace {
constexpr std::size_t kMostAhead = 16;
}  // namespace

void Evidence::accepted(std::uint64_t sequence, Instant at) {
  // A value written over by an older one, under a higher ballot, was not chosen and never will be.
  while (!ahead_.empty() && ahead_.back().sequence > sequence) ahead_.pop_back();
  if (sequence <= known_) return;
  if (!ahead_.empty() && sequence <= ahead_.back().sequence) return;
  if (ahead_.size() == kMostAhead) {
    ahead_.back().sequence = sequence;  // counts as held for longer than it was
    return;
  }
  ahead_.push_back({sequence, at});
}

void Evidence::learned(std::uint64_t sequence) {
  known_ = std::max(known_, sequence);
  std::erase_if(ahead_, [this](const Ahead& held) { return held.sequence <= known_; });
}

Instant Evidence::own(Instant now) const {
  return ahead_.empty() ? now : std::min(now, ahead_.front().since);
}

void Evidence::voter(const NodeId& node, Instant asOf) {
  const auto [it, fresh] = voters_.try_emplace(node, asOf);
  if (!fresh) it->second = std::max(it->second, asOf);
}

Instant Evidence::quorum(const Value& known, const NodeId& self,
                         const std::optional<Instant>& own) const {
  Instant out = Instant::max();
  for (const auto* set : {&known.voters, &known.before}) {
    if (set->empty() && set != &known.voters) continue;
    std::vector<Instant> times;
    for (const auto& voter : *set) {
      const auto it = voters_.find(voter);
      if (voter == self) {
        times.push_back(own.value_or(kNever));
      } else {
        times.push_back(it == voters_.end() ? kNever : it->second);
      }
    }
    const std::size_t needed = times.size() / 2;  // so many others beside the oldest that counts
    if (times.empty()) return read_;
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(needed),
                     times.end(), std::greater<>());
    out = std::min(out, times[needed]);
  }
  return std::max(out, read_);
}

}  // namespace merlin::cairn
