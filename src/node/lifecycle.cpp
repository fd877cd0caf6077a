#include "node/lifecycle.hpp"

namespace merlingauge::node {

namespace {
// Ten ticks: a loop that is merely busy is not taken for a process that stood still.
constexpr Duration kStallThreshold = std::chrono::seconds(1);
}  // namespace

void Lifecycle::onTick(TimePoint now) {
  if (now - lastTickAt_ > kStallThreshold) listeningSince_ = now;
  lastTickAt_ = now;
}

}  // namespace merlingauge::node
