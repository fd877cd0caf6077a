// gossip_fixture: a gossip environment whose clock is set by hand, and a register that never
// changes.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "consensus/register_replica.hpp"
#include "consensus/register_value.hpp"
#include "gossip/gossip_dependencies.hpp"
#include "gossip/gossip_options.hpp"

namespace merlingauge::gossip {

class ManualEnvironment final : public Environment {
 public:
  struct SentMessage {
    NodeId recipient;
    nlohmann::json message;
    ResponseCallback onResponse;
  };
  [[nodiscard]] TimePoint now() const override { return time; }
  [[nodiscard]] TimePoint readClock() const override { return time; }
  TimerId runAfter(Duration, std::function<void()>) override { return ++lastTimer_; }
  void cancel(TimerId) override {}
  void sendPull(const NodeId& recipient, const nlohmann::json& message, Duration,
                ResponseCallback onResponse) override {
    sent.push_back({recipient, message, std::move(onResponse)});
  }
  TimePoint time = TimePoint(std::chrono::hours(1));
  std::vector<SentMessage> sent;

 private:
  TimerId lastTimer_ = 0;
};

class FixedReplica final : public consensus::RegisterReplica {
 public:
  [[nodiscard]] const consensus::RegisterValue& committedValue() const override { return value; }
  [[nodiscard]] const std::string& committedValueJson(std::uint64_t) override { return encoded_; }
  [[nodiscard]] consensus::RegisterValue decodeValue(const nlohmann::json&) const override {
    return value;
  }
  void learn(const consensus::RegisterValue& learnt) override { value = learnt; }
  [[nodiscard]] std::optional<TimePoint> ownAcceptedAsOf() const override { return acceptedAsOf; }
  consensus::RegisterValue value;
  std::optional<TimePoint> acceptedAsOf;

 private:
  std::string encoded_ = "{}";
};

/// The parts that gossip works on, for the node "10.0.0.9" in zone "a".
struct GossipFixture {
  explicit GossipFixture(bool isControlNode = false)
      : registry(membership::NodeInfo{NodeId("10.0.0.9"), ZoneName("a"), isControlNode, false,
                                      false, 0, Incarnation{}},
                 Incarnation{1}) {
    options.self = NodeId("10.0.0.9");
    options.zone = ZoneName("a");
    options.isControlNode = isControlNode;
  }
  /// Another node's own announcement reaches the registry.
  void announce(const std::string& node, const std::string& zone, bool isControlNode) {
    const membership::InstanceRegistry other(
        membership::NodeInfo{NodeId(node), ZoneName(zone), isControlNode, false, false, 0,
                             Incarnation{}},
        Incarnation{1});
    registry.merge(nlohmann::json::parse(other.itemsInRanges(~0U, environment.now())),
                   other.entriesAbove(membership::VersionVector(other.sourceTable())),
                   environment.now());
  }
  ManualEnvironment environment;
  membership::InstanceRegistry registry;
  FixedReplica replica;
  consensus::StalenessBound stalenessBound;
  GossipDependencies dependencies{environment, registry, replica, stalenessBound};
  GossipOptions options;
};

}  // namespace merlingauge::gossip
