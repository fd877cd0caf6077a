// News among many nodes: guestbooks and rosters on a simulated network. How long does a word take
// to reach everybody, through kills, cuts and restarts, and at what cost in bytes between zones?
// With `voters N` the configuration comes out of a real register at the first N cores, and what
// nodes claim is held against it: that they know what is chosen, and are in touch with a majority.
#include <algorithm>
#include <memory>
#include <optional>
#include <set>

#include "consensus/acceptor.hpp"
#include "consensus/acceptor_state_codec.hpp"
#include "consensus/proposer.hpp"
#include "consensus/quorum.hpp"
#include "consensus/value_codec.hpp"
#include "gossip/gossip_service.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test {

using consensus::Acceptor;
using consensus::Proposer;
using consensus::RegisterReply;
using consensus::RegisterRequest;
using consensus::RegisterValue;
using consensus::StalenessBound;
using gossip::GossipService;
using membership::Instance;
using membership::InstanceRegistry;
using nlohmann::json;

namespace {

struct Post {
  NodeId id;
  ZoneName zone;
  bool core = false;
  int life = 0;  // odd: up
  RegisterValue known;
  std::string text;
  std::vector<NodeId> seeds;
  std::unique_ptr<InstanceRegistry> book;
  std::unique_ptr<gossip::Environment> environment;
  std::unique_ptr<consensus::RegisterReplica> replica;
  std::unique_ptr<gossip::GossipObserver> observer;
  std::unique_ptr<GossipService> roster;
  std::uint64_t lowest = 0;  // what it must not fall below within a life
  StalenessBound evidence;
  std::optional<Acceptor> ledge;
  std::optional<consensus::StoredAcceptorState> disk;
  double aheadSince = -1;  // a value accepted, not known to be chosen
  bool reading = false;
  bool joins = false;  // comes in the middle, with seeds of its own
  double startedAt = 0;
  double touchingSince = 0;  // linked to all cores of the majority, and up
  double inQuorumSince = 0;  // a core: linked both ways to a majority
  double outSince = -1;      // a core: not so
  bool wasCurrent = false;
  TimePoint busyUntil;  // with messages that came before
  [[nodiscard]] bool up() const { return roster != nullptr; }
};

class NewsWorld {
 public:
  NewsWorld(const Scenario& scenario, std::uint64_t seed) : s_(scenario), clock_(seed) {
    const int zones = static_cast<int>(number(s_, "zones", 4));
    const int cores = static_cast<int>(number(s_, "cores", 5));
    const int sidecars = static_cast<int>(number(s_, "sidecars", 12));
    for (int i = 0; i < cores + sidecars; ++i) {
      auto post = std::make_unique<Post>();
      post->core = i < cores;
      post->id = NodeId((post->core ? "c" : "s") + std::to_string(post->core ? i : i - cores));
      post->zone = ZoneName("z" + std::to_string(i % zones));
      for (int c = 0; c < std::min(3, cores); ++c)
        post->seeds.emplace_back("c" + std::to_string(c));
      posts_.push_back(std::move(post));
    }
    const auto voters = static_cast<std::size_t>(number(s_, "voters", 0));
    for (std::size_t i = 0; i < voters; ++i) {
      auto& post = *posts_.at(i);
      voters_.push_back(post.id);
      const Acceptor first(post.id, Incarnation{clock_.random() >> 1}, true);
      post.disk = consensus::encodeState(first.state());
    }
    for (const auto* line : linesOf(s_, "fault")) faults_.insert(line->words.at(1));
    for (const auto* line : linesOf(s_, "at")) {
      if (line->words.at(2) == "join") at(line->words.at(3)).joins = true;
    }
    for (auto& post : posts_) {
      if (!post->joins) start(*post);
    }
  }

  void play(std::map<std::string, double>& out) {
    const double length = number(s_, "length", 20000);
    for (const auto* line : linesOf(s_, "at")) schedule(*line);
    tick();
    clock_.runUntil(length);
    for (const auto& post : posts_) {
      if (!post->up()) continue;
      require(post->known.sequence == newest_,
              post->id.str() + " has not heard of the newest value");
      require(post->book->digest() == posts_[0]->book->digest(),
              post->id.str() + " has another book than " + posts_[0]->id.str());
    }
    out["slowest_ms"] = slowest_;
    out["left"] = static_cast<double>(left_.size());
    out["words"] = static_cast<double>(words_);
    out["far_kb"] = farBytes_ / 1024;
    out["burst_kb"] = burst_;
    out["servers"] =
        static_cast<double>(posts_[0]->book->usableInstances(ServiceName("svc")).size());
    out["known_ms"] = knownAt_ > 0 ? knownAt_ : length;
    out["near_kb"] = nearBytes_ / 1024;
    out["changes"] = static_cast<double>(chosenAt_.size());
    out["false_claims"] = falseClaims_;
    out["false_authority"] = falseAuthority_;
    out["late"] = late_;
    out["calm_losses"] = calmLosses_;
    out["latest_ms"] = latest_;
    out["lose_ms"] = lose_;
    out["regain_ms"] = regain_;
    out["join_ms"] = join_;
    out["calm_authority_ms"] = calmAuthority_;
    out["calm_known_ms"] = calmKnown_;
    out["ballot"] = 0;
    for (const auto& post : posts_) {
      if (!post->ledge) continue;
      out["ballot"] = std::max(out["ballot"], double(post->ledge->acceptedBallot().number));
    }
  }

 private:
  Post& at(const std::string& name) {
    for (auto& post : posts_) {
      if (post->id.str() == name) return *post;
    }
    throw Broken{"no node " + name};
  }

  void start(Post& post) {
    ++post.life;
    post.known = RegisterValue{};
    post.lowest = 0;
    post.evidence = StalenessBound();
    post.startedAt = clock_.ms();
    post.aheadSince = -1;
    post.reading = false;
    post.wasCurrent = false;
    if (post.disk) {
      post.ledge.emplace(post.id, consensus::decodeState(*post.disk));
      post.known.voters = voters_;
      post.evidence.onAccepted(post.ledge->value().sequence, StalenessBound::kNever);
    }
    // A life number that may be lower than the last one: the machine's steady clock began anew.
    post.book = std::make_unique<InstanceRegistry>(
        membership::NodeInfo{post.id, post.zone, post.core, false, false, 0, Incarnation{}},
        Incarnation{clock_.random() % 1000 + 1});
    post.environment = std::make_unique<Environment>(*this, post);
    post.replica = std::make_unique<Replica>(*this, post);
    post.observer = std::make_unique<Observer>(*this, post);
    gossip::GossipOptions options;
    options.self = post.id;
    options.zone = post.zone;
    options.seeds = post.seeds;
    options.isControlNode = post.core;
    options.receivesHeartbeats = number(s_, "edges", 0) == 0;
    options.updateInterval = fromMillis(number(s_, "pace", 10));
    options.fullSyncInterval = fromMillis(number(s_, "let_in", 3));
    post.roster = std::make_unique<GossipService>(
        gossip::GossipDependencies{*post.environment, *post.book, *post.replica, post.evidence},
        std::move(options), *post.observer);
    if (!post.core) return;
    // As a restarted node does: what others may know already can wait.
    post.book->throttleUpdatesUntil(clock_.now() + fromMillis(post.life > 1 ? 1500 : 0));
  }

  // Of one life of a node: what was started before its end does nothing afterwards.
  class Environment final : public gossip::Environment {
   public:
    Environment(NewsWorld& world, Post& post) : world_(world), post_(post) {}
    [[nodiscard]] TimePoint now() const override { return world_.clock_.now(); }
    [[nodiscard]] TimePoint readClock() const override { return world_.clock_.now(); }
    TimerId runAfter(Duration wait, std::function<void()> work) override {
      const auto id = ++world_.timers_;
      world_.clock_.at(
          world_.clock_.now() + wait,
          [&world = world_, &post = post_, incarnation = post_.life, id, work = std::move(work)] {
            if (world.cancelled_.erase(id) == 0 && post.life == incarnation) work();
          });
      return id;
    }
    void cancel(TimerId id) override { world_.cancelled_.insert(id); }
    void sendPull(const NodeId& to, const json& body, Duration limit,
                  ResponseCallback answer) override {
      world_.send(post_, to, body.dump(), limit, std::move(answer));
    }

   private:
    NewsWorld& world_;
    Post& post_;
  };

  class Replica final : public consensus::RegisterReplica {
   public:
    Replica(NewsWorld& world, Post& post) : world_(world), post_(post) {}
    [[nodiscard]] const RegisterValue& committedValue() const override { return post_.known; }
    [[nodiscard]] const std::string& committedValueJson(std::uint64_t) override {
      post_.text = toJson(post_.known).dump();
      return post_.text;
    }
    [[nodiscard]] RegisterValue decodeValue(const json& encoded) const override {
      return consensus::valueFromJson(encoded);
    }
    void learn(const RegisterValue& value) override { world_.learn(post_, value); }
    [[nodiscard]] std::optional<TimePoint> ownAcceptedAsOf() const override {
      const TimePoint now = world_.clock_.now();
      if (world_.voters_.empty()) return now;  // values come from nowhere
      if (!post_.ledge) return std::nullopt;
      return world_.faults_.contains("ahead") ? now : post_.evidence.ownAsOf(now);
    }

   private:
    NewsWorld& world_;
    Post& post_;
  };

  class Observer final : public gossip::GossipObserver {
   public:
    Observer(NewsWorld& world, Post& post) : world_(world), post_(post) {}
    void onFirstContact(const NodeId& node) override {
      if (!post_.core || world_.at(node.str()).core) return;
      post_.book->throttleUpdatesUntil(world_.clock_.now());
      if (post_.book->releaseThrottledUpdates(world_.clock_.now())) post_.roster->notifyUpdate();
    }

   private:
    NewsWorld& world_;
    Post& post_;
  };

  void learn(Post& post, const RegisterValue& value) {
    if (value.sequence <= post.known.sequence) return;
    post.known = value;
    post.evidence.onLearned(value.sequence);
    require(value.sequence >= post.lowest, "a node went back");
    post.lowest = value.sequence;
    if (value.sequence == newest_ && inTouch(post)) {
      slowest_ = std::max(slowest_, clock_.ms() - newestAt_);
    }
    post.roster->notifyUpdate();
  }

  bool inTouch(const Post& post) const {
    const auto it = troubled_.find(post.id);
    return it == troubled_.end() || clock_.ms() - it->second > 3000;
  }

  void trouble(const Post& post) { troubled_[post.id] = clock_.ms(); }

  bool linked(const NodeId& a, const NodeId& b) const { return passes(a, b) && passes(b, a); }

  bool passes(const NodeId& a, const NodeId& b) const {
    return !cuts_.contains({a, b}) && !cuts_.contains({b, a}) && !oneWay_.contains({a, b});
  }

  bool arrives(const NodeId& a, const NodeId& b) {
    return passes(a, b) && (loss_ <= 0 || !clock_.chance(loss_));
  }

  void send(Post& from, const NodeId& to, const std::string& body, Duration limit,
            std::function<void(std::optional<json>)> answer) {
    auto done = std::make_shared<std::function<void(std::optional<json>)>>(std::move(answer));
    const auto finish = [this, &from, incarnation = from.life, done](std::optional<json> a) {
      if (!*done || from.life != incarnation) return;
      const auto tell = std::move(*done);
      *done = nullptr;
      tell(std::move(a));
    };
    clock_.at(clock_.now() + limit, [finish] { finish(std::nullopt); });
    auto& target = at(to.str());
    count(from, target, body.size() + 240);
    const double delay = clock_.uniform(0.2, 3);
    clock_.after(delay, [this, &from, &target, body, finish, delay] {
      if (arrives(from.id, target.id)) arrive(from, target, body, finish, delay);
    });
  }

  // A small machine takes its time over each message, in the order in which they come.
  void work(Post& post, std::size_t bytes, std::function<void()> then) {
    const auto cost = fromMillis(number(s_, post.core ? "core_ms" : "node_ms", 0) *
                                 (1 + static_cast<double>(bytes) / 32768));
    if (cost <= Duration(0)) {
      then();
      return;
    }
    post.busyUntil = std::max(clock_.now(), post.busyUntil) + cost;
    clock_.at(post.busyUntil, std::move(then));
  }

  void arrive(Post& from, Post& target, const std::string& body,
              const std::function<void(std::optional<json>)>& finish, double delay) {
    work(target, body.size(), [this, &from, &target, body, finish, delay] {
      if (!target.up()) {
        clock_.after(delay, [finish] { finish(std::nullopt); });
        return;
      }
      target.roster->handlePull(json::parse(body), [this, &from, &target, finish,
                                                    came = clock_.ms()](const std::string& said) {
        const auto text = faulty(target, said, clock_.ms() - came);
        count(target, from, text.size() + 200);
        work(target, text.size(), [this, &from, &target, text, finish] {
          clock_.after(clock_.uniform(0.2, 3), [this, &from, &target, text, finish] {
            if (!arrives(target.id, from.id)) return;
            work(from, text.size(), [finish, text] { finish(json::parse(text)); });
          });
        });
      });
    });
  }

  // The rules as they were, put in on purpose.
  std::string faulty(const Post& from, const std::string& text, double heldMs) const {
    if (faults_.empty() || !from.core) return text;
    auto answer = json::parse(text);
    if (faults_.contains("neighbour")) answer["e"] = -static_cast<std::int64_t>(heldMs);
    if (faults_.contains("untold")) answer.erase("u");
    return answer.dump();
  }

  // ---- the register: real acceptors and proposers over the same network

  void climb(Post& post, const Proposer::ChangeFunction& change,
             std::function<void(const Proposer::Result&)> told) {
    struct Climb {
      Proposer climber;
      int life;
      TimePoint began;
      std::function<void(const Proposer::Result&)> told;
    };
    const auto climb =
        std::make_shared<Climb>(Climb{Proposer(post.id, post.known, change, clock_.random()),
                                      post.life, clock_.now(), std::move(told)});
    const auto carry =
        std::make_shared<std::function<void(const std::vector<Proposer::OutgoingRequest>&)>>();
    *carry = [this, &post, climb, weak = std::weak_ptr(carry)](const auto& sends) {
      const auto again = weak.lock();
      for (const auto& send : sends) {
        deliver(post, at(send.recipient.str()), send.request,
                [this, &post, climb, again, to = send.recipient,
                 round = send.round](const RegisterReply& reply) {
                  if (climb->climber.result() || post.life != climb->life) return;
                  (*again)(climb->climber.handleReply(to, round, reply, clock_.now()));
                });
      }
      if (const auto& result = climb->climber.result()) {
        if (!climb->told) return;
        const auto tell = std::exchange(climb->told, nullptr);
        if (result->valueKnown) {
          learn(post, result->value);
          post.evidence.onQuorumRead(climb->began);
        }
        tell(*result);
        return;
      }
      clock_.at(climb->climber.nextWakeUp(), [this, &post, climb, again] {
        if (climb->climber.result() || post.life != climb->life) return;
        (*again)(climb->climber.tick(clock_.now()));
      });
    };
    (*carry)(climb->climber.start(clock_.now(), fromMillis(900)));
  }

  void deliver(Post& from, Post& to, const RegisterRequest& ask,
               std::function<void(const RegisterReply&)> back) {
    const auto delay = [this] { return clock_.uniform(0.2, 3); };
    clock_.after(delay(), [this, &from, &to, ask, delay, back = std::move(back)] {
      if (!to.up() || !to.ledge || (&from != &to && !arrives(from.id, to.id))) return;
      const auto out = to.ledge->handle(ask);
      to.evidence.onAccepted(to.ledge->value().sequence, clock_.now());
      to.disk = consensus::encodeState(to.ledge->state());
      noteChosen();
      clock_.after(delay() + (out.syncBeforeSend ? 2 : 0),
                   [this, &from, &to, incarnation = to.life, reply = out.reply, back] {
                     if (to.life == incarnation && (&from == &to || arrives(to.id, from.id)))
                       back(reply);
                   });
    });
  }

  // The very moment at which a majority holds a value under one ballot.
  void noteChosen() {
    for (const auto& voter : voters_) {
      const auto& some = *at(voter.str()).ledge;
      if (chosenAt_.contains(some.value().sequence) || some.value().sequence == 0) continue;
      const auto same = std::count_if(voters_.begin(), voters_.end(), [&](const NodeId& node) {
        return at(node.str()).ledge->acceptedBallot() == some.acceptedBallot();
      });
      if (static_cast<std::size_t>(same) * 2 > voters_.size()) {
        chosenAt_[some.value().sequence] = clock_.ms();
        newest_ = std::max(newest_, some.value().sequence);
      }
    }
  }

  // An operator's change, sent to one core and then to others until it is taken.
  void order(const std::string& to, const std::string& text, int tries) {
    require(tries < 30, "a change was never taken");
    auto& post = at(to);
    const auto next = "c" + std::to_string(clock_.random() % voters_.size());
    if (!post.up()) {
      clock_.after(200, [this, next, text, tries] { order(next, text, tries + 1); });
      return;
    }
    climb(
        post,
        [text](const RegisterValue& current, RegisterValue& wanted) {
          Proposer::Decision verdict;
          if (current.config && current.config->text() == text) return verdict;
          wanted.config = config::ConfigText::create(text);
          verdict.kind = Proposer::Decision::Kind::write;
          return verdict;
        },
        [this, next, text, tries](const Proposer::Result& result) {
          if (!result.succeeded) {
            clock_.after(200, [this, next, text, tries] { order(next, text, tries + 1); });
            return;
          }
          newest_ = std::max(newest_, result.value.sequence);
          ackedAt_[result.value.sequence] = clock_.ms();
        });
  }

  // A value accepted here whose fate nobody tells, as after a restart.
  void repair(Post& post) {
    if (!post.ledge || post.ledge->value().sequence <= post.known.sequence) {
      post.aheadSince = -1;
      return;
    }
    if (post.aheadSince < 0) post.aheadSince = clock_.ms();
    if (post.reading || clock_.ms() - post.aheadSince < 250) return;
    post.reading = true;
    climb(
        post, [](const RegisterValue&, RegisterValue&) { return Proposer::Decision{}; },
        [this, &post](const Proposer::Result&) {
          post.reading = false;
          post.aheadSince = clock_.ms();
        });
  }

  std::set<NodeId> inQuorum() const {
    std::set<NodeId> out;
    for (const auto& a : posts_) {
      if (!a->core || !a->up()) continue;
      std::set<NodeId> met;
      for (const auto& b : posts_) {
        if (b->up() && b->ledge && linked(a->id, b->id)) met.insert(b->id);
      }
      if (consensus::hasMajority(voters_, met)) out.insert(a->id);
    }
    return out;
  }

  // What nodes claim, against what is so.
  void checkClaims() {
    const double now = clock_.ms();
    const auto quorum = inQuorum();
    const double calm = now - std::max(number(s_, "calm_from", 6000), disturbedAt_ + 6000);
    for (auto& post : posts_) {
      if (!post->up()) continue;
      if (post->core) {
        const bool in = quorum.contains(post->id);
        if (in && post->outSince >= 0) post->inQuorumSince = now;
        if (!in && post->outSince < 0) post->outSince = now;
        if (in) post->outSince = -1;
        const bool has = post->roster->hasQuorumLease();
        if (!in && has) lose_ = std::max(lose_, now - post->outSince);
        if (!in && has && now - post->outSince > number(s_, "lose_within", 3100)) ++falseAuthority_;
        if (in && !has) {
          regain_ = std::max(regain_, now - std::max(post->inQuorumSince, post->startedAt));
        }
        if (calm > 0) {
          if (!has) ++calmLosses_;
          calmAuthority_ = std::max(calmAuthority_, toMillis(post->roster->quorumContactAge()));
        }
      }
      const bool touching = std::all_of(quorum.begin(), quorum.end(),
                                        [&](const NodeId& core) { return linked(post->id, core); });
      if (!touching || quorum.empty()) post->touchingSince = now;
      if (calm > 0 && touching) {
        if (!post->roster->isUpToDate()) ++calmLosses_;
        calmKnown_ = std::max(calmKnown_, toMillis(post->roster->stalenessAge()));
      }
      // All that was chosen before the moment it names, it knows.
      const double upTo = now - toMillis(post->roster->stalenessAge());
      for (const auto& [sequence, chosen] : chosenAt_) {
        if (chosen < upTo && post->known.sequence < sequence) ++falseClaims_;
      }
      if (post->joins && !post->wasCurrent && post->known.sequence > 0) {
        join_ = std::max(join_, now - post->startedAt);
        post->wasCurrent = post->roster->isUpToDate();
      }
      const double since = std::max(post->touchingSince, post->startedAt);
      for (const auto& [sequence, acked] : ackedAt_) {
        if (post->known.sequence >= sequence || now - since < 3000) continue;
        latest_ = std::max(latest_, now - acked);
        if (now - acked > number(s_, "news_within", 2500)) ++late_;
      }
    }
  }

  void count(const Post& a, const Post& b, std::size_t bytes) {
    (a.zone == b.zone ? nearBytes_ : farBytes_) += static_cast<double>(bytes);
    if (clock_.ms() < number(s_, "burst_from", 0)) return;
    for (const auto* post : {&a, &b}) {
      if (post->core) continue;
      auto& sum = bursts_[{post->id, static_cast<std::int64_t>(clock_.ms() / 500)}];
      sum += static_cast<double>(bytes) / 1024;
      burst_ = std::max(burst_, sum);
    }
  }

  void tick() {
    for (auto& post : posts_) {
      if (!post->up()) continue;
      post->roster->tick();
      if (post->core && post->book->releaseThrottledUpdates(clock_.now()))
        post->roster->notifyUpdate();
    }
    if (knownAt_ <= 0 && std::all_of(posts_.begin(), posts_.end(), [this](const auto& post) {
          return post->up() && post->book->nodes().size() == posts_.size();
        })) {
      knownAt_ = clock_.ms();
    }
    if (!voters_.empty()) {
      for (auto& post : posts_) {
        if (post->up()) repair(*post);
      }
      checkClaims();
    }
    checkLeft();
    clock_.after(100, [this] { tick(); });
  }

  // at MS WHAT NODE ...
  void schedule(const Line& line) {
    const auto w = line.words;
    clock_.after(std::stod(w.at(1)), [this, w] {
      const auto& what = w.at(2);
      if (what == "value") {  // a node learns a newly chosen value, of so many bytes
        newest_ = std::stoull(w.at(4));
        newestAt_ = clock_.ms();
        ++words_;
        RegisterValue value;
        value.sequence = newest_;
        for (int c = 0; c < 3; ++c) value.voters.emplace_back("c" + std::to_string(c));
        if (w.size() > 5)
          value.config = config::ConfigText::create(std::string(std::stoul(w[5]), 'x'));
        learn(at(w.at(3)), value);
      } else if (what == "server") {  // server NODE ID available|draining|gone
        Instance server;
        server.id = InstanceId(w.at(4));
        server.service = ServiceName("svc");
        server.sequence = ++words_;
        server.status =
            w.at(5) == "draining" ? Instance::Status::draining : Instance::Status::available;
        auto& post = at(w.at(3));
        if (w[5] == "gone") {
          post.book->deregister(server.id, clock_.now());
        } else {
          post.book->handleHeartbeat(server, clock_.now());
        }
        post.roster->notifyUpdate();
      } else if (what == "kill") {
        for (std::size_t i = 4; i < w.size(); ++i) {
          auto& post = at(w[i]);
          ++post.life;
          post.roster.reset();
          trouble(post);
          clock_.after(std::stod(w.at(3)), [this, &post] {
            start(post);
            trouble(post);
          });
        }
      } else if (what == "gone") {
        auto& post = at(w.at(3));
        ++post.life;
        post.roster.reset();
      } else if (what == "cut") {  // cut MS A B: silence between the two, or A and all cores
        const auto pairs = cutPairs(w.at(4), w.at(5));
        for (const auto& pair : pairs) cuts_.insert(pair);
        trouble(at(w[4]));
        clock_.after(std::stod(w.at(3)), [this, pairs, w] {
          for (const auto& pair : pairs) cuts_.erase(pair);
          trouble(at(w[4]));
        });
      } else if (what ==
                 "leave") {  // leave NODE ID COPIES KILL-MS: acknowledged, then killed at once
        auto& post = at(w.at(3));
        Instance server;
        server.id = InstanceId(w.at(4));
        server.service = ServiceName("svc");
        server.sequence = 1000;
        server.status = Instance::Status::draining;
        post.book->handleHeartbeat(server, clock_.now());
        post.roster->notifyUpdate();
        acknowledge(post, post.life, server.id, std::stoul(w.at(5)), std::stod(w.at(6)));
      } else if (what == "servers") {  // so many beat to cores from now on
        for (int i = 0; i < std::stoi(w.at(3)); ++i) {
          clock_.after(clock_.uniform(0, 1000), [this, i] { beat(i, 0, 0); });
        }
      } else if (what == "change") {  // change NODE: an operator's, there first
        order(w.at(3), "revision at " + w.at(1), 0);
      } else if (what == "cutoff") {  // cutoff MS both|out|in CORE ...: from the cores not named
        std::set<std::pair<NodeId, NodeId>> pairs;
        const std::set<std::string> off(w.begin() + 5, w.end());
        for (const auto& name : off) {
          for (const auto& post : posts_) {
            if (!post->core || off.contains(post->id.str())) continue;
            if (w.at(4) != "in") pairs.emplace(NodeId(name), post->id);
            if (w.at(4) != "out") pairs.emplace(post->id, NodeId(name));
          }
        }
        oneWay_.insert(pairs.begin(), pairs.end());
        disturbedAt_ = clock_.ms() + std::stod(w.at(3));
        clock_.after(std::stod(w.at(3)), [this, pairs] {
          for (const auto& pair : pairs) oneWay_.erase(pair);
        });
      } else if (what == "join") {  // join NODE SEED ...
        auto& post = at(w.at(3));
        post.seeds.clear();
        for (std::size_t i = 4; i < w.size(); ++i) post.seeds.emplace_back(w[i]);
        start(post);
      } else if (what == "forget") {  // a word is lost from one node's book, as by a fault
        at(w.at(3)).book->loseInstance(InstanceId(w.at(4)));
      } else {
        throw Broken{"no such thing to do: " + what};
      }
    });
  }

  // One server's beats: to one core until that fails, then at once to another.
  void beat(int i, std::size_t core, std::uint64_t sequence) {
    const auto cores = static_cast<std::size_t>(number(s_, "cores", 5));
    if (sequence == 0) core = clock_.random() % cores;
    for (std::size_t tries = 0; !posts_[core]->up() && tries < cores; ++tries) {
      core = clock_.random() % cores;
    }
    auto& post = *posts_[core];
    if (post.up()) {
      Instance server;
      server.id = InstanceId("i-" + std::to_string(100000 + i));
      server.service = ServiceName("svc");
      server.address = "10.0.0." + std::to_string(i) + ":8080";
      server.zone = post.zone;
      server.sequence = ++sequence;
      post.book->handleHeartbeat(server, clock_.now());
      post.roster->notifyUpdate();
    }
    const double wait = post.up() ? 1500 : 100;
    clock_.after(clock_.uniform(wait * 0.9, wait),
                 [this, i, core, sequence] { beat(i, core, sequence + 1); });
  }

  // Once enough cores hold the word it is acknowledged, and the node that heard it is lost.
  void acknowledge(Post& post, int incarnation, const InstanceId& id, std::size_t copies,
                   double killMs) {
    if (post.life != incarnation) return;
    const auto dot = post.book->dotOf(id);
    require(dot.has_value(), "the word is gone from where it was heard");
    if (post.roster->replicaCount(*dot) < copies) {
      clock_.after(2, [this, &post, incarnation, id, copies, killMs] {
        acknowledge(post, incarnation, id, copies, killMs);
      });
      return;
    }
    left_[id] = clock_.ms();
    if (killMs <= 0) return;
    ++post.life;
    post.roster.reset();
    trouble(post);
    clock_.after(killMs, [this, &post] { start(post); });
  }

  // After an acknowledged leaving nobody who has been up for a while may take the server for there.
  void checkLeft() {
    for (const auto& [id, since] : left_) {
      if (clock_.ms() - since < number(s_, "bound", 2000)) continue;
      for (const auto& post : posts_) {
        if (!post->up() || !post->roster->hasPulled() || !inTouch(*post)) continue;
        const auto word = post->book->findInstance(id);
        require(!word || word->status != Instance::Status::available,
                post->id.str() + " has not noticed that " + id.str() + " leaves");
      }
    }
  }

  std::vector<std::pair<NodeId, NodeId>> cutPairs(const std::string& a, const std::string& b) {
    std::vector<std::pair<NodeId, NodeId>> out;
    for (const auto& post : posts_) {
      if ((b == "cores" && post->core) || post->id.str() == b)
        out.emplace_back(NodeId(a), post->id);
    }
    return out;
  }

  const Scenario& s_;
  Clock clock_;
  std::vector<std::unique_ptr<Post>> posts_;
  std::set<std::pair<NodeId, NodeId>> cuts_;
  std::set<std::pair<NodeId, NodeId>> oneWay_;
  std::vector<NodeId> voters_;
  std::set<std::string> faults_;
  std::map<std::uint64_t, double> chosenAt_;
  std::map<std::uint64_t, double> ackedAt_;
  double loss_ = number(s_, "loss", 0);
  double disturbedAt_ = -1e9;  // until then
  double falseClaims_ = 0;
  double falseAuthority_ = 0;
  double late_ = 0;
  double calmLosses_ = 0;
  double latest_ = 0;
  double lose_ = 0;
  double regain_ = 0;
  double join_ = 0;
  double calmAuthority_ = 0;
  double calmKnown_ = 0;
  std::map<NodeId, double> troubled_;
  std::set<std::uint64_t> cancelled_;
  std::uint64_t timers_ = 0;
  std::uint64_t newest_ = 0;
  std::uint64_t words_ = 0;
  double newestAt_ = 0;
  std::map<InstanceId, double> left_;
  double knownAt_ = 0;  // when everybody knew everybody
  double slowest_ = 0;
  double farBytes_ = 0;
  double nearBytes_ = 0;
  std::map<std::pair<NodeId, std::int64_t>, double> bursts_;  // at one node, in half a second
  double burst_ = 0;
};

}  // namespace

void playNews(const Scenario& scenario, std::uint64_t seed, std::map<std::string, double>& out) {
  NewsWorld(scenario, seed).play(out);
}

}  // namespace merlingauge::test
