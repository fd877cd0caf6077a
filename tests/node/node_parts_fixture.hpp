// node_parts_fixture: a node's parts, a control node's usually, on a clock that the test moves,
// without sockets.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "consensus/register_replica.hpp"
#include "consensus/register_value.hpp"
#include "consensus/staleness_bound.hpp"
#include "gossip/environment.hpp"
#include "gossip/gossip_service.hpp"
#include "gossip/pull_messages.hpp"
#include "membership/instance_registry.hpp"
#include "node/control_node_liveness.hpp"
#include "node/lifecycle.hpp"
#include "node/settings.hpp"

namespace merlingauge::node {

// Runs no timers; keeps what is sent, to be answered or left unanswered by the test.
class ManualEnvironment final : public gossip::Environment {
 public:
  struct Sent {
    NodeId recipient;
    nlohmann::json message;
    ResponseCallback onResponse;
  };
  TimePoint time = TimePoint(std::chrono::hours(1));
  std::vector<Sent> sent;

  [[nodiscard]] TimePoint now() const override { return time; }
  [[nodiscard]] TimePoint readClock() const override { return time; }
  TimerId runAfter(Duration /*delay*/, std::function<void()> /*task*/) override { return ++timer_; }
  void cancel(TimerId /*timer*/) override {}
  void sendPull(const NodeId& recipient, const nlohmann::json& message, Duration /*timeout*/,
                ResponseCallback onResponse) override {
    sent.push_back({recipient, message, std::move(onResponse)});
  }

 private:
  TimerId timer_ = 0;
};

// A register whose committed value the test sets.
class FixedReplica final : public consensus::RegisterReplica {
 public:
  consensus::RegisterValue value;
  [[nodiscard]] const consensus::RegisterValue& committedValue() const override { return value; }
  [[nodiscard]] const std::string& committedValueJson(std::uint64_t /*textId*/) override {
    return json_;
  }
  [[nodiscard]] consensus::RegisterValue decodeValue(
      const nlohmann::json& /*encoded*/) const override {
    return {};
  }
  void learn(const consensus::RegisterValue& /*learned*/) override {}
  [[nodiscard]] std::optional<TimePoint> ownAcceptedAsOf() const override { return std::nullopt; }

 private:
  std::string json_ = "{}";
};

class NodeParts : public ::testing::Test, public gossip::GossipObserver {
 protected:
  static constexpr const char* kSelf = "10.0.0.1";

  explicit NodeParts(bool isControlNode = true) : registry(registryOf(kSelf, isControlNode)) {
    settings.nodeId = NodeId(kSelf);
    settings.zone = ZoneName("z");
    settings.quorumMember = isControlNode;
    settings.dataDirectory = "/data";
    settings.controlPort = 8146;
    gossip::GossipOptions options;
    options.self = settings.nodeId;
    options.zone = settings.zone;
    options.isControlNode = isControlNode;
    gossip = std::make_unique<gossip::GossipService>(
        gossip::GossipDependencies{environment, registry, replica, stalenessBound},
        std::move(options), *this);
    controlNodes = std::make_unique<ControlNodeLiveness>(lifecycle, registry, *gossip);
    lifecycle.onStart(now());
  }

  [[nodiscard]] TimePoint now() const { return environment.time; }
  void pass(Duration time) { environment.time += time; }
  // Contact with a quorum at this moment. The lease counts as held from the first of these on.
  void holdLease() {
    stalenessBound.onQuorumRead(now());
    gossip->tick();
  }
  // A message of that node arrives.
  void hear(const std::string& node) {
    gossip::PullRequest pull;
    pull.sender = NodeId(node);
    pull.wholeVector = true;
    pull.fromControlNode = true;
    gossip->handlePull(gossip::toJson(pull), [](const std::string& /*response*/) {});
  }
  // Takes in all that the other node's registry holds.
  void learnFrom(const membership::InstanceRegistry& other) {
    const membership::VersionVector nothing(other.sourceTable());
    registry.merge(nlohmann::json::parse(other.itemsNewerThan(nothing, now())),
                   other.entriesAbove(nothing), now());
  }
  static membership::InstanceRegistry registryOf(const std::string& node, bool isControlNode) {
    membership::NodeInfo info;
    info.id = NodeId(node);
    info.zone = ZoneName("z");
    info.isControlNode = isControlNode;
    return {info, Incarnation{1}};
  }
  // Another control node, live.
  void addControlNode(const std::string& node) {
    learnFrom(registryOf(node, true));
    hear(node);
  }
  static membership::Instance instance(const std::string& id) {
    membership::Instance instance;
    instance.id = InstanceId(id);
    instance.service = ServiceName("s");
    instance.address = "10.0.1.1:80";
    instance.zone = ZoneName("z");
    instance.sequence = 1;
    return instance;
  }

 public:
  Settings settings;
  Lifecycle lifecycle;
  ManualEnvironment environment;
  FixedReplica replica;
  consensus::StalenessBound stalenessBound;
  membership::InstanceRegistry registry;
  std::unique_ptr<gossip::GossipService> gossip;
  std::unique_ptr<ControlNodeLiveness> controlNodes;
};

}  // namespace merlingauge::node
