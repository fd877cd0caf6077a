// config_text_cache: the last few configuration texts and change histories that this node held.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "config/change_history.hpp"
#include "config/config_text.hpp"

namespace merlingauge::config {

/// What deltas from peers are applied to, and deltas for peers are made against. Bounded; what was
/// added last, or again, stays longest. Event-loop thread only.
class ConfigTextCache {
 public:
  /// A null pointer adds nothing.
  void add(const ConfigText::Ptr& text);
  void add(const ChangeHistory::Ptr& history);

  /// Null where there is none with this id.
  [[nodiscard]] ConfigText::Ptr find(std::uint64_t id) const;
  [[nodiscard]] ChangeHistory::Ptr findHistory(std::uint64_t id) const;
  /// The one with the highest last revision; null if there is none.
  [[nodiscard]] ChangeHistory::Ptr newestHistory() const;

 private:
  std::deque<ConfigText::Ptr> texts_;  // the newest last
  std::size_t textBytes_ = 0;          // of all texts_
  std::deque<ChangeHistory::Ptr> histories_;
};

}  // namespace merlingauge::config
