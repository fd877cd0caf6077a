#include "config/config_text.hpp"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/hash.hpp"

namespace merlingauge::config {

namespace {
// A shelf keeps the last few: many small ones, for a storm of changes; of large ones as many as fit
// here, and two in any case.
constexpr std::size_t kMostKept = 64;
constexpr std::size_t kHistoriesKept = 8;
constexpr std::size_t kFewestKept = 2;
constexpr std::size_t kBytesKept = 5U << 19U;
constexpr int kLevel = 1;  // the least processor time
constexpr std::size_t kMostText = 64U << 20;

// Pieces that end where an item of a JSON list ends.
std::vector<std::string_view> pieces(std::string_view text) {
  std::vector<std::string_view> out;
  std::size_t from = 0;
  while (from < text.size()) {
    const auto at = text.find("},", from);
    const auto end = at == std::string_view::npos ? text.size() : at + 2;
    out.push_back(text.substr(from, end - from));
    from = end;
  }
  return out;
}

bool number(std::string_view& in, char end, std::size_t& out) {
  const auto read = std::from_chars(in.data(), in.data() + in.size(), out);
  if (read.ec != std::errc() || read.ptr == in.data() + in.size() || *read.ptr != end) return false;
  in.remove_prefix(static_cast<std::size_t>(read.ptr - in.data()) + 1);
  return true;
}
}  // namespace

ConfigText::ConfigText(std::string text) : text_(std::move(text)), id_(stableHash(text_, 1) | 1U) {}

ConfigText::Ptr ConfigText::create(std::string text) {
  return Ptr(new ConfigText(std::move(text)));
}

const std::string& ConfigText::packed() const {
  if (packed_.empty()) {
    std::ostringstream out;
    Poco::Base64Encoder letters(out);
    letters.rdbuf()->setLineLength(0);
    Poco::DeflatingOutputStream deflater(letters, Poco::DeflatingStreamBuf::STREAM_ZLIB, kLevel);
    deflater << text_;
    deflater.close();
    letters.close();
    packed_ = out.str();
  }
  return packed_;
}

ConfigText::Ptr ConfigText::fromPacked(const std::string& packed, std::uint64_t id) {
  try {
    std::istringstream in(packed);
    Poco::Base64Decoder letters(in);
    Poco::InflatingInputStream inflater(letters, Poco::InflatingStreamBuf::STREAM_ZLIB);
    // Some kilobytes may stand for gigabytes.
    std::string text;
    std::array<char, 16384> part{};
    while (inflater.read(part.data(), part.size()) || inflater.gcount() > 0) {
      text.append(part.data(), static_cast<std::size_t>(inflater.gcount()));
      if (text.size() > kMostText) return nullptr;
    }
    auto configText = create(std::move(text));
    if (configText->id() != id) return nullptr;
    configText->packed_ = packed;
    return configText;
  } catch (const Poco::Exception&) {
    return nullptr;
  }
}

// `=offset,length;` takes bytes of the base, `+length:` brings its own.
const std::string& ConfigText::deltaFrom(const ConfigText& base) const {
  if (deltaBase_ == base.id()) return delta_;
  std::unordered_map<std::string_view, std::size_t> where;
  for (const auto& piece : pieces(base.text_)) {
    where.emplace(piece, static_cast<std::size_t>(piece.data() - base.text_.data()));
  }
  std::string out;
  std::string own;
  std::size_t from = 0;
  std::size_t length = 0;
  const auto flush = [&] {
    if (length > 0) out += "=" + std::to_string(from) + "," + std::to_string(length) + ";";
    if (!own.empty()) out += "+" + std::to_string(own.size()) + ":" + own;
    length = 0;
    own.clear();
  };
  for (const auto& piece : pieces(text_)) {
    const auto it = where.find(piece);
    if (it == where.end()) {
      if (length > 0) flush();
      own += piece;
    } else if (length > 0 && from + length == it->second) {
      length += piece.size();
    } else {
      flush();
      from = it->second;
      length = piece.size();
    }
  }
  flush();
  delta_ = std::move(out);
  deltaBase_ = base.id();
  return delta_;
}

ConfigText::Ptr ConfigText::fromDelta(const ConfigText& base, std::string_view delta,
                                      std::uint64_t id) {
  std::string text;
  while (!delta.empty()) {
    const char what = delta.front();
    delta.remove_prefix(1);
    std::size_t from = 0;
    std::size_t length = 0;
    if (what == '=') {
      if (!number(delta, ',', from) || !number(delta, ';', length)) return nullptr;
      if (from > base.text_.size() || length > base.text_.size() - from) return nullptr;
      text.append(base.text_, from, length);
    } else if (what == '+') {
      if (!number(delta, ':', length) || length > delta.size()) return nullptr;
      text.append(delta.substr(0, length));
      delta.remove_prefix(length);
    } else {
      return nullptr;
    }
    if (text.size() > kMostText) return nullptr;
  }
  auto configText = create(std::move(text));
  return configText->id() == id ? configText : nullptr;
}

namespace {
template <class Ptr>
Ptr findIn(const std::deque<Ptr>& items, std::uint64_t id) {
  const auto it =
      std::find_if(items.begin(), items.end(), [id](const auto& item) { return item->id() == id; });
  return it == items.end() ? nullptr : *it;
}

// The newest stands last. False where it is there already.
template <class Ptr>
bool putIn(std::deque<Ptr>& items, const Ptr& item) {
  if (!item) return false;
  const auto there = findIn(items, item->id());
  if (there) std::erase(items, there);
  items.push_back(there ? there : item);
  return !there;
}
}  // namespace

void ConfigTextCache::add(const ConfigText::Ptr& configText) {
  if (!putIn(texts_, configText)) return;
  bytes_ += configText->text().size();
  while (texts_.size() > kMostKept || (bytes_ > kBytesKept && texts_.size() > kFewestKept)) {
    bytes_ -= texts_.front()->text().size();
    texts_.pop_front();
  }
}

void ConfigTextCache::add(const ChangeHistory::Ptr& history) {
  if (putIn(histories_, history) && histories_.size() > kHistoriesKept) histories_.pop_front();
}

ConfigText::Ptr ConfigTextCache::find(std::uint64_t id) const { return findIn(texts_, id); }
ChangeHistory::Ptr ConfigTextCache::findHistory(std::uint64_t id) const {
  return findIn(histories_, id);
}

ChangeHistory::Ptr ConfigTextCache::newestHistory() const {
  const auto newest = std::max_element(
      histories_.begin(), histories_.end(),
      [](const auto& a, const auto& b) { return a->lastRevision() < b->lastRevision(); });
  return newest == histories_.end() ? nullptr : *newest;
}

}  // namespace merlingauge::config
