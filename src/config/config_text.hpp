// signboard: the text of one configuration, never changed once made, with the two short forms in
// which it travels: packed, or as what differs from another text that the receiver has.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include "config/change_history.hpp"

namespace merlingauge::config {

class ConfigText {
 public:
  using Ptr = std::shared_ptr<const ConfigText>;
  static Ptr create(std::string text);
  // Both are null where the bytes don't give the text with that id.
  static Ptr fromPacked(const std::string& packed, std::uint64_t id);
  static Ptr fromDelta(const ConfigText& base, std::string_view delta, std::uint64_t id);

  [[nodiscard]] const std::string& text() const { return text_; }
  [[nodiscard]] std::uint64_t id() const { return id_; }
  // Made once, when first asked for.
  [[nodiscard]] const std::string& packed() const;
  [[nodiscard]] const std::string& deltaFrom(const ConfigText& base) const;

 private:
  explicit ConfigText(std::string text);
  std::string text_;
  std::uint64_t id_;
  mutable std::string packed_;
  mutable std::string delta_;
  mutable std::uint64_t deltaBase_ = 0;
};

// The last few texts and histories that this node has held, to read and write what differs from
// them. What is put again stays longest.
class ConfigTextCache {
 public:
  void add(const ConfigText::Ptr& configText);
  void add(const ChangeHistory::Ptr& history);
  [[nodiscard]] ConfigText::Ptr find(std::uint64_t id) const;
  [[nodiscard]] ChangeHistory::Ptr findHistory(std::uint64_t id) const;
  [[nodiscard]] ChangeHistory::Ptr newestHistory() const;  // null if there is none

 private:
  std::deque<ConfigText::Ptr> texts_;
  std::size_t bytes_ = 0;  // of their texts
  std::deque<ChangeHistory::Ptr> histories_;
};

}  // namespace merlingauge::config
