// change_history: which change made each revision of the configuration; the deduplication table of
// operators' calls.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.hpp"

namespace merlingauge::config {

/// A chain of changes without gaps. A call that is sent again is recognized by it, and a call whose
/// base revision another change was built on is rejected by it.
///
/// Invariants: the first entry builds on the floor, every other on the entry before it, and the
/// last one is the revision in force; revisions rise. Nothing is known of what came below the
/// floor. Immutable once made, but for the packed form, which is made when first asked for: that
/// function belongs to the event-loop thread.
///
/// Size: 16 bytes an entry in memory; 12 to 24 packed, 13 as a rule.
class ChangeHistory {
 public:
  using Ptr = std::shared_ptr<const ChangeHistory>;

  struct Entry {
    Revision revision;
    std::uint64_t digest = 0;  ///< of the change that made this revision
  };

  /// 8 KB, packed 6.7 KB as a rule: it is a part of every saved and every whole sent value.
  static constexpr std::size_t kMaxEntries = 512;

  /// What became of a change.
  enum class Outcome : std::uint8_t {
    undecided,            ///< its base is the revision in force
    committed,            ///< it made the revision after its base
    superseded,           ///< never was and never will be committed: its base was no revision, or
                          ///< another change was built on it, and revisions rise
    truncated,            ///< unknown: its base is below the floor
    baseNotYetCommitted,  ///< its base is above the revision in force, and may still come
  };

  /// A history without entries.
  explicit ChangeHistory(Revision floor);
  /// The history with this floor and these packed entries. Throws DecodeError where they are
  /// malformed, do not rise, or are more than kMaxEntries.
  static Ptr unpack(Revision floor, std::uint64_t seed, std::string_view packed);

  /// This one with one more entry, truncated to `maxEntries`. `entry.revision` is above the last.
  [[nodiscard]] Ptr extendedBy(Entry entry, std::size_t maxEntries = kMaxEntries) const;
  /// This one with the entries that packedSince() gave, truncated at `floor`; null where the result
  /// isn't the history with this id. Throws DecodeError as unpack() does.
  [[nodiscard]] Ptr appendPacked(std::string_view packed, Revision floor, std::uint64_t id) const;

  /// What became of the change with this base and digest.
  [[nodiscard]] Outcome outcomeOf(Revision base, std::uint64_t digest) const;
  [[nodiscard]] bool contains(const Entry& entry) const;

  /// A hash of the whole chain, what was truncated below the floor included.
  [[nodiscard]] std::uint64_t id() const { return id_; }
  [[nodiscard]] Revision floor() const { return floor_; }
  /// The id of the part below the floor.
  [[nodiscard]] std::uint64_t seed() const { return seed_; }
  [[nodiscard]] Revision lastRevision() const {
    return entries_.empty() ? floor_ : entries_.back().revision;
  }
  [[nodiscard]] const std::vector<Entry>& entries() const { return entries_; }
  /// All entries, see change_history_codec.hpp.
  [[nodiscard]] const std::string& packed() const;
  /// The entries after the part of this history with that id; none where no part of it has that id.
  [[nodiscard]] std::optional<std::string> packedSince(std::uint64_t id) const;

 private:
  ChangeHistory(Revision floor, std::uint64_t seed, std::vector<Entry> entries);
  // Moves the floor above the first `count` entries. The id stays.
  void truncate(std::size_t count);

  Revision floor_;
  std::uint64_t seed_;
  std::uint64_t id_;
  std::vector<Entry> entries_;
  mutable std::string packed_;  // empty: not made yet
};

}  // namespace merlingauge::config
