// dot_index: what this node has seen, and which items a peer that has seen less still needs.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <variant>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "membership/dot.hpp"
#include "membership/version_vector.hpp"

namespace merlingauge::membership {

/// So long are sources and nodes remembered after their end, lest a late update revive them: far
/// longer than a message can be under way (a pull lasts some seconds at most) and than a cut-off
/// node takes to learn that it was given up.
inline constexpr Duration kForgetDelay = std::chrono::seconds(180);

/// Names an item of the registry.
using ItemKey = std::variant<NodeId, InstanceId>;

/// The node's own version vector and, for each source, the items whose latest update came from it.
/// Finding what a peer lacks takes time by what it lacks, not by the size of the registry. Keeps no
/// items; event-loop thread only.
class DotIndex {
 public:
  explicit DotIndex(SourceId ownSource) : ownSource_(std::move(ownSource)) {}

  /// The name of a new update by this node, covered by the vector from now on.
  Dot nextDot(TimePoint now);
  /// Raises the entry of `source` to `counter`; never lowers it (join of version vectors).
  void advance(const SourceId& source, std::uint64_t counter, TimePoint now);
  /// `item` holds the update `dot`. The dot of the update that it held before is to be removed
  /// first: an item stands at one dot at a time.
  void insert(const Dot& dot, ItemKey item);
  void remove(const Dot& dot);
  /// Has anything of this source been seen here, and not been forgotten since?
  [[nodiscard]] bool knowsSource(const SourceId& source) const;
  /// Erases sources that no item rests on any more and that have made nothing new for a while.
  void forgetIdleSources(TimePoint now);

  [[nodiscard]] bool hasNewerThan(const VersionVector& seen) const;
  /// Calls `callback(const ItemKey&)` for each item whose update `seen` does not cover.
  template <class Callback>
  void forEachNewerThan(const VersionVector& seen, Callback callback) const {
    seen.forEachNewer(
        versionVector_, [&](const SourceId& source, std::uint64_t, std::uint64_t seenCounter) {
          const auto stream = streams_.find(source);
          if (stream == streams_.end()) return;
          const auto& items = stream->second.items;
          for (auto item = items.upper_bound(seenCounter); item != items.end(); ++item) {
            callback(item->second);
          }
        });
  }
  /// Calls `callback(const Dot&, const ItemKey&)` in the order of counters for each item whose
  /// update this node's vector covers, but neither `seen` nor `sent`, until it returns false. False
  /// where it did.
  template <class Callback>
  bool forEachUnsent(const VersionVector& seen, const VersionVectorEntries& sent,
                     Callback callback) const {
    bool goOn = true;
    seen.forEachNewer(versionVector_, [&](const SourceId& source, std::uint64_t counter,
                                          std::uint64_t seenCounter) {
      const auto stream = streams_.find(source);
      if (!goOn || stream == streams_.end()) return;
      const auto sentEntry = sent.find(source);
      const auto sentCounter = sentEntry == sent.end() ? 0 : sentEntry->second;
      const auto& items = stream->second.items;
      auto item = items.upper_bound(std::max(seenCounter, sentCounter));
      for (; goOn && item != items.end() && item->first <= counter; ++item) {
        goOn = callback(Dot{source, item->first}, item->second);
      }
    });
    return goOn;
  }
  /// Calls `callback(const ItemKey&)` for each item whose update is beyond this node's vector,
  /// though the vector has more of its source than `seen`.
  template <class Callback>
  void forEachBeyondVector(const VersionVector& seen, Callback callback) const {
    seen.forEachNewer(versionVector_,
                      [&](const SourceId& source, std::uint64_t counter, std::uint64_t) {
                        const auto stream = streams_.find(source);
                        if (stream == streams_.end()) return;
                        const auto& items = stream->second.items;
                        for (auto item = items.upper_bound(counter); item != items.end(); ++item) {
                          callback(item->second);
                        }
                      });
  }
  /// The entries of this node's vector that are above those of `seen`.
  [[nodiscard]] VersionVectorEntries entriesAbove(const VersionVector& seen) const;

  [[nodiscard]] const VersionVector& versionVector() const { return versionVector_; }
  [[nodiscard]] const std::shared_ptr<SourceTable>& sourceTable() const { return sourceTable_; }

 private:
  struct Stream {
    std::map<std::uint64_t, ItemKey> items;  // by the counter of the update they hold
    TimePoint advancedAt;                    // when the source's entry last rose
  };

  SourceId ownSource_;
  std::uint64_t ownCounter_ = 0;  // of this node's latest update; only rises
  std::map<SourceId, Stream> streams_;
  std::shared_ptr<SourceTable> sourceTable_ = std::make_shared<SourceTable>();
  VersionVector versionVector_{sourceTable_};
};

}  // namespace merlingauge::membership
