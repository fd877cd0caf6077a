// The register under faults: voters with disks, proposers that may die, a
// network that delays and loses. The history of calls is checked against one
// order of changes.
#include <algorithm>
#include <iomanip>
#include <memory>
#include <optional>
#include <set>

#include "consensus/acceptor.hpp"
#include "consensus/acceptor_state_codec.hpp"
#include "consensus/message_codec.hpp"
#include "consensus/proposer.hpp"
#include "consensus/quorum.hpp"
#include "consensus/voter_set.hpp"
#include "control/config_change.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test {

using config::ChangeHistory;
using consensus::Acceptor;
using consensus::Proposer;
using consensus::RegisterReply;
using consensus::RegisterRequest;
using consensus::RegisterValue;
using control::ConfigChange;

namespace {

struct Machine {
  NodeId id;
  std::optional<Acceptor> ledge;                       // empty: the process is down
  std::optional<consensus::StoredAcceptorState> disk;  // what a power cut leaves
  bool wiped = false;
  int life = 0;          // of the process; answers to an older one are lost
  double hungUntil = 0;  // disk
  bool full = false;
  double frozenUntil = 0;
  RegisterValue known;
  std::optional<consensus::StoredAcceptorState> snapshot;
  double bootAt = -1;            // until it has caught up
  std::uint64_t bootBehind = 0;  // what had been acknowledged by then
  config::ConfigTextCache shelf;
  double ahead = -1;
  // What it knows of the others, where the voters are kept by duties.
  struct Heard {
    double at = -1;
    double known = 0;
    bool awake = false;
    bool leaving = false;
  };
  std::map<NodeId, Heard> heard;
  double tickedAt = 0;
  double listening = 0;  // it stood still before that
  std::uint64_t saves = 0;
  std::uint64_t savedTo = 0;
  double leaving = -1;  // told to stop then
  double downFor = 0;   // and that long it will be away
  bool changing = false;
  double half = -1;  // a change of voters has been seen half done since
};

struct Call {
  double began = 0;
  double ended = -1;
  bool read = false;
  std::int64_t base = 0;
  std::int64_t revision = 0;  // written or read
  std::uint64_t digest = 0;
  enum class End { open, ok, refused, unclear } end = End::open;
  RegisterValue seen;
  std::function<void()> done;  // once it is known what is chosen
  std::function<void()> then;  // runs once it has ended
};

// An order as an operator sends it, again and again.
struct Sent {
  std::int64_t base = 0;
  std::int64_t revision = 0;
  std::string name;
};

// A few operators as one: `width` orders under way, each sent again until its answer is clear.
struct Operator {
  int left = 0;     // orders yet to be begun
  double lost = 0;  // of the answers
  std::int64_t newest = 0;
  std::vector<Sent> sent;
};

class RegisterWorld {
 public:
  RegisterWorld(const Scenario& scenario, std::uint64_t seed) : s_(scenario), clock_(seed) {
    const int n = static_cast<int>(number(s_, "nodes", 5));
    // Those beyond `running` are machines that are started later.
    running_ = static_cast<int>(number(s_, "running", n));
    const int voters = static_cast<int>(number(s_, "voters", running_));
    for (int i = 1; i <= n; ++i) {
      auto machine = std::make_unique<Machine>();
      machine->id = NodeId("n" + std::to_string(i));
      if (i <= voters) first_.push_back(machine->id);
      machines_.push_back(std::move(machine));
    }
    tolerance_ = static_cast<std::size_t>(number(s_, "tolerance", 0));
    for (auto& m : machines_) {
      if (static_cast<int>(++started_) > running_) continue;
      m->known.voters = first_;
      m->ledge.emplace(m->id, consensus::firstIncarnation(clock_.random()), true);
      m->disk = consensus::encodeState(m->ledge->state());
    }
  }

  void play(std::map<std::string, double>& out) {
    const double length = number(s_, "length", 6000);
    for (const auto* line : linesOf(s_, "at")) schedule(*line);
    for (const auto* line : linesOf(s_, "every")) {  // every MS WHAT ..., in the middle of the run
      const double step = std::stod(line->words.at(1));
      for (double at = step; at < length * 0.8; at += step) {
        Line once = *line;
        once.words[1] = std::to_string(at);
        schedule(once);
      }
    }
    for (const auto* line : linesOf(s_, "random")) {
      const int count = std::stoi(line->words.at(2));
      for (int i = 0; i < count; ++i) {
        clock_.after(clock_.uniform(0, length * 0.8), [this] { randomCall(); });
      }
    }
    for (const auto* line : linesOf(s_, "operator")) {  // operator ORDERS WIDTH LOST
      operator_.left = std::stoi(line->words.at(1));
      operator_.lost = std::stod(line->words.at(3));
      for (int i = 0; i < std::stoi(line->words.at(2)); ++i) nextOrder();
    }
    for (const auto* line : linesOf(s_, "troubles")) {
      clock_.after(2000, [this, left = std::stoi(line->words.at(1))] { trouble(left); });
    }
    tick();
    if (duties()) beat();
    clock_.runUntil(length);
    // Everything heals, and a last read must show it all.
    healed_ = true;
    for (auto& m : machines_) {
      m->hungUntil = m->frozenUntil = 0;
      m->full = false;
      if (!m->ledge && !m->wiped && m->disk) boot(*m);
    }
    cuts_.clear();
    clock_.runUntil(length + 3000);
    // All orders once more, one after the other, in calm.
    operator_.left = 0;
    std::vector<std::shared_ptr<Call>> again;
    for (const auto& order : operator_.sent) {
      again.push_back(startPut(*machines_[pickLive()], order));
      clock_.runUntil(clock_.ms() + 60);
    }
    clock_.runUntil(clock_.ms() + 1000);
    const auto last = startRead(*machines_[pickLive()]);
    clock_.runUntil(clock_.ms() + 3000);
    require(last->end == Call::End::ok, "the register can't be read after everything has healed");
    double broken = 0;
    try {
      check();
    } catch (const Broken&) {
      // The check itself is under test: it must see what a broken register
      // does.
      if (linesOf(s_, "fault").empty()) throw;
      broken = 1;
    }
    double acked = 0;
    double reads = 0;
    double refused = 0;
    double unclear = 0;
    for (const auto& call : calls_) {
      acked += !call->read && call->end == Call::End::ok ? 1 : 0;
      reads += call->read && call->end == Call::End::ok ? 1 : 0;
      refused += call->end == Call::End::refused ? 1 : 0;
      unclear += call->end == Call::End::unclear ? 1 : 0;
    }
    double incarnations = 0;  // most that a voter keeps of one node
    for (const auto& m : machines_) {
      if (!m->ledge) continue;
      const auto head = nlohmann::json::parse(consensus::encodeState(m->ledge->state()).head);
      for (const auto& list : head.at("lives")) {
        incarnations = std::max(incarnations, static_cast<double>(list.size()));
      }
    }
    double behind = 0;
    double awake = 0;
    for (const auto& m : machines_) behind += m->ledge && m->bootAt >= 0 ? 1 : 0;
    for (const auto& m : machines_) awake += m->ledge && m->ledge->recovered() ? 1 : 0;
    out = {{"acked", acked},
           {"reads", reads},
           {"refused", refused},
           {"unclear", unclear},
           {"awake", awake},
           {"voters", static_cast<double>(last->seen.voters.size())},
           {"epoch", static_cast<double>(last->seen.epoch)},
           {"borne", static_cast<double>(borne_)},
           {"lives", incarnations},
           {"boots", boots_},
           {"behind", behind},
           {"catch_up_ms", slowest_},
           {"kilobytes", sentBytes_ / 1024},
           {"versions", static_cast<double>(inForce_.size())},
           {"again_acked", ends(again, Call::End::ok)},
           {"again_refused", ends(again, Call::End::refused)},
           {"again_unclear", ends(again, Call::End::unclear)},
           {"broken", broken}};
  }

 private:
  Machine& machine(const std::string& name) {
    for (auto& m : machines_) {
      if (m->id.str() == name) return *m;
    }
    throw Broken{"no machine " + name};
  }

  // at MS WHAT ...
  void schedule(const Line& line) {
    const auto& w = line.words;
    const double at = std::stod(w.at(1));
    clock_.after(at, [this, w] {
      const auto& what = w.at(2);
      if (what == "put") {  // put NODE BASE REVISION [copy]
        startPut(machine(w.at(3)), {std::stoll(w.at(4)), std::stoll(w.at(5)),
                                    w.size() > 6 ? w[6] : "d" + std::to_string(++names_)});
      } else if (what == "older") {  // all disks as the version of the program before wrote them
        for (auto& m : machines_) {
          if (m->disk) m->disk->head = asBefore(m->disk->head);
        }
      } else if (what == "read") {
        startRead(machine(w.at(3)));
      } else if (what == "kill" || what == "power" || what == "wipe") {
        down(machine(w.at(3)), what == "wipe", std::stod(w.at(4)));
      } else if (what == "snap") {
        machine(w.at(3)).snapshot = machine(w.at(3)).disk;
      } else if (what == "back") {  // back NODE MS: its disk is put back as the snapshot was
        auto& m = machine(w.at(3));
        down(m, true, std::stod(w.at(4)));
        if (m.snapshot) {
          // A fault of its own: the promises since are forgotten, and nobody is asked.
          m.disk = fault("unfenced") ? m.snapshot
                                     : consensus::encodeState(consensus::fenced(
                                           consensus::decodeState(*m.snapshot), clock_.random()));
          m.wiped = false;
        }
      } else if (what == "hang") {
        machine(w.at(3)).hungUntil = clock_.ms() + std::stod(w.at(4));
      } else if (what == "full") {
        auto& m = machine(w.at(3));
        m.full = true;
        clock_.after(std::stod(w.at(4)), [&m] { m.full = false; });
      } else if (what == "freeze") {
        machine(w.at(3)).frozenUntil = clock_.ms() + std::stod(w.at(4));
      } else if (what == "cut") {
        const NodeId id(w.at(3));
        cuts_.insert(id);
        clock_.after(std::stod(w.at(4)), [this, id] { cuts_.erase(id); });
      } else if (what == "voters") {  // voters NODE n1 n2 ...
        std::vector<NodeId> set;
        for (std::size_t i = 4; i < w.size(); ++i) set.emplace_back(w[i]);
        startVoters(machine(w.at(3)), set);
      } else if (what == "gone") {
        auto& m = machine(w.at(3));
        down(m, true, 1e9);
      } else if (what == "start") {
        boot(machine(w.at(3)));
      } else if (what == "leave") {  // leave NODE MS-AWAY, 0: for good
        leave(machine(w.at(3)), std::stod(w.at(4)));
      } else if (what == "bear") {  // bear COUNT MS: so many are frozen, and an
                                    // order is taken
        bear(std::stoul(w.at(3)), std::stod(w.at(4)), "by hand");
      } else {
        throw Broken{"no such thing to do: " + what};
      }
    });
  }

  [[nodiscard]] bool fault(const std::string& name) const {
    const auto lines = linesOf(s_, "fault");
    return !lines.empty() && lines[0]->words.at(1) == name;
  }

  void down(Machine& m, bool wipe, double forMs) {
    ++m.life;
    m.ledge.reset();
    m.wiped = m.wiped || wipe;
    if (wipe) m.disk.reset();
    if (forMs < 1e8) {
      clock_.after(forMs, [this, &m] {
        if (!m.ledge) boot(m);
      });
    }
  }

  void boot(Machine& m) {
    ++m.life;
    m.known = RegisterValue{};
    if (!duties()) m.known.voters = first_;
    if (m.disk) m.ledge.emplace(m.id, consensus::decodeState(*m.disk));
    if (duties()) {
      if (m.ledge) {
        const auto& value = m.ledge->value();
        m.known.epoch = value.epoch;
        m.known.voters = value.epoch == 0 ? first_ : value.voters;
        m.known.previousVoters = value.previousVoters;
      }
      m.heard.clear();
      m.leaving = m.half = -1;
      m.changing = false;
      m.tickedAt = m.listening = clock_.ms();
    }
    // A fault of its own: one that lost its disk votes as if nothing had been.
    if (!m.ledge) {
      m.ledge.emplace(m.id, consensus::nextIncarnation(Incarnation{}, clock_.random()),
                      fault("forgetful"));
    }
    m.shelf = config::ConfigTextCache();
    consensus::cacheTexts(m.shelf, m.ledge->value());
    m.wiped = false;
    m.bootAt = clock_.ms();
    m.bootBehind = ackedSequence_;
    ++boots_;
  }

  void watchCatchUp(Machine& m) {
    if (m.bootAt < 0 || !m.ledge->recovered() || m.ledge->value().sequence < m.bootBehind) return;
    slowest_ = std::max(slowest_, clock_.ms() - m.bootAt);
    m.bootAt = -1;
  }

  std::size_t pickLive() {
    for (int tries = 0; tries < 100; ++tries) {
      const auto i = static_cast<std::size_t>(clock_.random() % machines_.size());
      if (machines_[i]->ledge) return i;
    }
    return 0;
  }

  void randomCall() {
    auto& m = *machines_[pickLive()];
    if (clock_.chance(0.3)) {
      startRead(m);
      return;
    }
    // Operators build on what they last saw acknowledged, sometimes on
    // something older.
    const std::int64_t base =
        clock_.chance(0.85) ? newest_ : std::max<std::int64_t>(0, newest_ - 2);
    startPut(m, {base, base + 1 + static_cast<std::int64_t>(clock_.random() % 3),
                 "d" + std::to_string(++names_)});
  }

  // On top of what was last acknowledged: those under way at once are rivals, some with one number.
  void nextOrder() {
    if (operator_.left <= 0) return;
    --operator_.left;
    const Sent order{operator_.newest,
                     operator_.newest + 1 + static_cast<std::int64_t>(clock_.random() % 3),
                     "o" + std::to_string(++names_)};
    operator_.sent.push_back(order);
    send(order, 0);
    // Two operators with one text; and an order of long ago, as a storm delays it.
    if (clock_.chance(0.1)) startPut(*machines_[pickLive()], order);
    if (clock_.chance(0.3)) {
      startPut(*machines_[pickLive()], operator_.sent[clock_.random() % operator_.sent.size()]);
    }
  }

  void send(const Sent& order, int tries) {
    constexpr int kTries = 30;
    const auto over = std::make_shared<bool>(false);
    const auto sent = startPut(*machines_[pickLive()], order);
    const auto heard = [this, order, tries, over, weak = std::weak_ptr<Call>(sent)](bool silent) {
      if (*over) return;
      *over = true;
      const auto call = weak.lock();
      const bool lost = silent || !call || clock_.chance(operator_.lost);
      if (lost || call->end == Call::End::unclear) {
        const double pause = clock_.uniform(20, 60.0 * (1 + std::min(tries, 5)));
        if (tries < kTries) clock_.after(pause, [this, order, tries] { send(order, tries + 1); });
        return;
      }
      operator_.newest = std::max(operator_.newest, call->seen.configRevision.value);
      clock_.after(clock_.uniform(1, 30), [this] { nextOrder(); });
    };
    sent->then = [heard] { heard(false); };
    clock_.after(1000, [heard] { heard(true); });
  }

  // The record of the program before: the last 32 orders, each with its whole digest.
  static std::string asBefore(const std::string& text) {
    auto head = nlohmann::json::parse(text);
    auto& value = head["value"];
    if (!value.contains("h")) return text;
    const auto& h = value["h"];
    const auto history =
        ChangeHistory::unpack(Revision{h["f"].get<std::int64_t>()}, h["s"].get<std::uint64_t>(),
                              h["a"].get<std::string>());
    constexpr std::size_t kBefore = 32;
    const auto& entries = history->entries();
    auto recent = nlohmann::json::array();
    for (auto i = entries.size() - std::min(entries.size(), kBefore); i < entries.size(); ++i) {
      std::ostringstream hex;
      hex << std::hex << std::setw(16) << std::setfill('0') << entries[i].digest
          << std::string(24, '7');
      recent.push_back(nlohmann::json::array({entries[i].revision.value, hex.str()}));
    }
    value.erase("h");
    value["r"] = std::move(recent);
    return head.dump();
  }

  static double ends(const std::vector<std::shared_ptr<Call>>& calls, Call::End end) {
    return static_cast<double>(
        std::count_if(calls.begin(), calls.end(), [end](const auto& c) { return c->end == end; }));
  }

  // Large enough to be packed, sent as a delta, or only named.
  std::string textOf(const Sent& sent) const {
    std::string out = "[{\"n\":\"" + sent.name + "/" + std::to_string(sent.revision) + "\"}";
    const int items = static_cast<int>(number(s_, "items", 2));
    for (int i = 0; i < items; ++i) out += ",{\"r\":" + std::to_string(i * 7919) + "}";
    return out + "]";
  }

  std::shared_ptr<Call> startRead(Machine& m) {
    auto call = std::make_shared<Call>();
    call->read = true;
    run(m, call, [](const RegisterValue&, RegisterValue&) { return Proposer::Decision{}; });
    return call;
  }

  ConfigChange orderOf(const Sent& sent) const {
    const auto text = textOf(sent);
    return {ConfigChange::Kind::replace, Revision{sent.base},
            control::changeDigest(ConfigChange::Kind::replace, std::to_string(sent.base), text),
            std::make_shared<const nlohmann::json>(nlohmann::json{{"revision", sent.revision}}),
            config::ConfigText::create(text)};
  }

  std::shared_ptr<Call> startPut(Machine& m, const Sent& sent) {
    const auto order = orderOf(sent);
    auto call = std::make_shared<Call>();
    call->base = sent.base;
    call->revision = sent.revision;
    call->digest = order.digest;
    control::ConfigChangeLimits terms;
    // A fault of its own: the last few orders are known, and whatever isn't known is refused.
    const bool forgets = fault("forget_orders");
    const bool hasty = fault("refuse_ahead");
    terms.maxHistoryEntries =
        forgets ? 4 : static_cast<std::size_t>(number(s_, "history", ChangeHistory::kMaxEntries));
    run(m, call, [order, terms, forgets, hasty](const RegisterValue& current, RegisterValue& next) {
      auto verdict =
          control::toProposerDecision(control::decideChange(order, terms, current), next);
      if ((forgets && verdict.error == ErrorKind::changeHistoryTruncated) ||
          (hasty && verdict.error == ErrorKind::baseNotYetCommitted)) {
        verdict.error = ErrorKind::versionConflict;
      }
      return verdict;
    });
    return call;
  }

  void startVoters(Machine& m, const std::vector<NodeId>& set) {
    auto call = std::make_shared<Call>();
    call->read = true;
    run(m, call, [set](const RegisterValue& current, RegisterValue& next) {
      Proposer::Decision verdict;
      // Said again when done already, or out of turn: nothing to do.
      if (current.previousVoters.empty() == set.empty() || current.voters == set) return verdict;
      verdict.kind = Proposer::Decision::Kind::write;
      next.epoch = current.epoch + 1;
      next.previousVoters = current.previousVoters.empty() ? current.voters : std::vector<NodeId>{};
      if (current.previousVoters.empty()) next.voters = set;
      return verdict;
    });
  }

  void run(Machine& m, std::shared_ptr<Call> call, Proposer::ChangeFunction change,
           std::function<void()> done = {}) {
    if (!m.ledge) return;
    call->done = std::move(done);
    call->began = clock_.ms();
    calls_.push_back(call);
    auto proposer = std::make_shared<Proposer>(m.id, m.ledge->proposalBasis(m.known),
                                               std::move(change), clock_.random() >> 1);
    if (number(s_, "news", 0) > 0) proposer->offerCached(nullptr, m.shelf.newestHistory());
    carry(m, call, proposer, proposer->start(clock_.now(), std::chrono::milliseconds(900)));
  }

  void carry(Machine& m, const std::shared_ptr<Call>& call,
             const std::shared_ptr<Proposer>& proposer,
             const std::vector<Proposer::OutgoingRequest>& sends) {
    const int incarnation = m.life;
    for (const auto& send : sends) {
      const auto sent = toJson(send.request, send.receiver, &m.shelf).dump();
      sentBytes_ += static_cast<double>(sent.size());
      deliver(m.id, send.recipient, [this, &m, call, proposer, send, sent, incarnation] {
        auto& voter = machine(send.recipient.str());
        answer(voter, sent, [this, &m, &voter, call, proposer, send, incarnation](RegisterReply r) {
          const auto text =
              toJson(r, consensus::receiverStateOf(send.request), &voter.shelf).dump();
          sentBytes_ += static_cast<double>(text.size());
          deliver(send.recipient, m.id, [this, &m, call, proposer, send, incarnation, text] {
            if (m.life != incarnation || proposer->result()) return;
            // Messages cross the wire as text: what JSON drops must not be missed.
            proposer->addTextsTo(m.shelf);
            RegisterReply reply;
            try {
              reply = consensus::replyFromJson(nlohmann::json::parse(text), &m.shelf);
            } catch (const std::exception&) {
              return;  // the text that it rests on has gone from
                       // the shelf since
            }
            consensus::cacheTexts(m.shelf, reply.value);
            carry(m, call, proposer,
                  proposer->handleReply(send.recipient, send.round, reply, clock_.now()));
          });
        });
      });
    }
    if (proposer->result()) {
      finish(m, *call, *proposer->result());
      return;
    }
    const TimePoint wake = proposer->nextWakeUp();
    clock_.at(wake, [this, &m, call, proposer, incarnation] {
      if (m.life != incarnation || proposer->result()) return;
      carry(m, call, proposer, proposer->tick(clock_.now()));
    });
  }

  void finish(Machine& m, Call& call, const Proposer::Result& result) {
    if (call.ended >= 0) return;
    call.ended = clock_.ms();
    if (!result.value) {
      call.end = Call::End::unclear;
      if (const auto then = std::exchange(call.then, {})) then();
      return;
    }
    call.seen = *result.value;
    const bool clear = responseFor(result.error).status < 500;
    call.end = result.succeeded ? Call::End::ok : clear ? Call::End::refused : Call::End::unclear;
    if (call.read) call.revision = result.value->configRevision.value;
    if (call.done) clock_.after(0, std::exchange(call.done, {}));
    if (result.value->sequence > m.known.sequence) m.known = *result.value;
    consensus::cacheTexts(m.shelf, m.known);
    m.ahead = -1;
    m.half = -1;
    if (call.end == Call::End::ok) {
      ackedSequence_ = std::max(ackedSequence_, result.value->sequence);
    }
    news(m.known);
    if (call.end == Call::End::ok) newest_ = std::max(newest_, call.revision);
    if (const auto then = std::exchange(call.then, {})) then();
  }

  // What was chosen is told on, without its history.
  void news(RegisterValue value) {
    value.history = nullptr;
    for (const auto& owned : machines_) {
      if (number(s_, "news", 0) == 0 || !clock_.chance(number(s_, "news", 0))) continue;
      clock_.after(clock_.uniform(5, 100), [this, &m = *owned, value] {
        if (!m.ledge || m.frozenUntil > clock_.ms()) return;
        if (value.sequence <= m.known.sequence) return;
        m.known = value;
        consensus::cacheTexts(m.shelf, m.known);
      });
    }
  }

  // A message from one machine to another: late, lost or cut off.
  void deliver(const NodeId& from, const NodeId& to, std::function<void()> work) {
    if (from != to) {
      if (cuts_.contains(from) || cuts_.contains(to)) return;
      if (!healed_ && clock_.chance(number(s_, "loss", 0))) return;
    }
    // link FROM TO BEGIN END MS: what is sent in that time takes so much longer; `lost`: never
    // comes.
    double extra = 0;
    for (const auto* line : linesOf(s_, "link")) {
      const auto& w = line->words;
      if (w.at(1) != from.str() || w.at(2) != to.str()) continue;
      if (clock_.ms() < std::stod(w.at(3)) || clock_.ms() >= std::stod(w.at(4))) continue;
      if (w.at(5) == "lost") return;
      extra = std::stod(w.at(5));
    }
    const auto delays = linesOf(s_, "delay");
    const double low = delays.empty() ? 0.5 : std::stod(delays[0]->words.at(1));
    const double high = delays.empty() ? 3 : std::stod(delays[0]->words.at(2));
    double wait = from == to ? 0 : clock_.uniform(low, high) + extra;
    const double frozen = machine(to.str()).frozenUntil - clock_.ms();
    if (frozen > 0) wait += frozen;
    clock_.after(wait, std::move(work));
  }

  // The voter's side with its disk: the reply waits for the sync of what it rests on.
  void answer(Machine& m, const std::string& sent, std::function<void(RegisterReply)> back) {
    if (!m.ledge) return;
    RegisterRequest ask;
    try {
      ask = consensus::requestFromJson(nlohmann::json::parse(sent), &m.shelf);
    } catch (const std::exception&) {
      return;  // it was wiped since it said which text it has: no answer
    }
    // A fault of its own: nothing is told of lives.
    auto out = m.ledge->handle(ask);
    if (fault("untold")) out.reply.incarnations.clear();
    consensus::cacheTexts(m.shelf, m.ledge->value());
    const int incarnation = m.life;
    const auto state = consensus::encodeState(m.ledge->state());
    const auto order = ++m.saves;
    const double hung = std::max(0.0, m.hungUntil - clock_.ms());
    clock_.after(hung + clock_.uniform(0.5, 2),
                 [this, &m, incarnation, state, order, out, back, ask] {
                   if (m.life != incarnation || m.full) return;
                   // A fault of its own: the reply doesn't wait for the disk, which gets it
                   // now and then. The disk takes them in order: a save that is overtaken is
                   // part of the one before it.
                   const bool newer = order > m.savedTo;
                   if (newer && (!fault("unsynced") || clock_.chance(0.1))) {
                     m.disk = state;
                     m.savedTo = order;
                   }
                   if (duties() && ask.kind == RegisterRequest::Kind::accept && out.reply.granted)
                     accepted(m, ask);
                   back(out.reply);
                 });
  }

  // Voters that sleep ask the others; values left half done are finished.
  void tick() {
    for (auto& owned : machines_) {
      auto& m = *owned;
      if (!m.ledge || m.frozenUntil > clock_.ms()) continue;
      if (duties()) keepVoters(m);
      if (!m.ledge) continue;  // it has left
      watchCatchUp(m);
      if (!m.ledge->recovered()) {
        for (const auto& voter : m.known.voters) {
          if (voter == m.id) continue;
          const auto ask = m.ledge->rejoinRequest();
          const int incarnation = m.life;
          deliver(m.id, voter, [this, &m, voter, ask, incarnation] {
            answer(machine(voter.str()), toJson(*ask).dump(),
                   [this, &m, voter, incarnation](RegisterReply r) {
                     deliver(voter, m.id, [&m, voter, incarnation, r] {
                       if (m.life != incarnation || !m.ledge) return;
                       if (m.ledge->handleRejoinReply(voter, r, m.known))
                         consensus::cacheTexts(m.shelf, m.ledge->value());
                     });
                   });
          });
        }
      } else if (m.ledge->value().sequence > m.known.sequence) {
        if (m.ahead < 0) m.ahead = clock_.ms();
        if (clock_.ms() - m.ahead > 300) {
          m.ahead = clock_.ms();
          startRead(m);
        }
      }
    }
    clock_.after(number(s_, "tick", 100), [this] { tick(); });
  }

  // ---- Voters kept by duties: each machine decides by its own view, right or
  // wrong.

  [[nodiscard]] bool duties() const { return tolerance_ > 0; }

  // News: who is there, and the newest chosen value.
  void beat() {
    for (auto& from : machines_) {
      if (!from->ledge || from->frozenUntil > clock_.ms()) continue;
      for (auto& to : machines_) {
        if (to == from) continue;
        deliver(from->id, to->id,
                [this, id = from->id, to = to.get(), awake = from->ledge->recovered(),
                 leaving = from->leaving >= 0, value = from->known] {
                  if (!to->ledge) return;
                  auto& heard = to->heard[id];
                  if (heard.at < 0) heard.known = clock_.ms();
                  heard.at = clock_.ms();
                  heard.awake = awake;
                  heard.leaving = leaving;
                  if (value.sequence > to->known.sequence || to->known.voters.empty()) {
                    to->known = value;
                    to->shelf.add(value.config);
                    to->half = to->ahead = -1;
                  }
                });
      }
    }
    clock_.after(500, [this] { beat(); });
  }

  consensus::VoterSetView viewOf(const Machine& m) {
    consensus::VoterSetView view{m.known.voters, {}, tolerance_};
    const double now = clock_.ms();
    const auto span = [&](double since) { return fromMillis(now - since); };
    std::set<NodeId> all(m.known.voters.begin(), m.known.voters.end());
    for (const auto& [id, heard] : m.heard) all.insert(id);
    all.insert(m.id);
    for (const auto& id : all) {
      consensus::ControlNodeView seen;
      seen.id = id;
      const auto it = m.heard.find(id);
      if (id == m.id) {
        seen.knownFor = Duration::max();
        seen.heardRecently = true;
        seen.recovered = m.ledge->recovered();
        seen.shuttingDown = m.leaving >= 0;
      } else if (it == m.heard.end()) {
        seen.unresponsiveFor = span(m.listening);
      } else {
        seen.knownFor = span(it->second.known);
        seen.unresponsiveFor = span(std::max(it->second.at, m.listening));
        seen.heardRecently = span(it->second.at) <= consensus::kVoterUnresponsiveAfter;
        seen.recovered = it->second.awake;
        seen.shuttingDown = it->second.leaving;
      }
      view.nodes.push_back(seen);
    }
    return view;
  }

  // The rule that is gone: newcomers are added first, and a dead one taken out
  // after ten seconds.
  static std::optional<std::vector<NodeId>> oldRule(const consensus::VoterSetView& view) {
    auto next = view.voters;
    for (const auto& seen : view.nodes) {
      if (!seen.heardRecently || seen.shuttingDown ||
          seen.knownFor < consensus::kNewNodeSettledAfter)
        continue;
      if (std::find(next.begin(), next.end(), seen.id) == next.end()) next.push_back(seen.id);
    }
    for (const auto& seen : view.nodes) {
      if (next != view.voters || next.size() <= consensus::minVoters(view.faultTolerance)) break;
      if (seen.unresponsiveFor > consensus::kVoterLostAfter) std::erase(next, seen.id);
    }
    std::sort(next.begin(), next.end());
    return next == view.voters ? std::nullopt : std::make_optional(next);
  }

  void keepVoters(Machine& m) {
    const double now = clock_.ms();
    if (now - m.tickedAt > 1000) m.listening = now;
    m.tickedAt = now;
    const auto view = viewOf(m);
    const auto next = fault("oldrule") ? oldRule(view) : consensus::nextVoterSet(view);
    if (m.leaving >= 0) {
      const bool needed = !m.known.previousVoters.empty() ||
                          (next && std::find(next->begin(), next->end(), m.id) == next->end());
      if (!needed || fault("oldrule") || now - m.leaving > 3000) {
        down(m, m.downFor == 0, m.downFor == 0 ? 1e9 : m.downFor);
        return;
      }
    }
    if (!m.ledge->recovered() || m.changing || m.known.voters.empty()) return;
    if (!m.known.previousVoters.empty()) {
      if (m.half < 0) m.half = now;
      const auto& voters = m.known.voters;
      const auto place = std::find(voters.begin(), voters.end(), m.id) - voters.begin();
      if (now - m.half > 250 + 40.0 * static_cast<double>(place)) change(m, {});
    } else if (m.leaving < 0 && next && consensus::ownsVoterSetRole(view, m.id)) {
      change(m, *next);
    }
  }

  void change(Machine& m, const std::vector<NodeId>& voters) {
    m.changing = true;
    auto call = std::make_shared<Call>();
    call->read = true;
    const int incarnation = m.life;
    clock_.after(1000, [&m, incarnation] {
      if (m.life == incarnation) m.changing = false;
    });
    run(
        m, call,
        [this, epoch = m.known.epoch, voters](const RegisterValue& current, RegisterValue& next) {
          Proposer::Decision verdict;
          if (current.epoch != epoch || current.previousVoters.empty() == voters.empty())
            return verdict;
          verdict.kind = Proposer::Decision::Kind::write;
          next.epoch = current.epoch + 1;
          next.previousVoters =
              current.previousVoters.empty() ? current.voters : std::vector<NodeId>{};
          // A fault of its own: the new voters take over without the old ones.
          if (fault("onemajority")) next.previousVoters.clear();
          if (!voters.empty()) next.voters = voters;
          return verdict;
        },
        [&m, this] {
          m.changing = false;
          if (!m.known.previousVoters.empty() && m.ledge && !m.changing) change(m, {});
        });
  }

  void leave(Machine& m, double downFor) {
    if (!m.ledge) return;
    m.leaving = clock_.ms();
    m.downFor = downFor;
  }

  // ---- The invariant, checked with every acceptance.

  void problem(const std::string& what) {
    if (problems_.size() < 5) {
      problems_.push_back(what + " (at " + std::to_string(static_cast<int>(clock_.ms())) + " ms)");
    }
  }

  static bool chosenBy(const RegisterValue& value, const std::set<NodeId>& have) {
    return consensus::hasMajority(value.voters, have) &&
           (value.previousVoters.empty() || consensus::hasMajority(value.previousVoters, have));
  }

  // Does each majority of one set meet each of the other?
  static bool meet(const std::vector<NodeId>& a, const std::vector<NodeId>& b) {
    std::size_t common = 0;
    for (const auto& node : a) common += std::find(b.begin(), b.end(), node) != b.end() ? 1 : 0;
    const auto least = [common](const std::vector<NodeId>& set) {
      const std::size_t apart = set.size() - common;
      const std::size_t most = set.size() / 2 + 1;
      return most > apart ? most - apart : 0;
    };
    return least(a) + least(b) > common;
  }

  static bool quorumsMeet(const RegisterValue& a, const RegisterValue& b) {
    for (const auto* x : {&a.voters, &a.previousVoters}) {
      for (const auto* y : {&b.voters, &b.previousVoters}) {
        if (!x->empty() && !y->empty() && meet(*x, *y)) return true;
      }
    }
    return false;
  }

  void accepted(const Machine& m, const RegisterRequest& ask) {
    auto& [value, have] = acceptances_[ask.ballot];
    value = ask.value;
    have.insert(m.id);
    if (!chosenBy(value, have)) return;
    const auto [it, fresh] = chosen_.try_emplace(value.sequence, value);
    if (it->second.uniqueId != value.uniqueId) problem("two values chosen under one sequence");
    if (fresh && value.sequence > 1) {
      const auto before = chosen_.find(value.sequence - 1);
      if (before != chosen_.end() && !quorumsMeet(before->second, value)) {
        problem("two quorums of adjacent sets need not meet");
      }
    }
    const std::size_t fewest = consensus::minVoters(tolerance_);
    grown_ = grown_ || value.voters.size() >= fewest;
    if (grown_ && value.voters.size() < fewest) problem("fewer than 2f + 1 voters");
    held();
  }

  // The newest chosen value is on a majority of the disks of its voters, but
  // for those lost since.
  void held() {
    if (chosen_.empty()) return;
    const auto& newest = chosen_.rbegin()->second;
    for (const auto* set : {&newest.voters, &newest.previousVoters}) {
      if (set->empty()) continue;
      std::size_t holders = 0;
      std::size_t lost = 0;
      for (const auto& id : *set) {
        const auto& m = machine(id.str());
        const auto saved = m.disk ? std::optional(consensus::decodeState(*m.disk)) : std::nullopt;
        if (!saved || !saved->recovered) {
          ++lost;
        } else if (saved->value.sequence >= newest.sequence) {
          ++holders;
        }
      }
      if (holders == 0 || holders + lost < set->size() / 2 + 1) {
        problem("a chosen value is on " + std::to_string(holders) + " disks of " +
                std::to_string(set->size()) + " voters");
      }
    }
  }

  // ---- Troubles, one after the other, never more than may be lost at once.

  std::vector<Machine*> running() {
    std::vector<Machine*> out;
    for (auto& m : machines_) {
      if (m->ledge && m->leaving < 0) out.push_back(m.get());
    }
    std::shuffle(out.begin(), out.end(), clock_.random);
    return out;
  }

  Machine* unused() {
    if (running_ >= static_cast<int>(machines_.size())) return nullptr;
    return machines_[static_cast<std::size_t>(running_++)].get();
  }

  void trouble(int left) {
    if (left == 0) return;
    const auto some = running();
    const std::size_t many = 1 + clock_.random() % tolerance_;
    double over = 0;  // when the last of them is back, from now
    std::string what;
    for (std::size_t i = 0; i < many; ++i) {
      auto& m = *some.at(i);
      const double at = clock_.uniform(0, 300);
      const auto kind = clock_.random() % 6;
      Machine* other = kind < 2 ? unused() : nullptr;
      if (other != nullptr && kind == 0) {  // gone for good, its successor starts a little later
        const double gap = clock_.uniform(300, 1500);
        what += " replace " + m.id.str();
        clock_.after(at, [this, &m] { down(m, true, 1e9); });
        clock_.after(at + gap, [this, other] { boot(*other); });
        if (clock_.chance(0.3)) {  // it loses its disk while joining
          clock_.after(at + gap + 200, [this, other] { down(*other, true, 200); });
        }
        over = std::max(over, at + gap + 400);
      } else if (other != nullptr) {  // planned: the new one first
        what += " planned " + m.id.str();
        clock_.after(at, [this, other] { boot(*other); });
        clock_.after(at + 3000, [this, &m] { leave(m, 0); });
        over = std::max(over, at + 3000);
      } else if (kind == 2) {
        what += " wipe " + m.id.str();
        const double away = clock_.uniform(100, 2000);
        clock_.after(at, [this, &m, away] { down(m, true, away); });
        over = std::max(over, at + away);
      } else if (kind == 3) {
        what += " roll " + m.id.str();
        const double away = clock_.uniform(300, 4000);
        clock_.after(at, [this, &m, away] { leave(m, away); });
        over = std::max(over, at + 3000 + away);
      } else if (kind == 4) {
        what += " freeze " + m.id.str();
        const double away = clock_.uniform(1000, 14000);
        clock_.after(at, [this, &m, away] { m.frozenUntil = clock_.ms() + away; });
        over = std::max(over, at + away);
      } else {
        what += " cut " + m.id.str();
        const double away = clock_.uniform(1000, 20000);
        clock_.after(at, [this, &m, away] {
          cuts_.insert(m.id);
          clock_.after(away, [this, &m] { cuts_.erase(m.id); });
        });
        over = std::max(over, at + away);
      }
    }
    const double catchUp = number(s_, "catch_up", 4000);
    clock_.after(over + catchUp, [this, what, left, catchUp] {
      bear(tolerance_, 2000, what);
      clock_.after(2000 + catchUp, [this, left] { trouble(left - 1); });
    });
  }

  // So many more are frozen, and an order must be taken meanwhile.
  void bear(std::size_t count, double forMs, const std::string& after) {
    auto some = running();
    for (std::size_t i = 0; i < count; ++i) some.at(i)->frozenUntil = clock_.ms() + forMs;
    const auto calls = std::make_shared<std::vector<std::shared_ptr<Call>>>();
    for (int i = 0; i < 3; ++i) {
      auto& through = *some.at(count + static_cast<std::size_t>(i) % (some.size() - count));
      clock_.after(50 + i * 500, [this, &through, calls] { calls->push_back(append(through)); });
    }
    ++borne_;
    clock_.after(forMs - 1, [this, calls, after] {
      const bool taken = std::any_of(calls->begin(), calls->end(),
                                     [](const auto& c) { return c->end == Call::End::ok; });
      if (!taken) problem("no order taken with f more lost, after" + after);
    });
  }

  // An order on whatever is in place.
  std::shared_ptr<Call> append(Machine& m) {
    auto call = std::make_shared<Call>();
    Sent sent{0, 0, "a" + std::to_string(++names_)};
    run(m, call, [this, call, sent](const RegisterValue& current, RegisterValue& next) mutable {
      if (call->digest != 0 && current.history &&
          current.history->contains({Revision{call->revision}, call->digest})) {
        return Proposer::Decision{};
      }
      sent.base = current.configRevision.value;
      sent.revision = sent.base + 1;
      const auto order = orderOf(sent);
      call->base = sent.base;
      call->revision = sent.revision;
      call->digest = order.digest;
      return control::toProposerDecision(control::decideChange(order, {}, current), next);
    });
    return call;
  }

  void check() {
    require(problems_.empty(), problems_.empty() ? "" : problems_.front());
    std::map<std::string, double> acked;  // digest -> when acknowledged
    for (const auto& a : calls_) {
      if (a->read || a->end != Call::End::ok) continue;
      for (const auto& b : calls_) {
        const bool other = !b->read && b->end == Call::End::ok && b->digest != a->digest;
        require(!other || b->base != a->base,
                "two changes on version " + std::to_string(a->base) + " were both acknowledged");
      }
    }
    for (const auto& a : calls_) {
      if (a->end != Call::End::ok && a->end != Call::End::refused) continue;
      for (const auto& b : calls_) {
        // Whatever b shows started after a had ended: it must not be older.
        if (b->began <= a->ended || b->end == Call::End::unclear || b->end == Call::End::open) {
          continue;
        }
        require(b->seen.sequence >= a->seen.sequence, "a later call saw an older value");
        if (a->read || a->end != Call::End::ok) continue;
        const auto& history = b->seen.history;
        const bool there = history && (history->floor().value >= a->revision ||
                                       history->contains({Revision{a->revision}, a->digest}));
        require(there, "an acknowledged change is gone: " + std::to_string(a->revision));
      }
    }
    std::map<std::uint64_t, std::string> chain;
    for (const auto& call : calls_) {
      if (call->end != Call::End::ok && call->end != Call::End::refused) continue;
      auto& stamp = chain[call->seen.sequence];
      require(stamp.empty() || stamp == call->seen.uniqueId,
              "two values chosen under one sequence");
      stamp = call->seen.uniqueId;
    }
    // What was ever in force, by revision: one order each, and each on the one before.
    for (const auto& call : calls_) {
      if (!call->seen.history) continue;
      const ChangeHistory::Entry* before = nullptr;
      for (const auto& entry : call->seen.history->entries()) {
        const auto [made, fresh] = inForce_.emplace(entry.revision.value, entry.digest);
        require(made->second == entry.digest,
                "two orders made version " + std::to_string(entry.revision.value));
        if (fresh && before != nullptr) builtOn_[entry.digest] = before->revision.value;
        before = &entry;
      }
    }
    std::set<std::uint64_t> taken;
    for (const auto& [revision, digest] : inForce_) taken.insert(digest);
    for (const auto& call : calls_) {
      if (call->read) continue;
      // Whichever copy of it was refused, wherever and whenever.
      const bool there = taken.contains(call->digest);
      require(call->end != Call::End::refused || !there, "a refused order is in force");
      const auto base = builtOn_.find(call->digest);
      require(base == builtOn_.end() || base->second == call->base,
              "an order was built on another version than its base");
    }
  }

  const Scenario& s_;
  Clock clock_;
  std::vector<NodeId> first_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<std::shared_ptr<Call>> calls_;
  std::set<NodeId> cuts_;
  std::uint64_t ackedSequence_ = 0;
  double boots_ = 0;
  double slowest_ = 0;
  std::int64_t newest_ = 0;
  int names_ = 0;
  double sentBytes_ = 0;
  Operator operator_;
  std::map<std::int64_t, std::uint64_t> inForce_;  // revision -> order
  std::map<std::uint64_t, std::int64_t> builtOn_;  // order -> revision
  bool healed_ = false;
  int running_ = 0;
  std::size_t started_ = 0;
  std::size_t tolerance_ = 0;
  std::map<consensus::Ballot, std::pair<RegisterValue, std::set<NodeId>>> acceptances_;
  std::map<std::uint64_t, RegisterValue> chosen_;  // by sequence
  std::vector<std::string> problems_;
  bool grown_ = false;
  int borne_ = 0;
};

}  // namespace

void playRegister(const Scenario& scenario, std::uint64_t seed,
                  std::map<std::string, double>& out) {
  RegisterWorld(scenario, seed).play(out);
}

}  // namespace merlingauge::test
