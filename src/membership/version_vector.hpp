// version_vector: which updates a node has seen, as one counter for each source.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "membership/dot.hpp"
#include "membership/source_table.hpp"

namespace merlingauge::membership {

/// Entries of a version vector on their way to or from a peer.
using VersionVectorEntries = std::map<SourceId, std::uint64_t>;

/// A version vector (dotted version vectors): the entry of a source says that every update of that
/// source up to this counter has been seen, or was replaced by one that has. A counter of 0 is no
/// entry. Eight bytes a source, since a control node keeps one for each node that pulls from it and
/// compares it with its own at every pull. Event-loop thread only.
class VersionVector {
 public:
  /// All vectors that are compared with each other must share one table.
  explicit VersionVector(std::shared_ptr<SourceTable> sources) : sources_(std::move(sources)) {}
  ~VersionVector() { clear(); }
  VersionVector(const VersionVector&) = delete;
  VersionVector& operator=(const VersionVector&) = delete;

  /// Sets the entry, also to a lower counter; 0 erases it.
  void set(const SourceId& source, std::uint64_t counter);
  void erase(const SourceId& source) { set(source, 0); }
  void clear();

  [[nodiscard]] std::size_t size() const { return size_; }
  /// Independent of the order of the entries; vectors of equal hash are taken for equal.
  [[nodiscard]] std::uint64_t hash() const { return hash_; }
  /// 0 where there is no entry.
  [[nodiscard]] std::uint64_t counterOf(const SourceId& source) const;
  [[nodiscard]] bool covers(const Dot& dot) const { return counterOf(dot.source) >= dot.counter; }

  /// Calls `callback(source, counter of ahead, counter of this)` for each entry of `ahead` that is
  /// above this vector's.
  template <class Callback>
  void forEachNewer(const VersionVector& ahead, Callback callback) const {
    if (hash_ == ahead.hash_) return;
    for (std::size_t number = 0; number < ahead.counters_.size(); ++number) {
      const std::uint64_t own = number < counters_.size() ? counters_[number] : 0;
      const std::uint64_t other = ahead.counters_[number];
      if (own < other) callback(sources_->sourceAt(number), other, own);
    }
  }
  /// The sources with an entry here and none in `other`.
  [[nodiscard]] std::vector<SourceId> sourcesMissingIn(const VersionVector& other) const;

 private:
  std::shared_ptr<SourceTable> sources_;
  std::vector<std::uint64_t> counters_;  // by the source's number in sources_; 0: no entry
  std::size_t size_ = 0;                 // entries above 0; each holds its number in sources_
  std::uint64_t hash_ = 0;               // XOR over the entries, kept up with each set()
};

}  // namespace merlingauge::membership
