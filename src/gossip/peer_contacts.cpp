#include "gossip/peer_contacts.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

#include "gossip/pull_messages.hpp"

namespace merlingauge::gossip {

namespace {
// A node that is there answers at once; the rest is for its processor and for lost packets.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(900);
}  // namespace

void PeerContacts::onRequest(const NodeId& node) {
  lastHeard_[node] = dependencies_.environment.now();
}

void PeerContacts::onResponse(const NodeId& node) {
  const TimePoint now = dependencies_.environment.now();
  lastHeard_[node] = now;
  lastResponse_[node] = now;
}

void PeerContacts::probe(const NodeId& node, const std::function<void(bool)>& onResult) {
  dependencies_.environment.sendPull(
      node, toJson(ProbeRequest{options_.self}), kProbeTimeout,
      [this, node, onResult](const std::optional<nlohmann::json>& response) {
        const bool reachable = response.has_value();
        if (reachable) lastHeard_.erase(node);
        onResult(reachable);
      });
}

bool PeerContacts::heardWithin(const NodeId& node, Duration span) const {
  const auto found = lastHeard_.find(node);
  return found != lastHeard_.end() && dependencies_.environment.now() - found->second <= span;
}

TimePoint PeerContacts::lastHeard(const NodeId& node) const {
  const auto found = lastHeard_.find(node);
  return found == lastHeard_.end() ? TimePoint() : found->second;
}

std::vector<NodeId> PeerContacts::unheardFor(Duration span) const {
  std::vector<NodeId> nodes;
  const TimePoint now = dependencies_.environment.now();
  for (const auto& [node, heardAt] : lastHeard_) {
    if (now - heardAt > span) nodes.push_back(node);
  }
  return nodes;
}

Duration PeerContacts::controlContactAge() const {
  TimePoint newest;
  const auto& nodes = dependencies_.registry.nodes();
  for (const auto& [node, answeredAt] : lastResponse_) {
    const auto info = nodes.find(node);
    if (info == nodes.end() || !info->second.isControlNode) continue;
    newest = std::max(newest, answeredAt);
  }
  if (newest == TimePoint()) return Duration::max();
  return dependencies_.environment.now() - newest;
}

void PeerContacts::forgetUnknown(Duration age) {
  const TimePoint now = dependencies_.environment.now();
  const auto& nodes = dependencies_.registry.nodes();
  for (auto* contacts : {&lastHeard_, &lastResponse_}) {
    std::erase_if(*contacts, [&](const auto& entry) {
      return now - entry.second > age && !nodes.contains(entry.first);
    });
  }
}

}  // namespace merlingauge::gossip
