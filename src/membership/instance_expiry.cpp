#include "membership/instance_expiry.hpp"

namespace merlingauge::membership {

bool InstanceExpiry::recordHeartbeat(const InstanceId& id, std::uint64_t sequence, TimePoint now) {
  const auto [entry, isFirst] = heartbeats_.try_emplace(id);
  if (!isFirst && sequence < entry->second.sequence) return false;
  entry->second = {now, sequence};
  return true;
}

void InstanceExpiry::expectHeartbeat(const InstanceId& id, TimePoint now) {
  if (!heartbeats_.contains(id)) expected_.try_emplace(id, now);
}

InstanceExpiry::Verdict InstanceExpiry::judgeTimeout(const InstanceId& id, Duration sinceHeartbeat,
                                                     Duration forgetAfter) const {
  const auto* item = instances_.find(id);
  if (item == nullptr || item->instance.reporter != self_) return Verdict::stopWatching;
  if (!item->instance.isClosed()) return Verdict::markUnresponsive;
  return sinceHeartbeat > forgetAfter ? Verdict::stopWatching : Verdict::keepWatching;
}

bool InstanceExpiry::isOpenAndReportedHere(const InstanceId& id) const {
  const auto* item = instances_.find(id);
  return item != nullptr && !item->instance.isClosed() && item->instance.reporter == self_;
}

std::vector<InstanceId> InstanceExpiry::takeTimedOut(TimePoint now, const ExpiryLimits& limits) {
  std::vector<InstanceId> timedOut;
  std::erase_if(heartbeats_, [&](const auto& entry) {
    const auto& [id, last] = entry;
    const Duration sinceHeartbeat = now - last.at;
    if (sinceHeartbeat <= limits.heartbeatTimeout) return false;
    throttle_.drop(id);
    const auto verdict = judgeTimeout(id, sinceHeartbeat, limits.forgetAfter);
    if (verdict == Verdict::markUnresponsive) timedOut.push_back(id);
    return verdict == Verdict::stopWatching;
  });
  std::erase_if(expected_, [&](const auto& entry) {
    const auto& [id, since] = entry;
    if (heartbeats_.contains(id)) return true;
    if (now - since <= limits.heartbeatTimeout) return false;
    if (isOpenAndReportedHere(id)) timedOut.push_back(id);
    return true;
  });
  return timedOut;
}

std::vector<InstanceId> InstanceExpiry::orphans(
    TimePoint now, Duration heartbeatTimeout, const NodeTable& nodes,
    const std::function<bool(const InstanceId&)>& isMine) const {
  std::vector<InstanceId> orphans;
  const auto& downSince = nodes.downSince();
  if (downSince.empty()) return orphans;
  for (const auto& [id, item] : instances_.items()) {
    if (item.instance.isClosed()) continue;
    const auto down = downSince.find(item.instance.reporter);
    if (down == downSince.end() || now - down->second <= heartbeatTimeout) continue;
    if (isMine(id)) orphans.push_back(id);
  }
  return orphans;
}

std::vector<InstanceId> InstanceExpiry::longClosed(TimePoint now, Duration forgetAfter) const {
  std::vector<InstanceId> closed;
  for (const auto& [id, item] : instances_.items()) {
    if (item.closedAt && now - *item.closedAt > forgetAfter) closed.push_back(id);
  }
  return closed;
}

}  // namespace merlingauge::membership
