// damaged_messages: what broken or hostile senders make of a sound message, from seeded luck.
#pragma once

#include <cstddef>
#include <random>
#include <string>

namespace merlingauge::test {

using Random = std::mt19937_64;

/// A number below `limit`; 0 where that is 0.
inline std::size_t below(Random& random, std::size_t limit) {
  return limit == 0 ? 0 : random() % limit;
}

/// One to three changes to the bytes of a text.
std::string damagedText(std::string text, Random& random);
/// Changes to the values of a JSON document, and sometimes to its bytes.
std::string damagedJson(const std::string& text, Random& random);

}  // namespace merlingauge::test
