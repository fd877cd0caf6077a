// polling.hpp: waits for a condition that another process brings about.
#pragma once

#include <chrono>
#include <thread>

namespace merlingauge::test {

/// Checks of a condition before it counts as failed: with their pauses 30 s, generous for a busy
/// machine, since a condition that holds ends the wait at once.
constexpr int kPollAttempts = 300;
/// Pause between two checks.
constexpr std::chrono::milliseconds kPollInterval{100};

/// Whether `condition` holds within the limit above.
template <class Condition>
[[nodiscard]] bool becomesTrue(Condition condition) {
  for (int attempt = 0; attempt < kPollAttempts; ++attempt) {
    if (condition()) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

}  // namespace merlingauge::test
