#include "membership/dot_index.hpp"

#include <utility>

namespace merlingauge::membership {

Dot DotIndex::nextDot(TimePoint now) {
  advance(ownSource_, ++ownCounter_, now);
  return {ownSource_, ownCounter_};
}

void DotIndex::advance(const SourceId& source, std::uint64_t counter, TimePoint now) {
  if (versionVector_.counterOf(source) >= counter) return;
  versionVector_.set(source, counter);
  streams_[source].advancedAt = now;
}

void DotIndex::insert(const Dot& dot, ItemKey item) {
  streams_[dot.source].items[dot.counter] = std::move(item);
}

void DotIndex::remove(const Dot& dot) { streams_[dot.source].items.erase(dot.counter); }

bool DotIndex::knowsSource(const SourceId& source) const {
  if (versionVector_.counterOf(source) > 0) return true;
  const auto stream = streams_.find(source);
  return stream != streams_.end() && !stream->second.items.empty();
}

void DotIndex::forgetIdleSources(TimePoint now) {
  std::erase_if(streams_, [&](const auto& entry) {
    const auto& [source, stream] = entry;
    if (!stream.items.empty() || source == ownSource_) return false;
    if (now - stream.advancedAt <= kForgetDelay) return false;
    versionVector_.erase(source);
    return true;
  });
}

bool DotIndex::hasNewerThan(const VersionVector& seen) const {
  bool found = false;
  seen.forEachNewer(versionVector_,
                    [&](const SourceId& source, std::uint64_t, std::uint64_t seenCounter) {
                      if (found) return;
                      const auto stream = streams_.find(source);
                      if (stream == streams_.end()) return;
                      const auto& items = stream->second.items;
                      found = items.upper_bound(seenCounter) != items.end();
                    });
  return found;
}

VersionVectorEntries DotIndex::entriesAbove(const VersionVector& seen) const {
  VersionVectorEntries entries;
  seen.forEachNewer(versionVector_,
                    [&](const SourceId& source, std::uint64_t counter, std::uint64_t) {
                      entries.emplace_hint(entries.end(), source, counter);
                    });
  return entries;
}

}  // namespace merlingauge::membership
