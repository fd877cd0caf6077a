// signboard: the text of one configuration, never changed once made, with the two short forms in
// which it travels: packed, or as what differs from another text that the receiver has.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include "version/history.hpp"

namespace merlin::cairn {

class Signboard {
 public:
  using Ptr = std::shared_ptr<const Signboard>;
  static Ptr of(std::string text);
  // Both are null where the bytes don't give the text with that id.
  static Ptr unpack(const std::string& packed, std::uint64_t id);
  static Ptr apply(const Signboard& base, std::string_view delta, std::uint64_t id);

  [[nodiscard]] const std::string& text() const { return text_; }
  [[nodiscard]] std::uint64_t id() const { return id_; }
  // Made once, when first asked for.
  [[nodiscard]] const std::string& packed() const;
  [[nodiscard]] const std::string& deltaFrom(const Signboard& base) const;

 private:
  explicit Signboard(std::string text);
  std::string text_;
  std::uint64_t id_;
  mutable std::string packed_;
  mutable std::string delta_;
  mutable std::uint64_t deltaOf_ = 0;
};

// The last few texts and histories that this node has held, to read and write what differs from
// them. What is put again stays longest.
class Shelf {
 public:
  void put(const Signboard::Ptr& board);
  void put(const History::Ptr& history);
  [[nodiscard]] Signboard::Ptr find(std::uint64_t id) const;
  [[nodiscard]] History::Ptr findHistory(std::uint64_t id) const;
  [[nodiscard]] History::Ptr newestHistory() const;  // null if there is none

 private:
  std::deque<Signboard::Ptr> boards_;
  std::size_t bytes_ = 0;  // of their texts
  std::deque<History::Ptr> histories_;
};

}  // namespace merlin::cairn
