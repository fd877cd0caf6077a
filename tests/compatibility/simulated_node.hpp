// simulated_node.hpp: the gossip of one node without sockets or real time.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/config_text_cache.hpp"
#include "consensus/message_codec.hpp"
#include "consensus/register_replica.hpp"
#include "consensus/register_value.hpp"
#include "gossip/gossip_service.hpp"
#include "membership/instance_registry.hpp"

namespace merlingauge::test {

/// One node's gossip with a clock that moves only when told to. What it sends is kept for the test
/// to look at and to answer.
class SimulatedNode {
 public:
  /// A pull or probe of this node.
  struct SentMessage {
    NodeId recipient;
    nlohmann::json body;
    std::function<void(std::optional<nlohmann::json>)> respond;
  };

  SimulatedNode(const NodeId& id, bool isControlNode, Incarnation incarnation,
                std::vector<NodeId> seeds);
  /// The response to a pull that is answered at once; null while it is kept waiting.
  nlohmann::json serve(const nlohmann::json& pull);
  /// Moves the clock on, runs the timers that are due by then, and ticks.
  void advance(Duration span);

  /// Where every clock starts: any time that is not zero.
  static constexpr TimePoint kNow = TimePoint(std::chrono::hours(1));

 private:
  struct Timer {
    TimePoint at;
    std::function<void()> work;
  };

  class Environment final : public gossip::Environment {
   public:
    explicit Environment(SimulatedNode& node) : node_(node) {}
    [[nodiscard]] TimePoint now() const override { return node_.now_; }
    [[nodiscard]] TimePoint readClock() const override { return node_.now_; }
    TimerId runAfter(Duration wait, std::function<void()> work) override {
      node_.timers_[++lastTimer_] = {node_.now_ + wait, std::move(work)};
      return lastTimer_;
    }
    void cancel(TimerId timer) override { node_.timers_.erase(timer); }
    void sendPull(const NodeId& recipient, const nlohmann::json& message, Duration,
                  ResponseCallback onResponse) override {
      node_.sentMessages.push_back({recipient, message, std::move(onResponse)});
    }

   private:
    SimulatedNode& node_;
    TimerId lastTimer_ = 0;
  };

  class Replica final : public consensus::RegisterReplica {
   public:
    explicit Replica(SimulatedNode& node) : node_(node) {}
    [[nodiscard]] const consensus::RegisterValue& committedValue() const override {
      return node_.committedValue;
    }
    [[nodiscard]] const std::string& committedValueJson(std::uint64_t cachedTextId) override {
      text_ = toJson(node_.committedValue, {cachedTextId, 0, false}, &node_.textCache).dump();
      return text_;
    }
    [[nodiscard]] consensus::RegisterValue decodeValue(
        const nlohmann::json& encoded) const override {
      return consensus::valueFromJson(encoded, &node_.textCache);
    }
    void learn(const consensus::RegisterValue& value) override { node_.committedValue = value; }
    [[nodiscard]] std::optional<TimePoint> ownAcceptedAsOf() const override { return node_.now_; }

   private:
    SimulatedNode& node_;
    std::string text_;
  };

  Environment environment_{*this};
  Replica replica_{*this};
  gossip::GossipObserver observer_;
  TimePoint now_ = kNow;
  std::map<std::uint64_t, Timer> timers_;

 public:
  membership::InstanceRegistry registry;
  consensus::RegisterValue committedValue;
  config::ConfigTextCache textCache;
  consensus::StalenessBound stalenessBound;
  std::vector<SentMessage> sentMessages;
  std::unique_ptr<gossip::GossipService> service;
};

}  // namespace merlingauge::test
