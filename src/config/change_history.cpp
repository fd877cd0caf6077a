#include "config/change_history.hpp"

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <utility>

#include "base/hash.hpp"

namespace merlingauge::config {

namespace {
constexpr std::string_view kLetters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr int kDigestLetters = 11;  // of six bits each
constexpr unsigned kLetterBits = 6;
constexpr unsigned kStepBits = 5;  // the sixth says that more follows

std::uint64_t fold(std::uint64_t id, const ChangeHistory::Entry& entry) {
  for (const std::uint64_t word :
       {static_cast<std::uint64_t>(entry.revision.value), entry.digest}) {
    id = (id ^ word) * 0x9e3779b97f4a7c15ULL;
    id ^= id >> 32;
    id *= 0xd6e8feb86659fd93ULL;
    id ^= id >> 29;
  }
  return id;
}

void write(Revision before, const ChangeHistory::Entry& entry, std::string& out) {
  auto step = static_cast<std::uint64_t>(entry.revision.value - before.value);
  constexpr std::uint64_t kMore = 1U << kStepBits;
  for (; step >= kMore; step >>= kStepBits) out += kLetters[(step & (kMore - 1)) | kMore];
  out += kLetters[step];
  for (int i = 0; i < kDigestLetters; ++i) {
    out += kLetters[(entry.digest >> (kLetterBits * static_cast<unsigned>(i))) & 63U];
  }
}

std::uint64_t letter(std::string_view& in) {
  const auto at = in.empty() ? std::string_view::npos : kLetters.find(in.front());
  if (at == std::string_view::npos) throw std::out_of_range("a history that can't be read");
  in.remove_prefix(1);
  return at;
}

std::vector<ChangeHistory::Entry> read(Revision before, std::string_view in) {
  constexpr std::uint64_t kMore = 1U << kStepBits;
  std::vector<ChangeHistory::Entry> out;
  while (!in.empty()) {
    std::uint64_t step = 0;
    for (unsigned shift = 0;; shift += kStepBits) {
      const auto bits = letter(in);
      if (shift > 60) throw std::out_of_range("a history that can't be read");
      step |= (bits & (kMore - 1)) << shift;
      if ((bits & kMore) == 0) break;
    }
    const auto room = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max() -
                                                 std::max<std::int64_t>(before.value, 0));
    if (step == 0 || step > room) throw std::out_of_range("a history that doesn't rise");
    ChangeHistory::Entry entry{Revision{before.value + static_cast<std::int64_t>(step)}, 0};
    for (int i = 0; i < kDigestLetters; ++i) {
      entry.digest |= letter(in) << (kLetterBits * static_cast<unsigned>(i));
    }
    before = entry.revision;
    out.push_back(entry);
    if (out.size() > ChangeHistory::kMaxEntries)
      throw std::out_of_range("a history that is too long");
  }
  return out;
}
}  // namespace

ChangeHistory::ChangeHistory(Revision floor)
    : ChangeHistory(floor, stableHash("floor " + std::to_string(floor.value)), {}) {}

ChangeHistory::ChangeHistory(Revision floor, std::uint64_t seed, std::vector<Entry> entries)
    : floor_(floor), seed_(seed), id_(seed), entries_(std::move(entries)) {
  for (const auto& entry : entries_) id_ = fold(id_, entry);
}

ChangeHistory::Ptr ChangeHistory::unpack(Revision floor, std::uint64_t seed,
                                         std::string_view letters) {
  return Ptr(new ChangeHistory(floor, seed, read(floor, letters)));
}

void ChangeHistory::truncate(std::size_t count) {
  const auto end = entries_.begin() + static_cast<std::ptrdiff_t>(count);
  for (auto it = entries_.begin(); it != end; ++it) {
    seed_ = fold(seed_, *it);
    floor_ = it->revision;
  }
  entries_.erase(entries_.begin(), end);
}

ChangeHistory::Ptr ChangeHistory::extendedBy(Entry entry, std::size_t most) const {
  auto entries = entries_;
  entries.push_back(entry);
  auto* made = new ChangeHistory(floor_, seed_, std::move(entries));
  Ptr out(made);
  made->truncate(made->entries_.size() - std::min(made->entries_.size(), most));
  return out;
}

ChangeHistory::Ptr ChangeHistory::appendPacked(std::string_view letters, Revision floor,
                                               std::uint64_t id) const {
  auto entries = entries_;
  const auto more = read(lastRevision(), letters);
  entries.insert(entries.end(), more.begin(), more.end());
  auto* made = new ChangeHistory(floor_, seed_, std::move(entries));
  Ptr out(made);
  std::size_t below = 0;
  while (below < made->entries_.size() && made->entries_[below].revision <= floor) ++below;
  made->truncate(below);
  return out->id() == id && out->entries_.size() <= kMaxEntries ? out : nullptr;
}

ChangeHistory::Outcome ChangeHistory::outcomeOf(Revision base, std::uint64_t digest) const {
  if (base == lastRevision()) return Outcome::undecided;
  if (base > lastRevision()) return Outcome::baseNotYetCommitted;
  if (base.value < 0) return Outcome::superseded;  // the first version builds on 0
  if (base < floor_) return Outcome::truncated;
  // The first entry above the base: what was built on it, if it was a version.
  const auto next =
      std::upper_bound(entries_.begin(), entries_.end(), base,
                       [](Revision at, const Entry& entry) { return at < entry.revision; });
  const Revision built = next == entries_.begin() ? floor_ : std::prev(next)->revision;
  return built == base && next->digest == digest ? Outcome::committed : Outcome::superseded;
}

bool ChangeHistory::contains(const Entry& entry) const {
  const auto at =
      std::lower_bound(entries_.begin(), entries_.end(), entry.revision,
                       [](const Entry& e, Revision revision) { return e.revision < revision; });
  return at != entries_.end() && at->revision == entry.revision && at->digest == entry.digest;
}

const std::string& ChangeHistory::packed() const {
  if (packed_.empty()) {
    Revision before = floor_;
    for (const auto& entry : entries_) {
      write(before, entry, packed_);
      before = entry.revision;
    }
  }
  return packed_;
}

std::optional<std::string> ChangeHistory::packedSince(std::uint64_t id) const {
  auto at = seed_;
  auto it = entries_.begin();
  for (; at != id; ++it) {
    if (it == entries_.end()) return std::nullopt;
    at = fold(at, *it);
  }
  std::string out;
  Revision before = it == entries_.begin() ? floor_ : std::prev(it)->revision;
  for (; it != entries_.end(); ++it) {
    write(before, *it, out);
    before = it->revision;
  }
  return out;
}

}  // namespace merlingauge::config
