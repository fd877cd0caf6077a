#include "membership/version_vector.hpp"

#include "base/hash.hpp"

namespace merlingauge::membership {

namespace {

// Peers compare these hashes with each other ("d" of a pull): the formula must never change.
std::uint64_t entryHash(const SourceId& source, std::uint64_t counter) {
  return counter == 0 ? 0 : stableHash(source.str(), counter);
}

}  // namespace

void VersionVector::set(const SourceId& source, std::uint64_t counter) {
  const std::uint64_t previous = counterOf(source);
  if (previous == counter) return;
  hash_ ^= entryHash(source, previous) ^ entryHash(source, counter);
  if (previous == 0) {
    const auto number = sources_->acquire(source);
    if (counters_.size() <= number) counters_.resize(number + 1, 0);
    counters_[number] = counter;
    ++size_;
    return;
  }
  const auto number = *sources_->find(source);
  counters_[number] = counter;
  if (counter > 0) return;
  --size_;
  sources_->release(number);
}

void VersionVector::clear() {
  for (std::size_t number = 0; number < counters_.size(); ++number) {
    if (counters_[number] > 0) sources_->release(number);
  }
  counters_.clear();
  size_ = 0;
  hash_ = 0;
}

std::uint64_t VersionVector::counterOf(const SourceId& source) const {
  const auto number = sources_->find(source);
  return number && *number < counters_.size() ? counters_[*number] : 0;
}

std::vector<SourceId> VersionVector::sourcesMissingIn(const VersionVector& other) const {
  std::vector<SourceId> missing;
  for (std::size_t number = 0; number < counters_.size(); ++number) {
    const bool inOther = number < other.counters_.size() && other.counters_[number] > 0;
    if (counters_[number] > 0 && !inOther) missing.push_back(sources_->sourceAt(number));
  }
  return missing;
}

}  // namespace merlingauge::membership
