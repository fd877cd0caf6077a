// call: one call of the register as its client sees it; the history that is checked.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "consensus/messages.hpp"

namespace merlingauge::test::register_world {

struct Call {
  enum class Outcome : std::uint8_t {
    open,
    acknowledged,
    rejected,
    unclear,  ///< the client cannot know whether it took effect
  };
  double beganAtMs = 0;
  double endedAtMs = -1;  ///< negative: not yet
  bool isRead = false;    ///< a read or a change of voters: no configuration change
  std::int64_t base = 0;
  std::int64_t revision = 0;  ///< written or read
  std::uint64_t digest = 0;
  Outcome outcome = Outcome::open;
  consensus::RegisterValue seen;
  std::function<void()> onCommitted;  ///< runs once it is known which value is chosen
  std::function<void()> onEnded;
};
using CallPtr = std::shared_ptr<Call>;

/// A configuration change as an operator sends it, again and again.
struct SentChange {
  std::int64_t base = 0;
  std::int64_t revision = 0;
  std::string name;  ///< makes its text, and so its digest, its own
};

}  // namespace merlingauge::test::register_world
