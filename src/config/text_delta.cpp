#include "config/text_delta.hpp"

#include <charconv>
#include <cstddef>
#include <unordered_map>
#include <vector>

#include "config/text_limits.hpp"

namespace merlingauge::config {

namespace {

// The text in pieces that end where an item of a JSON list ends.
std::vector<std::string_view> splitItems(std::string_view text) {
  constexpr std::string_view kItemEnd = "},";
  std::vector<std::string_view> items;
  std::size_t from = 0;
  while (from < text.size()) {
    const auto found = text.find(kItemEnd, from);
    const auto end = found == std::string_view::npos ? text.size() : found + kItemEnd.size();
    items.push_back(text.substr(from, end - from));
    from = end;
  }
  return items;
}

// Collects the operations of a delta and merges neighbours.
class DeltaWriter {
 public:
  void copy(std::size_t offset, std::size_t length) {
    if (copyLength_ > 0 && copyOffset_ + copyLength_ == offset) {
      copyLength_ += length;
      return;
    }
    flush();
    copyOffset_ = offset;
    copyLength_ = length;
  }
  void insert(std::string_view bytes) {
    if (copyLength_ > 0) flush();
    inserted_ += bytes;
  }
  std::string finish() {
    flush();
    return std::move(delta_);
  }

 private:
  // At most one of the two is pending.
  void flush() {
    if (copyLength_ > 0) {
      delta_ += "=" + std::to_string(copyOffset_) + "," + std::to_string(copyLength_) + ";";
    }
    if (!inserted_.empty()) delta_ += "+" + std::to_string(inserted_.size()) + ":" + inserted_;
    copyLength_ = 0;
    inserted_.clear();
  }

  std::string delta_;
  std::string inserted_;
  std::size_t copyOffset_ = 0;
  std::size_t copyLength_ = 0;
};

// Takes a decimal number and the character after it off the front of `input`.
std::optional<std::size_t> takeNumber(std::string_view& input, char terminator) {
  std::size_t number = 0;
  const char* const end = input.data() + input.size();
  const auto read = std::from_chars(input.data(), end, number);
  if (read.ec != std::errc() || read.ptr == end || *read.ptr != terminator) return std::nullopt;
  input.remove_prefix(static_cast<std::size_t>(read.ptr - input.data()) + 1);
  return number;
}

// The bytes that the next operation of the delta stands for; takes it off the front.
std::optional<std::string_view> takeOperation(std::string_view base, std::string_view& delta) {
  const char operation = delta.front();
  delta.remove_prefix(1);
  if (operation == '=') {
    const auto offset = takeNumber(delta, ',');
    const auto length = offset ? takeNumber(delta, ';') : std::nullopt;
    if (!length || *offset > base.size() || *length > base.size() - *offset) return std::nullopt;
    return base.substr(*offset, *length);
  }
  if (operation != '+') return std::nullopt;
  const auto length = takeNumber(delta, ':');
  if (!length || *length > delta.size()) return std::nullopt;
  const auto bytes = delta.substr(0, *length);
  delta.remove_prefix(*length);
  return bytes;
}

}  // namespace

std::string makeDelta(std::string_view base, std::string_view text) {
  std::unordered_map<std::string_view, std::size_t> offsetInBase;
  for (const auto& item : splitItems(base)) {
    offsetInBase.emplace(item, static_cast<std::size_t>(item.data() - base.data()));
  }
  DeltaWriter writer;
  for (const auto& item : splitItems(text)) {
    const auto found = offsetInBase.find(item);
    if (found == offsetInBase.end()) {
      writer.insert(item);
    } else {
      writer.copy(found->second, item.size());
    }
  }
  return writer.finish();
}

std::optional<std::string> applyDelta(std::string_view base, std::string_view delta) {
  std::string text;
  while (!delta.empty()) {
    const auto bytes = takeOperation(base, delta);
    if (!bytes) return std::nullopt;
    text += *bytes;
    if (text.size() > kMaxTextBytes) return std::nullopt;
  }
  return text;
}

}  // namespace merlingauge::config
