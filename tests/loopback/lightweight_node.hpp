// lightweight_node: a node without proxies. The project's own membership, gossip and configuration
// code over the real messages, many nodes on one loop. Each has a server instance that sends
// heartbeats and carries no traffic.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "consensus/value_codec.hpp"
#include "event/event_loop.hpp"
#include "gossip/gossip_service.hpp"
#include "http/http_listener.hpp"
#include "membership/instance_registry.hpp"
#include "node/gossip_environment.hpp"
#include "rpc/peer_rpc.hpp"
#include "rpc/request_body.hpp"

namespace merlingauge::test {

struct LightweightNodeOptions {
  NodeId id;
  ZoneName zone;
  ServiceName service;  // of the instance beside it
  std::vector<NodeId> seeds;
  std::uint16_t port = 0;  // between nodes
  Duration heartbeat = std::chrono::milliseconds(1500);
  // A newer configuration is known here.
  std::function<void(std::int64_t)> onRevision;
};

class LightweightNode {
 public:
  LightweightNode(event::EventLoop& loop, LightweightNodeOptions options)
      : loop_(loop), options_(std::move(options)) {
    start();
  }
  ~LightweightNode() { ++run_; }
  LightweightNode(const LightweightNode&) = delete;
  LightweightNode& operator=(const LightweightNode&) = delete;

  // Ends as by SIGTERM and comes back empty, with a new instance.
  void restart() {
    ++run_;
    messagesOfEarlierRuns_ = messages();
    bytesOfEarlierRuns_ = allBytes();
    registry_->deregister(instance_.id, loop_.now());
    registry_->announceShutdown();
    gossip_->stop();
    listener_.reset();
    gossip_.reset();
    environment_.reset();
    rpc_.reset();
    registry_.reset();
    committed_ = {};
    textCache_ = {};
    start();
  }

  void tick() {
    const TimePoint now = loop_.now();
    if (now >= nextHeartbeatAt_) {
      nextHeartbeatAt_ = now + options_.heartbeat;
      ++instance_.sequence;
      if (registry_->handleHeartbeat(instance_, now) ==
          membership::InstanceRegistry::HeartbeatResult::changed)
        gossip_->notifyUpdate();
    }
    const auto unresponsiveAfter = fromSeconds(toSeconds(options_.heartbeat) * kMissedHeartbeats);
    if (registry_->expireInstances(now, unresponsiveAfter, kForgetGoneAfter)) {
      gossip_->notifyUpdate();
    }
    if (registry_->releaseThrottledUpdates(now)) gossip_->notifyUpdate();
    gossip_->tick();
  }

  [[nodiscard]] std::size_t nodes() const { return registry_->nodes().size(); }
  [[nodiscard]] std::uint64_t messages() const {
    return messagesOfEarlierRuns_ + rpc_->traffic().requestsSent + rpc_->traffic().requestsReceived;
  }
  [[nodiscard]] std::uint64_t allBytes() const { return bytesOfEarlierRuns_ + bytes(); }
  [[nodiscard]] std::int64_t revision() const { return committed_.revision().value; }

 private:
  // An instance is unresponsive after so many heartbeats that did not come.
  static constexpr double kMissedHeartbeats = 2.6;
  static constexpr Duration kForgetGoneAfter = std::chrono::seconds(60);
  // As of a node with a tenth of a processor core.
  static constexpr Duration kUpdateInterval = std::chrono::milliseconds(80);
  static constexpr Duration kFullSyncInterval = std::chrono::milliseconds(30);
  static constexpr std::size_t kMaxConnections = 256;
  static constexpr std::size_t kMaxBodyBytes = 16U << 20;

  // A timer of a node that has been restarted since does nothing.
  class Environment final : public node::GossipEnvironment {
   public:
    Environment(LightweightNode& owner, int run)
        : node::GossipEnvironment(owner.loop_, *owner.rpc_), owner_(owner), runOfTimers_(run) {}
    TimerId runAfter(Duration delay, std::function<void()> task) override {
      return node::GossipEnvironment::runAfter(
          delay, [&owner = owner_, run = runOfTimers_, task = std::move(task)] {
            if (run == owner.run_) task();
          });
    }

   private:
    LightweightNode& owner_;
    int runOfTimers_;
  };

  // Without an acceptor: it learns committed values by gossip only.
  class Replica final : public consensus::RegisterReplica {
   public:
    explicit Replica(LightweightNode& owner) : owner_(owner) {}
    [[nodiscard]] const consensus::RegisterValue& committedValue() const override {
      return owner_.committed_;
    }
    [[nodiscard]] const std::string& committedValueJson(std::uint64_t has) override {
      owner_.encodedValue_ =
          consensus::toJson(owner_.committed_, {owner_.textCache_.find(has) ? has : 0},
                            &owner_.textCache_)
              .dump();
      return owner_.encodedValue_;
    }
    [[nodiscard]] consensus::RegisterValue decodeValue(
        const nlohmann::json& encoded) const override {
      return consensus::valueFromJson(encoded, &owner_.textCache_);
    }
    void learn(const consensus::RegisterValue& value) override { owner_.learn(value); }
    [[nodiscard]] std::optional<TimePoint> ownAcceptedAsOf() const override { return std::nullopt; }

   private:
    LightweightNode& owner_;
  };

  [[nodiscard]] std::uint64_t bytes() const {
    const auto& t = rpc_->traffic();
    return t.requestBytesSent + t.responseBytesReceived + t.requestBytesReceived +
           t.responseBytesSent;
  }

  void start() {
    startInstance();
    rpc_ = std::make_unique<rpc::PeerRpc>(loop_, options_.port);
    const auto clock = event::EventLoop::readClock().time_since_epoch().count();
    registry_ = std::make_unique<membership::InstanceRegistry>(
        membership::NodeInfo{options_.id, options_.zone, false, false, false, 0, Incarnation{}},
        Incarnation{static_cast<std::uint64_t>(clock)});
    startGossip();
    startListener();
  }

  void startInstance() {
    instance_ = {};
    instance_.id = InstanceId("i-" + options_.id.str() + "-" + std::to_string(run_));
    instance_.service = options_.service;
    instance_.address = options_.id.str() + ":9000";
    instance_.zone = options_.zone;
    instance_.capacity = 8;
  }

  void startGossip() {
    environment_ = std::make_unique<Environment>(*this, run_);
    gossip::GossipOptions gossipOptions;
    gossipOptions.self = options_.id;
    gossipOptions.zone = options_.zone;
    gossipOptions.seeds = options_.seeds;
    gossipOptions.updateInterval = kUpdateInterval;
    gossipOptions.fullSyncInterval = kFullSyncInterval;
    gossip_ = std::make_unique<gossip::GossipService>(
        gossip::GossipDependencies{*environment_, *registry_, replica_, stalenessBound_},
        std::move(gossipOptions), observer_);
  }

  void startListener() {
    listener_ = std::make_unique<http::HttpListener>(
        loop_, Poco::Net::SocketAddress(options_.id.str(), options_.port), kMaxConnections);
    listener_->context->limits.maxBodyBytes = kMaxBodyBytes;
    listener_->context->onExchange = [this](const http::ServerExchange::Ptr& exchange) {
      rpc::whenBodyComplete(exchange, [this, exchange](const std::string& body) {
        rpc_->countRequest(body.size());
        handle(exchange, nlohmann::json::parse(body, nullptr, false));
      });
    };
  }

  void handle(const http::ServerExchange::Ptr& exchange, nlohmann::json message) {
    try {
      gossip_->handlePull(std::move(message), [this, exchange](const std::string& response) {
        rpc_->countResponse(response.size());
        exchange->respond(200, "OK", response, "application/json");
      });
    } catch (const std::exception&) {
      exchange->respondError(ErrorKind::incompatibleMessage);
    }
  }

  void learn(const consensus::RegisterValue& value) {
    if (value.sequence <= committed_.sequence) return;
    const auto before = committed_.revision();
    committed_ = value;
    stalenessBound_.onLearned(value.sequence);
    textCache_.add(committed_.config);
    if (committed_.revision() > before && options_.onRevision)
      options_.onRevision(committed_.revision().value);
    gossip_->notifyUpdate();
  }

  event::EventLoop& loop_;
  LightweightNodeOptions options_;
  int run_ = 0;
  std::uint64_t messagesOfEarlierRuns_ = 0;
  std::uint64_t bytesOfEarlierRuns_ = 0;
  TimePoint nextHeartbeatAt_;
  membership::Instance instance_;
  consensus::RegisterValue committed_;
  consensus::StalenessBound stalenessBound_;
  config::ConfigTextCache textCache_;
  std::string encodedValue_;
  std::unique_ptr<membership::InstanceRegistry> registry_;
  std::unique_ptr<rpc::PeerRpc> rpc_;
  gossip::GossipObserver observer_;
  Replica replica_{*this};
  std::unique_ptr<Environment> environment_;
  std::unique_ptr<gossip::GossipService> gossip_;
  std::unique_ptr<http::HttpListener> listener_;
};

}  // namespace merlingauge::test
