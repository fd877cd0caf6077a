// A hollow node: the project's own membership, news and configuration code over the real messages,
// many of them on one loop. It has a server that beats and carries no traffic.
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

struct HollowTerms {
  NodeId id;
  ZoneName zone;
  ServiceName service;  // of the server beside it
  std::vector<NodeId> seeds;
  std::uint16_t port = 0;  // between nodes
  Duration heartbeat = std::chrono::milliseconds(1500);
  // A configuration is known here: its revision.
  std::function<void(std::int64_t)> learned;
};

class Hollow {
 public:
  Hollow(event::EventLoop& loop, HollowTerms terms) : bell_(loop), terms_(std::move(terms)) {
    start();
  }
  ~Hollow() { ++life_; }
  Hollow(const Hollow&) = delete;
  Hollow& operator=(const Hollow&) = delete;

  // Ends as by SIGTERM and comes back empty, with a new server.
  void restart() {
    ++life_;
    before_ = messages();
    beforeBytes_ = allBytes();
    book_->deregister(server_.id, bell_.now());
    book_->announceShutdown();
    roster_->stop();
    door_.reset();
    roster_.reset();
    environment_.reset();
    wire_.reset();
    book_.reset();
    value_ = {};
    shelf_ = {};
    start();
  }

  void tick() {
    const TimePoint now = bell_.now();
    if (now >= beatAt_) {
      beatAt_ = now + terms_.heartbeat;
      ++server_.sequence;
      if (book_->handleHeartbeat(server_, now) ==
          membership::InstanceRegistry::HeartbeatResult::changed)
        roster_->notifyUpdate();
    }
    const auto silent = fromSeconds(toSeconds(terms_.heartbeat) * 2.6);
    if (book_->expireInstances(now, silent, std::chrono::seconds(60))) roster_->notifyUpdate();
    if (book_->releaseThrottledUpdates(now)) roster_->notifyUpdate();
    roster_->tick();
  }

  [[nodiscard]] std::size_t nodes() const { return book_->nodes().size(); }
  [[nodiscard]] std::uint64_t messages() const {
    return before_ + wire_->traffic().requestsSent + wire_->traffic().requestsReceived;
  }
  [[nodiscard]] std::uint64_t allBytes() const { return beforeBytes_ + bytes(); }
  [[nodiscard]] std::int64_t revision() const { return value_.revision().value; }

 private:
  // A timer of a node that has been restarted since does nothing.
  class Environment final : public node::GossipEnvironment {
   public:
    Environment(Hollow& owner, int incarnation)
        : node::GossipEnvironment(owner.bell_, *owner.wire_),
          owner_(owner),
          incarnation_(incarnation) {}
    TimerId runAfter(Duration delay, std::function<void()> task) override {
      return node::GossipEnvironment::runAfter(
          delay, [&owner = owner_, incarnation = incarnation_, task = std::move(task)] {
            if (incarnation == owner.life_) task();
          });
    }

   private:
    Hollow& owner_;
    int incarnation_;
  };

  // Without an acceptor: it learns committed values by gossip only.
  class Replica final : public consensus::RegisterReplica {
   public:
    explicit Replica(Hollow& owner) : owner_(owner) {}
    [[nodiscard]] const consensus::RegisterValue& committedValue() const override {
      return owner_.value_;
    }
    [[nodiscard]] const std::string& committedValueJson(std::uint64_t has) override {
      owner_.text_ =
          consensus::toJson(owner_.value_, {owner_.shelf_.find(has) ? has : 0}, &owner_.shelf_)
              .dump();
      return owner_.text_;
    }
    [[nodiscard]] consensus::RegisterValue decodeValue(
        const nlohmann::json& encoded) const override {
      return consensus::valueFromJson(encoded, &owner_.shelf_);
    }
    void learn(const consensus::RegisterValue& value) override { owner_.learn(value); }
    [[nodiscard]] std::optional<TimePoint> ownAcceptedAsOf() const override { return std::nullopt; }

   private:
    Hollow& owner_;
  };

  [[nodiscard]] std::uint64_t bytes() const {
    const auto& t = wire_->traffic();
    return t.requestBytesSent + t.responseBytesReceived + t.requestBytesReceived +
           t.responseBytesSent;
  }

  void start() {
    const auto clock =
        static_cast<std::uint64_t>(event::EventLoop::readClock().time_since_epoch().count());
    server_ = {};
    server_.id = InstanceId("i-" + terms_.id.str() + "-" + std::to_string(life_));
    server_.service = terms_.service;
    server_.address = terms_.id.str() + ":9000";
    server_.zone = terms_.zone;
    server_.capacity = 8;
    wire_ = std::make_unique<rpc::PeerRpc>(bell_, terms_.port);
    book_ = std::make_unique<membership::InstanceRegistry>(
        membership::NodeInfo{terms_.id, terms_.zone, false, false, false, 0, Incarnation{}},
        Incarnation{clock});
    environment_ = std::make_unique<Environment>(*this, life_);
    gossip::GossipOptions options;
    options.self = terms_.id;
    options.zone = terms_.zone;
    options.seeds = terms_.seeds;
    options.updateInterval = std::chrono::milliseconds(80);
    options.fullSyncInterval = std::chrono::milliseconds(30);
    roster_ = std::make_unique<gossip::GossipService>(
        gossip::GossipDependencies{*environment_, *book_, replica_, evidence_}, std::move(options),
        observer_);
    door_ = std::make_unique<http::HttpListener>(
        bell_, Poco::Net::SocketAddress(terms_.id.str(), terms_.port), 256);
    door_->context->limits.maxBodyBytes = 16U << 20;
    door_->context->onExchange = [this](const http::ServerExchange::Ptr& exchange) {
      rpc::whenBodyComplete(exchange, [this, exchange](const std::string& body) {
        wire_->countRequest(body.size());
        auto document = nlohmann::json::parse(body, nullptr, false);
        try {
          roster_->handlePull(std::move(document), [this, exchange](const std::string& answer) {
            wire_->countResponse(answer.size());
            exchange->respond(200, "OK", answer, "application/json");
          });
        } catch (const std::exception&) {
          exchange->respondError(ErrorKind::incompatibleMessage);
        }
      });
    };
  }

  void learn(const consensus::RegisterValue& value) {
    if (value.sequence <= value_.sequence) return;
    const auto before = value_.revision();
    value_ = value;
    evidence_.onLearned(value.sequence);
    shelf_.add(value_.config);
    if (value_.revision() > before && terms_.learned) terms_.learned(value_.revision().value);
    roster_->notifyUpdate();
  }

  event::EventLoop& bell_;
  HollowTerms terms_;
  int life_ = 0;
  std::uint64_t before_ = 0;
  std::uint64_t beforeBytes_ = 0;
  TimePoint beatAt_;
  membership::Instance server_;
  consensus::RegisterValue value_;
  consensus::StalenessBound evidence_;
  config::ConfigTextCache shelf_;
  std::string text_;
  std::unique_ptr<membership::InstanceRegistry> book_;
  std::unique_ptr<rpc::PeerRpc> wire_;
  gossip::GossipObserver observer_;
  Replica replica_{*this};
  std::unique_ptr<Environment> environment_;
  std::unique_ptr<gossip::GossipService> roster_;
  std::unique_ptr<http::HttpListener> door_;
};

}  // namespace merlingauge::test
