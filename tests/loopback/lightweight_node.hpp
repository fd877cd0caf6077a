// A hollow node: the project's own membership, news and configuration code over the real messages,
// many of them on one loop. It has a server that beats and carries no traffic.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "consensus/register.hpp"
#include "event/event_loop.hpp"
#include "gossip/gossip_service.hpp"
#include "http/server_connection.hpp"
#include "membership/instance_registry.hpp"
#include "rpc/peer_rpc.hpp"

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
    gossip::GossipService::Environment world;
    world.now = [this] { return bell_.now(); };
    world.readClock = [] { return event::EventLoop::readClock(); };
    world.after = [this](Duration wait, event::EventLoop::Task work) {
      return bell_.after(wait, [this, incarnation = life_, work = std::move(work)] {
        if (incarnation == life_) work();
      });
    };
    world.cancel = [this](event::EventLoop::TimerId id) { bell_.cancel(id); };
    world.send = [this](const NodeId& to, const nlohmann::json& body, Duration limit,
                        rpc::PeerRpc::ResponseCallback answer) {
      wire_->call(to, "/news", body, limit, std::move(answer));
    };
    roster_ = std::make_unique<gossip::GossipService>(gossip::GossipService::Dependencies{
        std::move(world), terms_.id, terms_.zone,
        [this]() -> const std::vector<NodeId>& { return terms_.seeds; }, *book_,
        [this]() -> const consensus::RegisterValue& { return value_; },
        [this](std::uint64_t has) -> const std::string& {
          text_ = consensus::toJson(value_, {shelf_.find(has) ? has : 0}, &shelf_).dump();
          return text_;
        },
        [this](const nlohmann::json& j) { return consensus::valueFromJson(j, &shelf_); },
        [this](const consensus::RegisterValue& value) { learn(value); }, evidence_,
        []() -> std::optional<TimePoint> { return std::nullopt; }, [] {}, false, true,
        std::chrono::milliseconds(80), std::chrono::milliseconds(30), Duration(0)});
    door_ = std::make_unique<http::HttpListener>(
        bell_, Poco::Net::SocketAddress(terms_.id.str(), terms_.port), 256);
    door_->context->limits.maxBodyBytes = 16U << 20;
    door_->context->onExchange = [this](const http::ServerExchange::Ptr& exchange) {
      rpc::whenBodyComplete(exchange, [this, exchange](const std::string& body) {
        wire_->countRequest(body.size());
        const auto document = nlohmann::json::parse(body, nullptr, false);
        try {
          roster_->handlePull(document, [this, exchange](const std::string& answer) {
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
  std::unique_ptr<gossip::GossipService> roster_;
  std::unique_ptr<http::HttpListener> door_;
};

}  // namespace merlingauge::test
