#include "config/change_history.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/hash.hpp"
#include "config/change_history_codec.hpp"

namespace merlingauge::config {

namespace {

using Entry = ChangeHistory::Entry;

// The id of a chain after one more entry. Nodes compare ids with each other: it never changes.
std::uint64_t extendId(std::uint64_t id, const Entry& entry) {
  for (const std::uint64_t word :
       {static_cast<std::uint64_t>(entry.revision.value), entry.digest}) {
    id = (id ^ word) * 0x9e3779b97f4a7c15ULL;
    id ^= id >> 32;
    id *= 0xd6e8feb86659fd93ULL;
    id ^= id >> 29;
  }
  return id;
}

}  // namespace

ChangeHistory::ChangeHistory(Revision floor)
    : ChangeHistory(floor, stableHash("floor " + std::to_string(floor.value)), {}) {}

ChangeHistory::ChangeHistory(Revision floor, std::uint64_t seed, std::vector<Entry> entries)
    : floor_(floor), seed_(seed), id_(seed), entries_(std::move(entries)) {
  for (const auto& entry : entries_) id_ = extendId(id_, entry);
}

ChangeHistory::Ptr ChangeHistory::unpack(Revision floor, std::uint64_t seed,
                                         std::string_view packed) {
  return Ptr(new ChangeHistory(floor, seed, unpackEntries(floor, packed)));
}

void ChangeHistory::truncate(std::size_t count) {
  const auto end = entries_.begin() + static_cast<std::ptrdiff_t>(count);
  for (auto entry = entries_.begin(); entry != end; ++entry) {
    seed_ = extendId(seed_, *entry);
    floor_ = entry->revision;
  }
  entries_.erase(entries_.begin(), end);
}

ChangeHistory::Ptr ChangeHistory::extendedBy(Entry entry, std::size_t maxEntries) const {
  auto entries = entries_;
  entries.push_back(entry);
  const std::shared_ptr<ChangeHistory> extended(
      new ChangeHistory(floor_, seed_, std::move(entries)));
  const auto size = extended->entries_.size();
  extended->truncate(size - std::min(size, maxEntries));
  return extended;
}

ChangeHistory::Ptr ChangeHistory::appendPacked(std::string_view packed, Revision floor,
                                               std::uint64_t id) const {
  auto entries = entries_;
  const auto appended = unpackEntries(lastRevision(), packed);
  entries.insert(entries.end(), appended.begin(), appended.end());
  const std::shared_ptr<ChangeHistory> extended(
      new ChangeHistory(floor_, seed_, std::move(entries)));
  const auto aboveFloor =
      std::find_if(extended->entries_.begin(), extended->entries_.end(),
                   [floor](const Entry& entry) { return entry.revision > floor; });
  extended->truncate(static_cast<std::size_t>(aboveFloor - extended->entries_.begin()));
  if (extended->id() != id || extended->entries_.size() > kMaxEntries) return nullptr;
  return extended;
}

ChangeHistory::Outcome ChangeHistory::outcomeOf(Revision base, std::uint64_t digest) const {
  if (base == lastRevision()) return Outcome::undecided;
  if (base > lastRevision()) return Outcome::baseNotYetCommitted;
  if (base.value < 0) return Outcome::superseded;  // the first revision builds on 0
  if (base < floor_) return Outcome::truncated;
  // The first entry above the base was built on the base, if the base was a revision at all.
  const auto next = std::upper_bound(
      entries_.begin(), entries_.end(), base,
      [](Revision revision, const Entry& entry) { return revision < entry.revision; });
  const Revision builtOn = next == entries_.begin() ? floor_ : std::prev(next)->revision;
  const bool committed = builtOn == base && next->digest == digest;
  return committed ? Outcome::committed : Outcome::superseded;
}

bool ChangeHistory::contains(const Entry& entry) const {
  const auto found = std::lower_bound(
      entries_.begin(), entries_.end(), entry.revision,
      [](const Entry& other, Revision revision) { return other.revision < revision; });
  return found != entries_.end() && found->revision == entry.revision &&
         found->digest == entry.digest;
}

const std::string& ChangeHistory::packed() const {
  if (packed_.empty()) {
    Revision before = floor_;
    for (const auto& entry : entries_) {
      packEntry(before, entry, packed_);
      before = entry.revision;
    }
  }
  return packed_;
}

std::optional<std::string> ChangeHistory::packedSince(std::uint64_t id) const {
  auto partId = seed_;
  auto next = entries_.begin();
  Revision before = floor_;
  for (; partId != id; ++next) {
    if (next == entries_.end()) return std::nullopt;
    partId = extendId(partId, *next);
    before = next->revision;
  }
  std::string packed;
  for (; next != entries_.end(); ++next) {
    packEntry(before, *next, packed);
    before = next->revision;
  }
  return packed;
}

}  // namespace merlingauge::config
