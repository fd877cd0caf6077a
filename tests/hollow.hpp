// A hollow node: the project's own membership, news and configuration code over the real messages,
// many of them on one loop. It has a server that beats and carries no traffic.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "connection/guest.hpp"
#include "process/bell.hpp"
#include "process/roster.hpp"
#include "process/wire.hpp"
#include "version/guestbook.hpp"
#include "version/register.hpp"

namespace merlin::test {

struct HollowTerms {
  NodeId id;
  ZoneName zone;
  ServiceName service;  // of the server beside it
  std::vector<NodeId> seeds;
  std::uint16_t port = 0;  // between nodes
  Span heartbeat = std::chrono::milliseconds(1500);
  // A configuration is known here: its revision.
  std::function<void(std::int64_t)> learned;
};

class Hollow {
 public:
  Hollow(hut::Bell& bell, HollowTerms terms) : bell_(bell), terms_(std::move(terms)) { start(); }
  ~Hollow() { ++life_; }
  Hollow(const Hollow&) = delete;
  Hollow& operator=(const Hollow&) = delete;

  // Ends as by SIGTERM and comes back empty, with a new server.
  void restart() {
    ++life_;
    before_ = messages();
    beforeBytes_ = allBytes();
    book_->deregister(server_.id, bell_.now());
    book_->leave();
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
    const Instant now = bell_.now();
    if (now >= beatAt_) {
      beatAt_ = now + terms_.heartbeat;
      ++server_.sequence;
      if (book_->beat(server_, now) == cairn::Guestbook::Beat::news) roster_->news();
    }
    const auto silent = fromSeconds(toSeconds(terms_.heartbeat) * 2.6);
    if (book_->expire(now, silent, std::chrono::seconds(60))) roster_->news();
    if (book_->settle(now)) roster_->news();
    roster_->tick();
  }

  [[nodiscard]] std::size_t nodes() const { return book_->nodes().size(); }
  [[nodiscard]] std::uint64_t messages() const {
    return before_ + wire_->traffic().asked + wire_->traffic().served;
  }
  [[nodiscard]] std::uint64_t allBytes() const { return beforeBytes_ + bytes(); }
  [[nodiscard]] std::int64_t revision() const { return value_.revision().value; }

 private:
  [[nodiscard]] std::uint64_t bytes() const {
    const auto& t = wire_->traffic();
    return t.askedBytes + t.toldBytes + t.servedBytes + t.answeredBytes;
  }

  void start() {
    const auto clock = static_cast<std::uint64_t>(hut::Bell::clock().time_since_epoch().count());
    server_ = {};
    server_.id = InstanceId("i-" + terms_.id.str() + "-" + std::to_string(life_));
    server_.service = terms_.service;
    server_.address = terms_.id.str() + ":9000";
    server_.zone = terms_.zone;
    server_.slots = 8;
    wire_ = std::make_unique<hut::Wire>(bell_, terms_.port);
    book_ = std::make_unique<cairn::Guestbook>(
        cairn::NodeFacts{terms_.id, terms_.zone, false, false, false, 0, Life{}}, Life{clock});
    hut::Roster::World world;
    world.now = [this] { return bell_.now(); };
    world.clock = [] { return hut::Bell::clock(); };
    world.after = [this](Span wait, hut::Bell::Work work) {
      return bell_.after(wait, [this, life = life_, work = std::move(work)] {
        if (life == life_) work();
      });
    };
    world.cancel = [this](hut::Bell::TimerId id) { bell_.cancel(id); };
    world.post = [this](const NodeId& to, const nlohmann::json& body, Span limit,
                        hut::Wire::Answer answer) {
      wire_->post(to, "/news", body, limit, std::move(answer));
    };
    roster_ = std::make_unique<hut::Roster>(hut::Roster::Parts{
        std::move(world), terms_.id, terms_.zone,
        [this]() -> const std::vector<NodeId>& { return terms_.seeds; }, *book_,
        [this]() -> const cairn::Value& { return value_; },
        [this](std::uint64_t has) -> const std::string& {
          text_ = cairn::toJson(value_, {shelf_.find(has) ? has : 0}, &shelf_).dump();
          return text_;
        },
        [this](const nlohmann::json& j) { return cairn::valueFrom(j, &shelf_); },
        [this](const cairn::Value& value) { learn(value); }, evidence_,
        []() -> std::optional<Instant> { return std::nullopt; }, [] {}, false, true,
        std::chrono::milliseconds(80), std::chrono::milliseconds(30), Span(0)});
    door_ = std::make_unique<saddle::Door>(
        bell_, Poco::Net::SocketAddress(terms_.id.str(), terms_.port), 256);
    door_->reception->limits.bodyBytes = 16U << 20;
    door_->reception->onVisit = [this](const saddle::Visit::Ptr& visit) {
      hut::whenWhole(visit, [this, visit](const std::string& body) {
        wire_->served(body.size());
        const auto document = nlohmann::json::parse(body, nullptr, false);
        try {
          roster_->serve(document, [this, visit](const std::string& answer) {
            wire_->answered(answer.size());
            visit->answer(200, "OK", answer, "application/json");
          });
        } catch (const std::exception&) {
          visit->fail(ErrorKind::foreignMessage);
        }
      });
    };
  }

  void learn(const cairn::Value& value) {
    if (value.sequence <= value_.sequence) return;
    const auto before = value_.revision();
    value_ = value;
    evidence_.learned(value.sequence);
    shelf_.put(value_.config);
    if (value_.revision() > before && terms_.learned) terms_.learned(value_.revision().value);
    roster_->news();
  }

  hut::Bell& bell_;
  HollowTerms terms_;
  int life_ = 0;
  std::uint64_t before_ = 0;
  std::uint64_t beforeBytes_ = 0;
  Instant beatAt_;
  cairn::Server server_;
  cairn::Value value_;
  cairn::Evidence evidence_;
  cairn::Shelf shelf_;
  std::string text_;
  std::unique_ptr<cairn::Guestbook> book_;
  std::unique_ptr<hut::Wire> wire_;
  std::unique_ptr<hut::Roster> roster_;
  std::unique_ptr<saddle::Door> door_;
};

}  // namespace merlin::test
