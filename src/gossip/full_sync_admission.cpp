#include "gossip/full_sync_admission.hpp"

#include <algorithm>
#include <cstddef>

namespace merlingauge::gossip {

namespace {
// A node that was only out of reach for a moment lacks entries of a few sources, and is sent them
// at once.
constexpr std::size_t kFewSources = 16;
// A turn that was not taken for so long is given up: the newcomer has found somebody else.
constexpr Duration kReservationLifetime = std::chrono::seconds(2);
// Nobody is sent away for longer, however many wait: the order matters less than an answer.
constexpr Duration kLongestWait = std::chrono::seconds(4);
// Not worth another message.
constexpr Duration kNegligibleWait = std::chrono::milliseconds(5);
}  // namespace

bool FullSyncAdmission::lacksMuch(const membership::VersionVectorEntries& vector) const {
  membership::VersionVector theirs(dependencies_.registry.sourceTable());
  for (const auto& [source, counter] : vector) theirs.set(source, counter);
  std::size_t lacking = 0;
  theirs.forEachNewer(dependencies_.registry.versionVector(),
                      [&](const auto&, auto, auto) { ++lacking; });
  return lacking > kFewSources;
}

std::optional<Duration> FullSyncAdmission::waitFor(const NodeId& newcomer,
                                                   const membership::VersionVectorEntries& vector) {
  if (!lacksMuch(vector)) return std::nullopt;
  const TimePoint now = dependencies_.environment.now();
  std::erase_if(reservedTurns_,
                [&](const auto& entry) { return now - entry.second > kReservationLifetime; });
  const TimePoint free = std::min(std::max(now, nextFreeTurn_), now + kLongestWait);
  const auto [reserved, isNew] = reservedTurns_.try_emplace(newcomer, free);
  if (isNew) nextFreeTurn_ = reserved->second + options_.fullSyncInterval;
  const Duration wait = reserved->second - now;
  if (wait > kNegligibleWait) return wait;
  reservedTurns_.erase(reserved);
  return std::nullopt;
}

}  // namespace merlingauge::gossip
