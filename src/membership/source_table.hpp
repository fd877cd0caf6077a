// source_table: numbers the sources that the version vectors of one node name.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "membership/dot.hpp"

namespace merlingauge::membership {

/// Gives each source a small number, so that a version vector is a plain array of counters. The
/// number is free again once no vector holds an entry for the source: sources that have ended leave
/// no hole. Shared by all vectors of one node; event-loop thread only.
class SourceTable {
 public:
  [[nodiscard]] std::optional<std::uint32_t> find(const SourceId& source) const;
  /// Precondition: `number` was acquired and is not released.
  [[nodiscard]] const SourceId& sourceAt(std::size_t number) const { return rows_[number].source; }
  /// The number of `source`; one more vector holds an entry for it from now on.
  std::uint32_t acquire(const SourceId& source);
  /// Counterpart of acquire().
  void release(std::size_t number);

 private:
  struct Row {
    SourceId source;
    std::size_t holders = 0;  // vectors with an entry for the source; 0: the row is in free_
  };
  std::unordered_map<SourceId, std::uint32_t> numbers_;
  std::vector<Row> rows_;  // by number
  std::vector<std::uint32_t> free_;
};

}  // namespace merlingauge::membership
