#include "gossip/bootstrap_discovery.hpp"

#include "base/decode_error.hpp"
#include "gossip/rendezvous_order.hpp"

namespace merlingauge::gossip {

using nlohmann::json;

namespace {
// A response is a few hundred bytes, but the seed may be busy with others that start as well.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(1000);
// After a time-out another node is asked. Longer than the time-out, so that the response to the
// last attempt, or its time-out, comes first.
constexpr Duration kRetryInterval = std::chrono::milliseconds(1700);
// Then pulls start without: whoever was asked may run a version that knows no discovery.
constexpr std::size_t kMaxAttempts = 4;
}  // namespace

void BootstrapDiscovery::tick() {
  if (done_) return;
  const TimePoint now = dependencies_.environment.now();
  if (!nextAttemptAt_) nextAttemptAt_ = now + options_.initialDelay;
  if (now < *nextAttemptAt_) return;
  const auto candidates = rendezvousOrder(options_.self, directory_.controlNodes(), {});
  if (candidates.empty() || attempts_ >= kMaxAttempts) {
    done_ = true;
    return;
  }
  nextAttemptAt_ = now + kRetryInterval;
  const auto& recipient = candidates[attempts_ % candidates.size()];
  ++attempts_;
  dependencies_.environment.sendPull(
      recipient, toJson(DiscoveryRequest{options_.self}), kResponseTimeout,
      [this](const std::optional<json>& response) { onResponse(response); });
}

void BootstrapDiscovery::onResponse(const std::optional<json>& response) {
  if (!response || stopped_) {
    nextAttemptAt_ = dependencies_.environment.now();
    return;
  }
  try {
    directory_.addDiscovered(discoveryResponseFromJson(*response));
  } catch (const DecodeError&) {
    nextAttemptAt_ = dependencies_.environment.now();
    return;
  }
  done_ = true;
  coordinator_.tick();
}

}  // namespace merlingauge::gossip
