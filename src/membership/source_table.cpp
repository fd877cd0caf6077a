#include "membership/source_table.hpp"

namespace merlingauge::membership {

std::optional<std::uint32_t> SourceTable::find(const SourceId& source) const {
  const auto found = numbers_.find(source);
  return found == numbers_.end() ? std::nullopt : std::make_optional(found->second);
}

std::uint32_t SourceTable::acquire(const SourceId& source) {
  const auto [entry, isNew] = numbers_.try_emplace(source, 0);
  if (isNew && free_.empty()) {
    entry->second = static_cast<std::uint32_t>(rows_.size());
    rows_.push_back({source, 0});
  } else if (isNew) {
    entry->second = free_.back();
    free_.pop_back();
    rows_[entry->second].source = source;
  }
  ++rows_[entry->second].holders;
  return entry->second;
}

void SourceTable::release(std::size_t number) {
  auto& row = rows_[number];
  if (--row.holders > 0) return;
  numbers_.erase(row.source);
  row.source = SourceId();
  free_.push_back(static_cast<std::uint32_t>(number));
}

}  // namespace merlingauge::membership
