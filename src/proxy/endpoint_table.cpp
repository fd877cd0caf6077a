#include "proxy/endpoint_table.hpp"

namespace merlingauge::proxy {

namespace {
// An instance unused for so long is forgotten: by then every ejection and backoff is over.
constexpr Duration kExpireUnusedAfter = std::chrono::seconds(60);
}  // namespace

void EndpointTable::onRequestStarted(const InstanceId& id, TimePoint now) {
  auto& state = states_[id];
  state.load.onRequestStarted(now);
  state.outliers.onRequestStarted(now);
  state.usedAt = now;
}

void EndpointTable::onRequestEnded(const InstanceId& id, TimePoint now) {
  states_[id].load.onRequestEnded(now);
}

void EndpointTable::expireUnused(TimePoint now) {
  const auto before = states_.size();
  std::erase_if(states_, [&](const auto& entry) {
    const auto& state = entry.second;
    return state.load.ownRequests() == 0 && now - state.usedAt > kExpireUnusedAfter;
  });
  if (states_.size() != before) ++generation_;
}

}  // namespace merlingauge::proxy
