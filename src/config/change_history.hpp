// history: which order every version was made by. An order that is sent again is known by it, and
// whoever builds on a version that another order was built on is refused by it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.hpp"

namespace merlingauge::config {

// A chain without gaps, never changed once made: the first entry builds on the floor, every other
// on the entry before it, and the last one is the version in place. Nothing is known of what came
// below the floor. In memory 16 bytes an entry; on disk and on the wire 12 to 24, 13 as a rule.
class ChangeHistory {
 public:
  using Ptr = std::shared_ptr<const ChangeHistory>;
  static constexpr std::size_t kMaxEntries = 512;  // entries: 8 KB, packed 6.7 KB as a rule
  struct Entry {
    Revision revision;
    std::uint64_t digest = 0;  // of the order that made this version
  };
  // What became of an order with that base.
  enum class Outcome : std::uint8_t {
    undecided,   // its base is the version in place
    committed,   // it made the version after its base
    superseded,  // its base never was a version, or another order built on it; revisions rise, so
                 // its base is never in place again
    truncated,   // its base is below the floor
    baseNotYetCommitted,  // its base may still come
  };

  explicit ChangeHistory(Revision floor);
  // Throws where the letters are no entries, or too many.
  static Ptr unpack(Revision floor, std::uint64_t seed, std::string_view letters);

  [[nodiscard]] Ptr extendedBy(Entry entry, std::size_t most = kMaxEntries) const;
  // This one and what `since` gave, cut off below `floor`; null where it doesn't come to the
  // history of that id.
  [[nodiscard]] Ptr appendPacked(std::string_view letters, Revision floor, std::uint64_t id) const;
  [[nodiscard]] Outcome outcomeOf(Revision base, std::uint64_t digest) const;
  [[nodiscard]] bool contains(const Entry& entry) const;

  // Of the whole chain, what was cut off below the floor included.
  [[nodiscard]] std::uint64_t id() const { return id_; }
  [[nodiscard]] Revision floor() const { return floor_; }
  [[nodiscard]] std::uint64_t seed() const { return seed_; }
  [[nodiscard]] Revision lastRevision() const {
    return entries_.empty() ? floor_ : entries_.back().revision;
  }
  [[nodiscard]] const std::vector<Entry>& entries() const { return entries_; }
  // Made once, when first asked for.
  [[nodiscard]] const std::string& packed() const;
  // The entries above the part whose id that is; none where it isn't a part of this one.
  [[nodiscard]] std::optional<std::string> packedSince(std::uint64_t id) const;

 private:
  ChangeHistory(Revision floor, std::uint64_t seed, std::vector<Entry> entries);
  void truncate(std::size_t count);

  Revision floor_;
  std::uint64_t seed_;  // the id of what lies below the floor
  std::uint64_t id_;
  std::vector<Entry> entries_;
  mutable std::string packed_;
};

}  // namespace merlingauge::config
