// News among many nodes: guestbooks and rosters on a simulated network. How long does a word take
// to reach everybody, through kills, cuts and restarts, and at what cost in bytes between zones?
#include <algorithm>
#include <memory>
#include <optional>
#include <set>

#include "process/roster.hpp"
#include "runner.hpp"

namespace merlin::test {

using cairn::Guestbook;
using cairn::Server;
using cairn::Value;
using hut::Roster;
using nlohmann::json;

namespace {

struct Post {
  NodeId id;
  ZoneName zone;
  bool core = false;
  int life = 0;  // odd: up
  Value known;
  std::string text;
  std::vector<NodeId> seeds;
  std::unique_ptr<Guestbook> book;
  std::unique_ptr<Roster> roster;
  std::uint64_t lowest = 0;  // what it must not fall below within a life
  Instant busyUntil;         // with messages that came before
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
    for (auto& post : posts_) start(*post);
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
    out["servers"] = static_cast<double>(posts_[0]->book->usable(ServiceName("svc")).size());
    out["known_ms"] = knownAt_ > 0 ? knownAt_ : length;
    out["near_kb"] = nearBytes_ / 1024;
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
    post.known = Value{};
    post.lowest = 0;
    // A life number that may be lower than the last one: the machine's steady clock began anew.
    post.book = std::make_unique<Guestbook>(
        cairn::NodeFacts{post.id, post.zone, post.core, false, false, 0, Life{}},
        Life{clock_.random() % 1000 + 1});
    Roster::World world;
    world.now = [this] { return clock_.now(); };
    world.after = [this, &post, life = post.life](Span wait, std::function<void()> work) {
      const auto id = ++timers_;
      clock_.at(clock_.now() + wait, [this, &post, life, id, work = std::move(work)] {
        if (cancelled_.erase(id) == 0 && post.life == life) work();
      });
      return id;
    };
    world.cancel = [this](std::uint64_t id) { cancelled_.insert(id); };
    world.post = [this, &post](const NodeId& to, const json& body, Span limit,
                               std::function<void(std::optional<json>)> answer) {
      send(post, to, body.dump(), limit, std::move(answer));
    };
    post.roster = std::make_unique<Roster>(Roster::Parts{
        world, post.id, post.zone, [&post]() -> const std::vector<NodeId>& { return post.seeds; },
        *post.book, [&post]() -> const Value& { return post.known; },
        [&post](std::uint64_t) -> const std::string& {
          post.text = toJson(post.known).dump();
          return post.text;
        },
        [](const json& j) { return cairn::valueFrom(j); },
        [this, &post](const Value& value) { learn(post, value); }, [] {}, post.core,
        number(s_, "edges", 0) == 0, fromMillis(number(s_, "pace", 10)),
        fromMillis(number(s_, "let_in", 3)), Span(0)});
    if (!post.core) return;
    // As a restarted node does: what others may know already can wait.
    post.book->trickle(clock_.now() + fromMillis(post.life > 1 ? 1500 : 0));
    post.roster->onMet = [this, &post](const NodeId& node) {
      if (at(node.str()).core) return;
      post.book->trickle(clock_.now());
      if (post.book->settle(clock_.now())) post.roster->news();
    };
  }

  void learn(Post& post, const Value& value) {
    if (value.sequence <= post.known.sequence) return;
    post.known = value;
    require(value.sequence >= post.lowest, "a node went back");
    post.lowest = value.sequence;
    if (value.sequence == newest_ && inTouch(post)) {
      slowest_ = std::max(slowest_, clock_.ms() - newestAt_);
    }
    post.roster->news();
  }

  bool inTouch(const Post& post) const {
    const auto it = troubled_.find(post.id);
    return it == troubled_.end() || clock_.ms() - it->second > 3000;
  }

  void trouble(const Post& post) { troubled_[post.id] = clock_.ms(); }

  bool linked(const NodeId& a, const NodeId& b) const {
    return !cuts_.contains({a, b}) && !cuts_.contains({b, a});
  }

  void send(Post& from, const NodeId& to, const std::string& body, Span limit,
            std::function<void(std::optional<json>)> answer) {
    auto done = std::make_shared<std::function<void(std::optional<json>)>>(std::move(answer));
    const auto finish = [this, &from, life = from.life, done](std::optional<json> a) {
      if (!*done || from.life != life) return;
      const auto tell = std::move(*done);
      *done = nullptr;
      tell(std::move(a));
    };
    clock_.at(clock_.now() + limit, [finish] { finish(std::nullopt); });
    auto& target = at(to.str());
    count(from, target, body.size() + 240);
    const double delay = clock_.uniform(0.2, 3);
    clock_.after(delay, [this, &from, &target, body, finish, delay] {
      if (linked(from.id, target.id)) arrive(from, target, body, finish, delay);
    });
  }

  // A small machine takes its time over each message, in the order in which they come.
  void work(Post& post, std::size_t bytes, std::function<void()> then) {
    const auto cost = fromMillis(number(s_, post.core ? "core_ms" : "node_ms", 0) *
                                 (1 + static_cast<double>(bytes) / 32768));
    if (cost <= Span(0)) {
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
      target.roster->serve(
          json::parse(body), [this, &from, &target, finish](const std::string& text) {
            count(target, from, text.size() + 200);
            work(target, text.size(), [this, &from, &target, text, finish] {
              clock_.after(clock_.uniform(0.2, 3), [this, &from, &target, text, finish] {
                if (!linked(from.id, target.id)) return;
                work(from, text.size(), [finish, text] { finish(json::parse(text)); });
              });
            });
          });
    });
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
      if (post->core && post->book->settle(clock_.now())) post->roster->news();
    }
    if (knownAt_ <= 0 && std::all_of(posts_.begin(), posts_.end(), [this](const auto& post) {
          return post->up() && post->book->nodes().size() == posts_.size();
        })) {
      knownAt_ = clock_.ms();
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
        Value value;
        value.sequence = newest_;
        for (int c = 0; c < 3; ++c) value.voters.emplace_back("c" + std::to_string(c));
        if (w.size() > 5) value.config = cairn::Signboard::of(std::string(std::stoul(w[5]), 'x'));
        learn(at(w.at(3)), value);
      } else if (what == "server") {  // server NODE ID available|draining|gone
        Server server;
        server.id = InstanceId(w.at(4));
        server.service = ServiceName("svc");
        server.sequence = ++words_;
        server.status =
            w.at(5) == "draining" ? Server::Status::draining : Server::Status::available;
        auto& post = at(w.at(3));
        if (w[5] == "gone") {
          post.book->deregister(server.id, clock_.now());
        } else {
          post.book->beat(server, clock_.now());
        }
        post.roster->news();
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
        Server server;
        server.id = InstanceId(w.at(4));
        server.service = ServiceName("svc");
        server.sequence = 1000;
        server.status = Server::Status::draining;
        post.book->beat(server, clock_.now());
        post.roster->news();
        acknowledge(post, post.life, server.id, std::stoul(w.at(5)), std::stod(w.at(6)));
      } else if (what == "servers") {  // so many beat to cores from now on
        for (int i = 0; i < std::stoi(w.at(3)); ++i) {
          clock_.after(clock_.uniform(0, 1000), [this, i] { beat(i, 0, 0); });
        }
      } else if (what == "forget") {  // a word is lost from one node's book, as by a fault
        at(w.at(3)).book->drop(InstanceId(w.at(4)));
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
      Server server;
      server.id = InstanceId("i-" + std::to_string(100000 + i));
      server.service = ServiceName("svc");
      server.address = "10.0.0." + std::to_string(i) + ":8080";
      server.zone = post.zone;
      server.sequence = ++sequence;
      post.book->beat(server, clock_.now());
      post.roster->news();
    }
    const double wait = post.up() ? 1500 : 100;
    clock_.after(clock_.uniform(wait * 0.9, wait),
                 [this, i, core, sequence] { beat(i, core, sequence + 1); });
  }

  // Once enough cores hold the word it is acknowledged, and the node that heard it is lost.
  void acknowledge(Post& post, int life, const InstanceId& id, std::size_t copies, double killMs) {
    if (post.life != life) return;
    const auto dot = post.book->dotOf(id);
    require(dot.has_value(), "the word is gone from where it was heard");
    if (post.roster->holders(*dot) < copies) {
      clock_.after(2, [this, &post, life, id, copies, killMs] {
        acknowledge(post, life, id, copies, killMs);
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
        if (!post->up() || !post->roster->everPulled() || !inTouch(*post)) continue;
        const auto word = post->book->find(id);
        require(!word || word->status != Server::Status::available,
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

}  // namespace merlin::test
