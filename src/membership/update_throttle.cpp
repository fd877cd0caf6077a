#include "membership/update_throttle.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace merlingauge::membership {

namespace {

// At each release leaves a sixteenth of what waits, so that a large registry is through within some
// dozens of releases, and never fewer than four, so that the rest does not linger.
constexpr std::size_t kReleaseFraction = 16;
constexpr std::size_t kMinimumRelease = 4;

}  // namespace

void UpdateThrottle::throttleUntil(TimePoint until) {
  unknownUntil_ = active_ ? std::min(until, unknownUntil_) : until;
  active_ = true;
}

bool UpdateThrottle::mayDefer(const InstanceItem* held, const Instance& update,
                              TimePoint now) const {
  if (!active_) return false;
  if (held == nullptr) {
    return update.status == Instance::Status::available && now < unknownUntil_;
  }
  return describeSameState(held->instance, update) && !held->instance.unresponsive;
}

void UpdateThrottle::defer(Instance update) {
  auto& latest = deferred_[update.id];
  latest = std::move(update);
}

std::vector<Instance> UpdateThrottle::takeDue(TimePoint now, const InstanceTable& instances,
                                              const NodeId& self) {
  std::vector<Instance> due;
  if (deferred_.empty() || now < unknownUntil_) return due;
  const std::size_t limit = std::max(kMinimumRelease, deferred_.size() / kReleaseFraction);
  std::size_t known = 0;
  for (auto next = deferred_.begin(); next != deferred_.end();) {
    const auto entry = next++;
    auto& update = entry->second;
    // An instance that nobody knows is new to every peer: its update does not count as deferrable.
    if (const auto* item = instances.find(update.id)) {
      const auto& held = item->instance;
      // What was learnt since stands; the instance's next heartbeat is compared with it.
      const bool overtaken =
          held.unresponsive || !describeSameState(held, update) || held.reporter == self;
      if (overtaken) {
        deferred_.erase(entry);
        continue;
      }
      if (known++ >= limit) continue;
      update.sequence = std::max(update.sequence, held.sequence);
      update.reporterEdit = nextReporterEdit(held, update);
    }
    due.push_back(std::move(update));
    deferred_.erase(entry);
  }
  return due;
}

}  // namespace merlingauge::membership
