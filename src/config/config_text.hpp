// config_text: the text of one configuration, as its operator wrote it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace merlingauge::config {

/// A text with its id and the two short forms in which it travels between nodes: packed, or as a
/// delta to a text that the receiver has. Immutable but for the short forms, which are made when
/// first asked for: those two functions belong to the event-loop thread, the others to any.
class ConfigText {
 public:
  using Ptr = std::shared_ptr<const ConfigText>;

  static Ptr create(std::string text);
  /// The text that `packed` is the packed form of; null where that isn't the text with this id.
  static Ptr fromPacked(const std::string& packed, std::uint64_t id);
  /// The text that `delta` makes of `base`; null where that isn't the text with this id.
  static Ptr fromDelta(const ConfigText& base, std::string_view delta, std::uint64_t id);

  [[nodiscard]] const std::string& text() const { return text_; }
  /// A hash of the text, the same on every node; odd, so never 0, which stands for "no text".
  [[nodiscard]] std::uint64_t id() const { return id_; }
  /// Compressed, in base64.
  [[nodiscard]] const std::string& packed() const;
  /// What makes this text of `base`, see text_delta.hpp. Kept for the last base asked for.
  [[nodiscard]] const std::string& deltaFrom(const ConfigText& base) const;

 private:
  explicit ConfigText(std::string text);

  std::string text_;
  std::uint64_t id_;
  mutable std::string packed_;  // empty: not made yet
  mutable std::string delta_;
  mutable std::uint64_t deltaBaseId_ = 0;  // 0: no delta made yet
};

}  // namespace merlingauge::config
