#include "config/change_history_codec.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

#include "base/decode_error.hpp"

namespace merlingauge::config {

namespace {

using Entry = ChangeHistory::Entry;
constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned kCharacterBits = 6;
constexpr std::uint64_t kCharacterMask = (1U << kCharacterBits) - 1;
constexpr unsigned kDigestCharacters = 11;
constexpr unsigned kStepBits = 5;
constexpr std::uint64_t kMoreFollows = 1U << kStepBits;
constexpr std::uint64_t kStepMask = kMoreFollows - 1;
// The last shift at which a character of a step still has bits below the 64th.
constexpr unsigned kMaxStepShift = 60;

[[noreturn]] void fail(const char* reason) { throw DecodeError("history", reason); }

std::uint64_t takeCharacter(std::string_view& packed) {
  const auto value = packed.empty() ? std::string_view::npos : kAlphabet.find(packed.front());
  if (value == std::string_view::npos) fail("a history that can't be read");
  packed.remove_prefix(1);
  return value;
}

std::uint64_t takeStep(std::string_view& packed) {
  std::uint64_t step = 0;
  for (unsigned shift = 0;; shift += kStepBits) {
    const auto bits = takeCharacter(packed);
    if (shift > kMaxStepShift) fail("a history that can't be read");
    step |= (bits & kStepMask) << shift;
    if ((bits & kMoreFollows) == 0) return step;
  }
}

std::uint64_t takeDigest(std::string_view& packed) {
  std::uint64_t digest = 0;
  for (unsigned index = 0; index < kDigestCharacters; ++index) {
    digest |= takeCharacter(packed) << (kCharacterBits * index);
  }
  return digest;
}

Entry takeEntry(Revision before, std::string_view& packed) {
  const auto step = takeStep(packed);
  // How far a revision can still rise.
  const auto headroom = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max() -
                                                   std::max<std::int64_t>(before.value, 0));
  if (step == 0 || step > headroom) fail("a history that doesn't rise");
  const Revision revision{before.value + static_cast<std::int64_t>(step)};
  return {revision, takeDigest(packed)};
}

}  // namespace

void packEntry(Revision before, const Entry& entry, std::string& packed) {
  auto step = static_cast<std::uint64_t>(entry.revision.value - before.value);
  for (; step > kStepMask; step >>= kStepBits) {
    packed += kAlphabet[(step & kStepMask) | kMoreFollows];
  }
  packed += kAlphabet[step];
  for (unsigned index = 0; index < kDigestCharacters; ++index) {
    packed += kAlphabet[(entry.digest >> (kCharacterBits * index)) & kCharacterMask];
  }
}

std::vector<Entry> unpackEntries(Revision before, std::string_view packed) {
  std::vector<Entry> entries;
  while (!packed.empty()) {
    entries.push_back(takeEntry(before, packed));
    if (entries.size() > ChangeHistory::kMaxEntries) fail("a history that is too long");
    before = entries.back().revision;
  }
  return entries;
}

}  // namespace merlingauge::config
