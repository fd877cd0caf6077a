#include "config/config_text_cache.hpp"

#include <algorithm>

namespace merlingauge::config {

namespace {

// Many small texts, for a burst of changes; of large ones as many as fit the bytes, and two in any
// case: the one in force and the one that is proposed.
constexpr std::size_t kMaxTexts = 64;
constexpr std::size_t kMinTexts = 2;
constexpr std::size_t kMaxTextBytesKept = 5U << 19U;  // 2.5 MB, of a node's memory from 16 MB up
// A history holds hundreds of changes, so a peer is seldom further behind than these.
constexpr std::size_t kMaxHistories = 8;

template <class Ptr>
Ptr findById(const std::deque<Ptr>& items, std::uint64_t id) {
  const auto found =
      std::find_if(items.begin(), items.end(), [id](const auto& item) { return item->id() == id; });
  return found == items.end() ? nullptr : *found;
}

// Makes the item the newest. Returns false where it was there already.
template <class Ptr>
bool addAsNewest(std::deque<Ptr>& items, const Ptr& item) {
  if (!item) return false;
  const auto present = findById(items, item->id());
  if (present) std::erase(items, present);
  items.push_back(present ? present : item);
  return !present;
}

}  // namespace

void ConfigTextCache::add(const ConfigText::Ptr& text) {
  if (!addAsNewest(texts_, text)) return;
  textBytes_ += text->text().size();
  while (texts_.size() > kMaxTexts ||
         (textBytes_ > kMaxTextBytesKept && texts_.size() > kMinTexts)) {
    textBytes_ -= texts_.front()->text().size();
    texts_.pop_front();
  }
}

void ConfigTextCache::add(const ChangeHistory::Ptr& history) {
  const bool added = addAsNewest(histories_, history);
  if (added && histories_.size() > kMaxHistories) histories_.pop_front();
}

ConfigText::Ptr ConfigTextCache::find(std::uint64_t id) const { return findById(texts_, id); }

ChangeHistory::Ptr ConfigTextCache::findHistory(std::uint64_t id) const {
  return findById(histories_, id);
}

ChangeHistory::Ptr ConfigTextCache::newestHistory() const {
  const auto newest = std::max_element(histories_.begin(), histories_.end(),
                                       [](const auto& left, const auto& right) {
                                         return left->lastRevision() < right->lastRevision();
                                       });
  return newest == histories_.end() ? nullptr : *newest;
}

}  // namespace merlingauge::config
