// Bad input from a seeded generator, beside the cases written by hand in scenarios/heads.txt: to
// the ways in of the real path, to whoever reads a server's answers, and to whoever reads what
// nodes say to each other. Always a clear answer or a closed connection, never a byte to the wrong
// caller, never a crash.
//   hostile_input_test SEEDS
#include <algorithm>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

#include "consensus/acceptor.hpp"
#include "consensus/message_codec.hpp"
#include "gossip/gossip_service.hpp"
#include "loopback/proxy_path.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test {
namespace {

using nlohmann::json;
using Random = std::mt19937_64;
constexpr double kLookMs = 15;     // a bad caller stays for so long
constexpr double kEndMs = 120000;  // whatever waits still, hangs

std::size_t below(Random& random, std::size_t n) { return n == 0 ? 0 : random() % n; }

// One to three changes such as broken or hostile senders make.
std::string spoiled(std::string text, Random& random) {
  static const std::vector<std::string> kBits = {
      "\r",
      "\n",
      "\r\n",
      "\r\n\r\n",
      std::string(1, '\0'),
      " ",
      "\t",
      ":",
      ",",
      ";",
      "\x7f",
      "\xff",
      "0",
      "-1",
      "+",
      "0x",
      "99999999999999999999",
      "18446744073709551616",
      "ffffffffffffffff",
      "Content-Length: 5\r\n",
      "Transfer-Encoding: chunked\r\n",
      "Transfer-Encoding: x\r\n",
      "Connection: Attempt-Id\r\n",
      "Host: other.example\r\n",
      "Attempt-Id: honest\r\n",
      "0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
      "GET /safe/short HTTP/1.1\r\nHost: echo.example\r\nAttempt-Id: x-inside\r\n\r\n"};
  for (auto n = 1 + below(random, 3); n > 0 && !text.empty(); --n) {
    const auto at = below(random, text.size());
    const auto length = 1 + below(random, std::min<std::size_t>(text.size() - at, 40));
    switch (below(random, 8)) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(at, length));
        break;
      case 3:
        text.resize(at);
        break;
      case 4:
        text += text.substr(at);
        break;
      case 5: {  // a whole line twice, or in another place
        const auto from = text.rfind("\r\n", at);
        const auto to = text.find("\r\n", at + 1);
        if (from != std::string::npos && to != std::string::npos && to > from) {
          const auto line = text.substr(from, to - from);
          const auto where = text.find("\r\n", below(random, text.size()));
          if (where != std::string::npos) text.insert(where, line);
        }
        break;
      }
      default:
        text.insert(at, kBits.at(below(random, kBits.size())));
    }
  }
  return text;
}

std::string asChunks(const std::string& body) {
  std::string out;
  for (std::size_t at = 0; at < body.size(); at += 25) {
    const auto part = body.substr(at, 25);
    out += (part.size() == 25 ? "19" : "0E") + std::string("\r\n") + part + "\r\n";
  }
  return out + "0\r\n\r\n";
}

std::string someRequest(const std::string& id, Random& random) {
  const auto head = "Host: echo.example\r\nDeadline-Ms: 900\r\nAttempt-Id: " + id + "\r\n";
  const auto inside = requestTo("/once/short", "x-smuggled");
  switch (below(random, 6)) {
    case 0:
      return "GET /safe/short HTTP/1.1\r\n" + head + "\r\n";
    case 1:
      return "POST /once/short HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" +
             asChunks(requestBody(id));
    case 2:
      return "POST /once/short HTTP/1.1\r\n" + head +
             "Content-Length: " + std::to_string(inside.size()) + "\r\n\r\n" + inside;
    case 3:
      return "POST /once/short HTTP/1.1\r\n" + head +
             "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody";
    case 4:
      return requestTo("/safe/short", id) + requestTo("/once/short", id + "b") +
             requestTo("/safe/short", id + "c");
    default:
      return requestTo("/once/short", id);
  }
}

std::string someAnswer(const std::string& honest, const std::string& id, Random& random) {
  const auto head =
      "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Seal: seal " + id + "\r\n";
  switch (below(random, 7)) {
    case 0:
      return head + "Transfer-Encoding: chunked\r\n\r\n" + asChunks(answerBody(id, false));
    case 1:
      return "HTTP/1.1 102 Processing\r\n\r\n" + honest;
    case 2:
      return "HTTP/1.1 204 No Content\r\nAttempt-Id: " + id + "\r\nResponse-Seal: s\r\n\r\n";
    case 3:
      return honest + answerTo("stray", false);
    case 4:
      return "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + id +
             "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    case 5:
      return head +
             "Connection: close\r\nKeep-Alive: timeout=99999999999\r\nInstance-Load: 1e999,x\r\n"
             "Content-Length: 2\r\n\r\nok";
    default:
      return honest;
  }
}

// Shared by the two plays on sockets.
struct Outcome {
  std::size_t asked = 0;
  std::size_t right = 0;
  std::vector<std::string> wrong;
};

// Bad callers beside an honest one, whose requests all have to be served.
class BadCallers {
 public:
  BadCallers(EventLoop& loop, std::size_t number, bool gateway, int attacks,
             std::function<void()> done)
      : bell_(loop),
        random_(number),
        left_(attacks),
        done_(std::move(done)),
        house_(loop, number, gateway, std::nullopt, nullptr, ledger_),
        gateway_(gateway) {
    caller_ = newCaller();
    next();
  }
  void tell(Outcome& out) {
    for (int i = 0; i < honest_; ++i) {
      const auto id = "honest-" + std::to_string(i);
      ++out.asked;
      out.right += ledger_.statuses[id] == 200 && ledger_.runs[id] == 1 ? 1 : 0;
    }
    for (const auto& [kind, what] : ledger_.broken) {
      // What a bad caller sends may well be a sound request with another body.
      if (kind != "changed" || what.find("of honest-") != std::string::npos) {
        out.wrong.push_back(kind + ": " + what);
      }
    }
    if (ledger_.heads > house_.passedOn()) {
      out.wrong.push_back("servers read " + std::to_string(ledger_.heads) + " requests, " +
                          std::to_string(house_.passedOn()) + " were passed on");
    }
  }

 private:
  std::unique_ptr<Caller> newCaller() {
    auto caller = std::make_unique<Caller>(bell_, house_.way(), ledger_);
    caller->onIdle = [this] {
      if (std::exchange(asking_, false)) bell_.after(Duration(0), [this] { next(); });
    };
    return caller;
  }
  void next() {
    if (left_-- == 0) {
      house_.close();
      done_();
      return;
    }
    // Now and then at the node beside a server: whoever is in reach may call there.
    const bool inside = !gateway_ && below(random_, 3) == 0;
    bad_ = Plug::dial(bell_, inside ? house_.at(0, kIngressAt) : house_.way());
    got_.clear();
    bad_->onData = [this] { got_ += std::exchange(bad_->in, ""); };
    const auto text = spoiled(someRequest("x" + std::to_string(left_), random_), random_);
    const auto cut = below(random_, text.size() + 1);
    bad_->write(std::string_view(text).substr(0, cut));
    bell_.after(fromMillis(1), [this, rest = text.substr(cut)] {
      bad_->write(rest);
      if (below(random_, 4) == 0) bad_->halfClose();
      asking_ = true;
      const bool once = below(random_, 2) == 0;
      if (!caller_->open()) caller_ = newCaller();
      caller_->ask({{once ? "/once/short" : "/safe/short", "honest-" + std::to_string(honest_++)}});
    });
    bell_.after(fromMillis(kLookMs), [this, plug = bad_, text] {
      if (plug == bad_) look(text);
      plug->reset();
    });
  }
  // Whatever came back is answers, whole or still coming.
  void look(const std::string& sent) {
    while (const auto head = headOf(got_)) {
      const bool known = head->status >= 100 && head->status < 600;
      if (!known) ledger_.wrong("no answer", got_.substr(0, 60) + " to " + sent);
      if (!known || got_.size() < head->size + head->body) return;
      got_.erase(0, head->size + head->body);
    }
  }

  EventLoop& bell_;
  Random random_;
  int left_;
  std::function<void()> done_;
  Ledger ledger_;
  House house_;
  bool gateway_;
  std::unique_ptr<Caller> caller_;
  Plug::Ptr bad_;
  std::string got_;
  int honest_ = 0;
  bool asking_ = false;
};

// Servers that answer some requests badly, and the next ones of others well.
class BadServers {
 public:
  BadServers(EventLoop& loop, std::size_t number, bool gateway, int rounds,
             std::function<void()> done)
      : bell_(loop),
        random_(number),
        left_(rounds),
        done_(std::move(done)),
        house_(loop, number, gateway, std::nullopt, nullptr, ledger_) {
    for (const auto& server : house_.standIns()) {
      server->twist = [this](const std::string& id, const std::string& honest) {
        return id[0] == 'x' ? spoiled(someAnswer(honest, id, random_), random_) : honest;
      };
    }
    next();
  }
  void tell(Outcome& out) {
    for (const auto& [id, status] : ledger_.statuses) {
      if (id[0] == 'x') continue;
      ++out.asked;
      out.right += status == 200 ? 1 : 0;
      if (status == 503 && ledger_.runs.contains(id)) out.wrong.push_back("promised: " + id);
    }
    for (const auto& [kind, what] : ledger_.broken) out.wrong.push_back(kind + ": " + what);
  }

 private:
  void next() {
    if (left_-- == 0) {
      house_.close();
      done_();
      return;
    }
    const auto n = std::to_string(left_);
    ask({{"/safe/short", "x" + n}}, [this, n] {
      ask({{"/once/short", "honest-a" + n}}, [this, n] {
        ask({{"/safe/short", "honest-b" + n}}, [this] { next(); });
      });
    });
  }
  void ask(const std::vector<std::pair<std::string, std::string>>& requests,
           std::function<void()> then) {
    bell_.after(Duration(0), [this, requests, then = std::move(then)] {
      if (!caller_ || !caller_->open()) {
        caller_ = std::make_unique<Caller>(bell_, house_.way(), ledger_);
      }
      caller_->onIdle = [then, told = std::make_shared<bool>(false)] {
        if (!std::exchange(*told, true)) then();
      };
      caller_->ask(requests);
    });
  }

  EventLoop& bell_;
  Random random_;
  int left_;
  std::function<void()> done_;
  Ledger ledger_;
  House house_;
  std::unique_ptr<Caller> caller_;
};

template <class Play>
Outcome onSockets(std::size_t plays, int rounds, std::size_t firstAddress) {
  auto& loop = *new EventLoop;  // stays, with what is on it
  auto& all = *new std::vector<std::unique_ptr<Play>>;
  std::size_t running = plays;
  for (std::size_t i = 0; i < plays; ++i) {
    all.push_back(std::make_unique<Play>(loop, firstAddress + i, i % 2 == 0, rounds, [&] {
      if (--running == 0) loop.stop();
    }));
  }
  loop.after(fromMillis(kEndMs), [&loop] { loop.stop(); });
  loop.run();
  Outcome out;
  if (running > 0) out.wrong.push_back(std::to_string(running) + " plays hang");
  for (const auto& play : all) play->tell(out);
  return out;
}

// ---- What nodes say to each other.

// Another value in some place of a document.
void spoilValue(json& document, Random& random) {
  auto* at = &document;
  while (at->is_structured() && !at->empty() && below(random, 5) != 0) {
    auto it = at->begin();
    std::advance(it, static_cast<std::ptrdiff_t>(below(random, at->size())));
    at = &it.value();
  }
  static const std::vector<json> kValues = {nullptr,
                                            true,
                                            -1,
                                            0,
                                            1e300,
                                            -1e300,
                                            0.5,
                                            ~0ULL,
                                            1ULL << 63,
                                            -(1LL << 62),
                                            "",
                                            "7",
                                            "127.0.0.1:x",
                                            std::string(70000, 'a'),
                                            json::array(),
                                            json::object(),
                                            {1, "a"},
                                            {{"a", 1}},
                                            json::array({json::array({json::array()})})};
  const auto what = below(random, kValues.size() + 3);
  if (what < kValues.size()) {
    *at = kValues[what];
  } else if (at->is_array() && what == kValues.size()) {
    for (int i = 0; i < 500; ++i) at->push_back(at->empty() ? json(1) : (*at)[0]);
  } else if (at->is_structured() && !at->empty()) {
    at->erase(at->begin());
  } else {
    *at = json::array({*at});
  }
}

std::string spoiledJson(const std::string& text, Random& random) {
  if (below(random, 4) == 0) return spoiled(text, random);
  auto document = json::parse(text, nullptr, false);
  if (document.is_discarded()) return text;
  for (auto n = 1 + below(random, 3); n > 0; --n) spoilValue(document, random);
  return document.dump();
}

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
  HostileGossip(std::uint64_t seed, std::size_t& received, std::size_t& rejected)
      : clock_(seed), received_(received), rejected_(rejected) {
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
    return clock_.chance(0.5) ? spoiledJson(text, clock_.random) : text;
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
      ++received_;
      recipient.gossip->handlePull(message, [reply](const std::string& text) { reply(text); });
    } catch (const std::exception&) {
      ++rejected_;
      reply(std::nullopt);
    }
  }

  Clock clock_;
  std::size_t& received_;
  std::size_t& rejected_;
  const std::vector<NodeId> ids_ = {NodeId("10.0.0.1"), NodeId("10.0.0.2")};
  gossip::GossipObserver observer_;
  std::array<Side, 2> sides_ = {Side(clock_), Side(clock_)};
};

// The register's messages, through the parsers and the state machine behind them.
void registers(std::uint64_t seed, std::size_t& heard, std::size_t& refused) {
  Random random(seed);
  config::ConfigTextCache textCache;
  consensus::RegisterValue value;
  value.sequence = 3;
  value.epoch = 1;
  value.uniqueId = "10.0.0.1/4";
  value.config = config::ConfigText::create(filled(R"({"revision":1},)", 9000));
  value.configRevision = Revision{1};
  value.history = config::ChangeHistory(Revision{0}).extendedBy({Revision{1}, 77});
  value.voters = {NodeId("10.0.0.1"), NodeId("10.0.0.2"), NodeId("10.0.0.3")};
  textCache.add(config::ConfigText::create(filled(R"({"revision":1},)", 8000)));
  consensus::Acceptor acceptor(NodeId("10.0.0.1"), Incarnation{1}, true);
  for (const auto kind :
       {consensus::RegisterRequest::Kind::prepare, consensus::RegisterRequest::Kind::accept,
        consensus::RegisterRequest::Kind::rejoin, consensus::RegisterRequest::Kind::fetch}) {
    consensus::RegisterRequest ask;
    ask.kind = kind;
    ask.sender = NodeId("10.0.0.2");
    ask.ballot = {5, NodeId("10.0.0.2")};
    ask.value = value;
    ask.cachedTextId = ask.wantedTextId = textCache.find(0) ? 0 : 7;
    consensus::RegisterReply reply;
    reply.granted = true;
    reply.promisedBallot = reply.acceptedBallot = ask.ballot;
    reply.value = value;
    for (const auto& text : {toJson(ask, {ask.cachedTextId}, &textCache).dump(),
                             toJson(reply).dump(), toJson(value).dump()}) {
      const auto document = json::parse(spoiledJson(text, random), nullptr, false);
      if (document.is_discarded()) continue;
      ++heard;
      const auto tried = [&](const auto& read) {
        try {
          read();
        } catch (const std::exception&) {
          ++refused;
        }
      };
      tried([&] { (void)acceptor.handle(consensus::requestFromJson(document, &textCache)); });
      tried([&] {
        (void)toJson(consensus::replyFromJson(document, &textCache),
                     consensus::ReceiverState{0, 0, true, false}, &textCache)
            .dump();
      });
      tried([&] {
        (void)toJson(consensus::valueFromJson(document, &textCache), consensus::ReceiverState{},
                     &textCache)
            .dump();
      });
    }
  }
}

int run(std::uint64_t seeds) {
  std::size_t wrong = 0;
  const auto tell = [&](const char* name, const Outcome& out, double least) {
    std::cout << name << ": " << out.right << " of " << out.asked << " honest requests served, "
              << out.wrong.size() << " violations\n";
    for (std::size_t i = 0; i < std::min<std::size_t>(out.wrong.size(), 20); ++i) {
      std::cout << "  " << out.wrong[i] << "\n";
    }
    const bool enough = static_cast<double>(out.right) >= least * static_cast<double>(out.asked);
    wrong += out.wrong.size() + (enough && out.asked > 0 ? 0 : 1);
  };
  tell("bad callers", onSockets<BadCallers>(16, static_cast<int>(seeds), 0), 1.0);
  tell("bad servers", onSockets<BadServers>(64, static_cast<int>(seeds / 8), 100), 0.8);
  std::size_t heard = 0;
  std::size_t refused = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    HostileGossip(seed, heard, refused).run();
    registers(seed, heard, refused);
  }
  // A few kilobytes that stand for more than any configuration.
  const auto bomb = config::ConfigText::create(std::string(70U << 20, 'x'));
  if (config::ConfigText::fromPacked(bomb->packed(), bomb->id())) ++wrong;
  std::cout << "messages of nodes: " << heard << " read, " << refused << " refused\n";
  return wrong == 0 && refused > 0 && refused < heard * 3 ? 0 : 1;
}

}  // namespace
}  // namespace merlingauge::test

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const int code = merlingauge::test::run(argc > 1 ? std::stoull(argv[1]) : 100);
  std::cout.flush();
  std::_Exit(code);
}
