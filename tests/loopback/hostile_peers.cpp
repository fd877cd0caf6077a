#include "loopback/hostile_peers.hpp"

#include <array>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "consensus/acceptor.hpp"
#include "consensus/message_codec.hpp"
#include "gossip/gossip_service.hpp"
#include "loopback/damaged_messages.hpp"
#include "loopback/test_messages.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test {

using nlohmann::json;

namespace {
// A register that never changes.
class FixedReplica final : public consensus::RegisterReplica {
 public:
  FixedReplica(const Clock& clock, const consensus::StalenessBound& bound)
      : clock_(clock), bound_(bound) {}
  [[nodiscard]] const consensus::RegisterValue& committedValue() const override { return value; }
  [[nodiscard]] const std::string& committedValueJson(std::uint64_t has) override {
    return text_ = toJson(value, consensus::ReceiverState{has, 0, false}).dump();
  }
  [[nodiscard]] consensus::RegisterValue decodeValue(const json& encoded) const override {
    return consensus::valueFromJson(encoded);
  }
  void learn(const consensus::RegisterValue&) override {}
  [[nodiscard]] std::optional<TimePoint> ownAcceptedAsOf() const override {
    return bound_.ownAsOf(clock_.now());
  }
  consensus::RegisterValue value;

 private:
  const Clock& clock_;
  const consensus::StalenessBound& bound_;
  std::string text_;
};

// Simulated time; messages go where the test says.
class HostileEnvironment final : public gossip::Environment {
 public:
  using Send = std::function<void(const json&, const ResponseCallback&)>;
  HostileEnvironment(Clock& clock, Send send) : clock_(clock), send_(std::move(send)) {}
  [[nodiscard]] TimePoint now() const override { return clock_.now(); }
  [[nodiscard]] TimePoint readClock() const override { return clock_.now(); }
  TimerId runAfter(Duration delay, std::function<void()> task) override {
    clock_.after(toMillis(delay) + 1, std::move(task));
    return 0;
  }
  void cancel(TimerId) override {}
  void sendPull(const NodeId&, const json& message, Duration,
                ResponseCallback onResponse) override {
    send_(message, onResponse);
  }

 private:
  Clock& clock_;
  Send send_;
};

// Two nodes that pull from each other over a network that damages half of what it carries.
class HostileGossip {
 public:
  HostileGossip(std::uint64_t seed, MessageCounts& counts) : clock_(seed), counts_(counts) {
    for (std::size_t i = 0; i < sides_.size(); ++i) startSide(i, Incarnation{seed + i});
  }

  void run() {
    for (int turn = 0; turn < kTurns; ++turn) {
      for (auto& side : sides_) {
        membership::Instance instance;
        instance.id = InstanceId("i" + std::to_string(turn / 10));
        instance.service = ServiceName("echo");
        instance.address = "10.0.0.9:80";
        instance.sequence = static_cast<std::uint64_t>(turn);
        side.registry->handleHeartbeat(instance, clock_.now());
        side.registry->expireInstances(clock_.now(), std::chrono::seconds(4),
                                       std::chrono::seconds(60));
        side.registry->releaseThrottledUpdates(clock_.now());
        side.gossip->notifyUpdate();
        side.gossip->tick();
      }
      clock_.runUntil(clock_.ms() + kTurnMs);
    }
  }

 private:
  using ResponseCallback = gossip::Environment::ResponseCallback;
  using Reply = std::function<void(const std::optional<std::string>&)>;
  static constexpr int kTurns = 200;
  static constexpr double kTurnMs = 50;
  static constexpr double kTimeoutMs = 3000;
  static constexpr std::size_t kOtherNodes = 20;
  struct Side {
    explicit Side(const Clock& clock) : replica(clock, stalenessBound) {}
    consensus::StalenessBound stalenessBound;
    FixedReplica replica;
    std::unique_ptr<membership::InstanceRegistry> registry;
    std::unique_ptr<HostileEnvironment> environment;
    std::unique_ptr<gossip::GossipService> gossip;
  };

  // The first is a control node that knows of many, the second a newcomer.
  void startSide(std::size_t index, Incarnation incarnation) {
    auto& side = sides_.at(index);
    const bool isControlNode = index == 0;
    side.registry = std::make_unique<membership::InstanceRegistry>(
        membership::NodeInfo{ids_[index], ZoneName("z"), isControlNode, false, false, 0,
                             Incarnation{}},
        incarnation);
    if (isControlNode) announceOthers(*side.registry, incarnation);
    side.replica.value.voters = ids_;
    side.replica.value.config = config::ConfigText::create(R"({"revision":1})");
    side.environment = std::make_unique<HostileEnvironment>(
        clock_, [this, index](const json& message, const ResponseCallback& onResponse) {
          send(sides_.at(1 - index), message, onResponse);
        });
    gossip::GossipOptions options;
    options.self = ids_[index];
    options.zone = ZoneName("z");
    options.seeds = ids_;
    options.isControlNode = isControlNode;
    options.fullSyncInterval = std::chrono::milliseconds(30);
    side.gossip = std::make_unique<gossip::GossipService>(
        gossip::GossipDependencies{*side.environment, *side.registry, side.replica,
                                   side.stalenessBound},
        std::move(options), observer_);
  }

  void announceOthers(membership::InstanceRegistry& registry, Incarnation incarnation) {
    for (std::size_t i = 0; i < kOtherNodes; ++i) {
      const membership::InstanceRegistry other(
          {NodeId("10.0.1." + std::to_string(i)), ZoneName("z"), false, false, false, 0,
           Incarnation{}},
          incarnation);
      registry.merge(json::parse(other.itemsInRanges(~0U, clock_.now())),
                     other.entriesAbove(membership::VersionVector(other.sourceTable())),
                     clock_.now());
    }
  }

  std::string damaged(const std::string& text) {
    return clock_.chance(0.5) ? damagedJson(text, clock_.random) : text;
  }

  void send(Side& recipient, const json& message, const ResponseCallback& onResponse) {
    const auto arrived = json::parse(damaged(message.dump()), nullptr, false);
    const auto reply = replyTo(onResponse);
    clock_.after(1, [this, &recipient, arrived, reply] { deliver(recipient, arrived, reply); });
    clock_.after(kTimeoutMs, [reply] { reply(std::nullopt); });
  }

  // Only the first of several replies counts: the response or the time-out.
  Reply replyTo(const ResponseCallback& onResponse) {
    return [this, onResponse,
            replied = std::make_shared<bool>(false)](const std::optional<std::string>& text) {
      if (std::exchange(*replied, true)) return;
      auto response =
          text ? json::parse(damaged(*text), nullptr, false) : json(json::value_t::discarded);
      // On its own: nobody catches what is thrown here.
      clock_.after(1, [onResponse, response] {
        onResponse(response.is_discarded() ? std::nullopt : std::make_optional(response));
      });
    };
  }

  void deliver(Side& recipient, const json& message, const Reply& reply) {
    try {
      if (message.is_discarded()) throw std::runtime_error("no JSON");
      ++counts_.received;
      recipient.gossip->handlePull(message, [reply](const std::string& text) { reply(text); });
    } catch (const std::exception&) {
      ++counts_.rejected;
      reply(std::nullopt);
    }
  }

  Clock clock_;
  MessageCounts& counts_;
  const std::vector<NodeId> ids_ = {NodeId("10.0.0.1"), NodeId("10.0.0.2")};
  gossip::GossipObserver observer_;
  std::array<Side, 2> sides_ = {Side(clock_), Side(clock_)};
};

// A value with all that a message can carry.
consensus::RegisterValue sampleValue() {
  consensus::RegisterValue value;
  value.sequence = 3;
  value.epoch = 1;
  value.uniqueId = "10.0.0.1/4";
  value.config = config::ConfigText::create(repeatedText(R"({"revision":1},)", 9000));
  value.configRevision = Revision{1};
  value.history = config::ChangeHistory(Revision{0}).extendedBy({Revision{1}, 77});
  value.voters = {NodeId("10.0.0.1"), NodeId("10.0.0.2"), NodeId("10.0.0.3")};
  return value;
}

class HostileRegister {
 public:
  HostileRegister(std::uint64_t seed, MessageCounts& counts) : random_(seed), counts_(counts) {
    textCache_.add(config::ConfigText::create(repeatedText(R"({"revision":1},)", 8000)));
  }

  void run() {
    for (const auto kind :
         {consensus::RegisterRequest::Kind::prepare, consensus::RegisterRequest::Kind::accept,
          consensus::RegisterRequest::Kind::rejoin, consensus::RegisterRequest::Kind::fetch}) {
      consensus::RegisterRequest request;
      request.kind = kind;
      request.sender = NodeId("10.0.0.2");
      request.ballot = {5, NodeId("10.0.0.2")};
      request.value = value_;
      request.cachedTextId = request.wantedTextId = textCache_.find(0) ? 0 : 7;
      consensus::RegisterReply reply;
      reply.granted = true;
      reply.promisedBallot = reply.acceptedBallot = request.ballot;
      reply.value = value_;
      receive(toJson(request, {request.cachedTextId}, &textCache_).dump());
      receive(toJson(reply).dump());
      receive(toJson(value_).dump());
    }
  }

 private:
  // Each decoder is given each message, also one that is none of its own.
  void receive(const std::string& sent) {
    const auto message = json::parse(damagedJson(sent, random_), nullptr, false);
    if (message.is_discarded()) return;
    ++counts_.received;
    countRejection(
        [&] { (void)acceptor_.handle(consensus::requestFromJson(message, &textCache_)); });
    countRejection([&] {
      const auto reply = consensus::replyFromJson(message, &textCache_);
      (void)toJson(reply, consensus::ReceiverState{0, 0, true, false}, &textCache_).dump();
    });
    countRejection([&] {
      const auto value = consensus::valueFromJson(message, &textCache_);
      (void)toJson(value, consensus::ReceiverState{}, &textCache_).dump();
    });
  }

  void countRejection(const std::function<void()>& decode) {
    try {
      decode();
    } catch (const std::exception&) {
      ++counts_.rejected;
    }
  }

  Random random_;
  MessageCounts& counts_;
  config::ConfigTextCache textCache_;
  const consensus::RegisterValue value_ = sampleValue();
  consensus::Acceptor acceptor_{NodeId("10.0.0.1"), Incarnation{1}, true};
};
}  // namespace

void playHostileGossip(std::uint64_t seed, MessageCounts& counts) {
  HostileGossip(seed, counts).run();
}

void playHostileRegister(std::uint64_t seed, MessageCounts& counts) {
  HostileRegister(seed, counts).run();
}

}  // namespace merlingauge::test
