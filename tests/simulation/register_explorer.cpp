// A model checker over the real Acceptor and Proposer: small scopes, every interleaving to a bound
// of states, told apart by hash, and seeded random walks beyond it. A broken run is shrunk and
// printed as `do` lines, which this world plays again. Time is only the step `timeout`; a lost
// message is one that is never delivered.
#include <algorithm>
#include <cmath>
#include <iostream>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_set>

#include "base/hash.hpp"
#include "consensus/acceptor.hpp"
#include "consensus/acceptor_state_codec.hpp"
#include "consensus/message_codec.hpp"
#include "consensus/proposer.hpp"
#include "consensus/quorum.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test {

using consensus::Acceptor;
using consensus::Ballot;
using consensus::hasMajority;
using consensus::Proposer;
using consensus::RegisterReply;
using consensus::RegisterRequest;
using consensus::RegisterValue;

namespace {

std::uint64_t hashOf(const std::string& text) { return stableHash(text, 0x9e3779b97f4a7c15ULL); }

// Every change appends its mark to the text, so a text is the list of the changes before it.
std::string marks(const RegisterValue& value) { return value.config ? value.config->text() : ""; }
bool hasMark(const RegisterValue& value, const std::string& mark) {
  return marks(value).find(mark + " ") != std::string::npos;
}
void addMark(RegisterValue& next, const std::string& mark) {
  next.config = config::ConfigText::create(marks(next) + mark + " ");
}

struct Message {
  enum class Kind : std::uint8_t { ask, answer, rejoin, told };
  Kind kind = Kind::ask;
  std::size_t who = 0;      // the proposer, or the voter that reads the others
  std::size_t voter = 0;    // the one that answers
  std::uint64_t round = 0;  // of the proposer, or the asker's life
  RegisterRequest ask;
  RegisterReply reply;
  std::string name;
  std::uint64_t hash = 0;
};
using MessagePtr = std::shared_ptr<const Message>;

struct Node {
  Node(Acceptor first, RegisterValue value) : ledge(std::move(first)), known(std::move(value)) {}
  Acceptor ledge;
  std::optional<Acceptor> disk;      // what a crash leaves
  std::vector<Acceptor> votes;       // acceptances that are not on the disk yet
  std::vector<MessagePtr> unsynced;  // answers that wait for the disk
  bool dirty = false;
  int wiped = 0;  // starts without a disk
  RegisterValue known;
  std::set<NodeId> asked;            // while asleep
  std::vector<std::uint64_t> heard;  // while asleep
  std::uint64_t hash = 0;

  void seal() {
    const auto head = consensus::encodeState(ledge.state()).head;
    std::string text = head +
                       (!disk   ? "-"
                        : dirty ? consensus::encodeState(disk->state()).head
                                : "=") +
                       (dirty ? "d" : "") + std::to_string(wiped) + known.uniqueId + "/" +
                       std::to_string(known.epoch);
    for (const auto& node : asked) text += node.str();
    hash = hashOf(text);
    for (const auto& m : unsynced) hash = hash * 31 + m->hash;
    for (const auto h : heard) hash += h * 7;
  }
};

struct ProposingNode {
  std::optional<Proposer> climber;
  std::uint64_t round = 0;
  bool accepting = false;
  int rounds = 0;
  bool done = false;
  std::uint64_t floor = 0;  // sequence that was reported before it began
  std::uint64_t hash = 0;

  void seal() {
    hash = hashOf((climber ? climber->debugState().dump() : "") + std::to_string(rounds) + "/" +
                  std::to_string(floor) + (done ? "d" : ""));
  }
};

// What has happened, for the invariants.
struct History {
  struct Votes {
    std::set<std::size_t> ever;
    std::set<std::size_t> wiped;  // since
  };
  std::map<std::pair<Ballot, std::string>, Votes> accepts;
  std::map<std::uint64_t, RegisterValue> chosen;  // by sequence: chosen, or reported as chosen
  std::set<std::string> acked;
  std::set<std::string> refused;
  std::uint64_t reported = 0;
  std::uint64_t hash = 0;

  void seal() {
    std::string text;
    for (const auto& [key, votes] : accepts) {
      text += std::to_string(key.first.number) + key.first.author.str() + key.second + ":";
      for (const auto n : votes.ever)
        text += (votes.wiped.contains(n) ? "-" : "") + std::to_string(n);
    }
    for (const auto& [sequence, value] : chosen) text += value.uniqueId + ";";
    for (const auto& mark : acked) text += mark + "+";
    for (const auto& mark : refused) text += mark + "-";
    hash = hashOf(text + std::to_string(reported));
  }
};

struct State {
  std::vector<std::shared_ptr<const Node>> nodes;
  std::vector<std::shared_ptr<const ProposingNode>> proposers;
  std::vector<MessagePtr> wire;
  std::shared_ptr<const History> history;
  int wipes = 0;
  int crashes = 0;
  int twice = 0;
  std::string broken;

  [[nodiscard]] std::uint64_t hash() const {
    std::uint64_t h = 0;
    const auto mix = [&h](std::uint64_t more) {
      h = (h ^ more) * 0xff51afd7ed558ccdULL;
      h ^= h >> 32;
    };
    for (const int used : {wipes, crashes, twice}) mix(static_cast<std::uint64_t>(used) + 1);
    for (const auto& n : nodes) mix(n->hash);
    for (const auto& p : proposers) mix(p->hash);
    mix(history->hash);
    std::uint64_t sum = 0;
    for (const auto& m : wire) sum += m->hash * (m->hash | 1);
    mix(sum);
    return h;
  }
};

struct Step {
  enum class Kind : std::uint8_t {
    start,
    deliver,
    again,
    timeout,
    sync,
    crash,
    wipe,
    rejoin,
    news
  };
  Kind kind = Kind::start;
  std::size_t a = 0;  // proposer, node or place on the wire
  std::size_t b = 0;
};
constexpr const char* kStepNames[] = {"start", "deliver", "again",  "timeout", "sync",
                                      "crash", "wipe",    "rejoin", "news"};

struct Found {
  std::string broken;
  std::vector<std::string> steps;
};

class Explorer {
 public:
  explicit Explorer(const Scenario& scenario) : s_(scenario) {
    for (const auto* line : linesOf(s_, "fault")) fault_ = line->words.at(1);
    const auto voters = static_cast<std::size_t>(number(s_, "voters", 3));
    const auto nodes = static_cast<std::size_t>(number(s_, "nodes", static_cast<double>(voters)));
    for (std::size_t i = 1; i <= nodes; ++i) {
      ids_.emplace_back("n" + std::to_string(i));
      if (i <= voters) first_.push_back(ids_.back());
    }
    RegisterValue known;
    known.voters = first_;
    for (std::size_t i = 0; i < nodes; ++i) {
      const bool awake = i < voters || fault("unread");
      auto node =
          std::make_shared<Node>(Acceptor(ids_[i],
                                          awake ? consensus::firstIncarnation(i + 1)
                                                : consensus::nextIncarnation(Incarnation{}, i + 1),
                                          awake),
                                 known);
      node->disk = node->ledge;
      node->seal();
      begin_.nodes.push_back(std::move(node));
    }
    for (const auto& line : s_.lines) {
      const auto& w = line.words;
      // put NODE BASE [MARK], read NODE, change NODE VOTER...; the proposers in this order
      if (w[0] != "put" && w[0] != "read" && w[0] != "change") continue;
      Task task;
      task.kind = w[0];
      task.node = place(w.at(1));
      task.mark = "p" + std::to_string(tasks_.size() + 1);
      if (w[0] == "put") {
        task.base = std::stoll(w.at(2));
        if (w.size() > 3) task.mark = w[3];
      }
      if (w[0] == "change") {
        for (std::size_t i = 2; i < w.size(); ++i) task.voters.emplace_back(w[i]);
        next_ = task.voters;
      }
      tasks_.push_back(std::move(task));
      auto proposer = std::make_shared<ProposingNode>();
      proposer->seal();
      begin_.proposers.push_back(std::move(proposer));
    }
    auto history = std::make_shared<History>();
    history->seal();
    begin_.history = std::move(history);
    wipes_ = static_cast<int>(number(s_, "wipes", 0));
    crashes_ = static_cast<int>(number(s_, "crashes", 0));
    twice_ = static_cast<int>(number(s_, "twice", 0));
    rounds_ = static_cast<int>(number(s_, "rounds", 1));
    syncs_ = number(s_, "syncs", 0) > 0;
    asleepMost_ = (voters - 1) / 2;
  }

  // Exact steps. One that can't be taken is passed over, unless `strict` says no.
  State replay(const std::vector<std::string>& steps, const std::set<std::size_t>& strict,
               std::vector<std::string>* taken) {
    State state = begin_;
    for (std::size_t n = 0; n < steps.size() && state.broken.empty(); ++n) {
      const auto& text = steps[n];
      bool found = false;
      for (const auto& step : stepsOf(state)) {
        if (textOf(state, step) != text) continue;
        take(state, step);
        found = true;
        if (taken != nullptr) taken->push_back(text);
        break;
      }
      require(found || !strict.contains(n), "a step that can't be taken: " + text);
    }
    return state;
  }

  void note(const State& state) {
    acked_ += state.history->acked.empty() ? 0 : 1;
    refused_ += state.history->refused.empty() ? 0 : 1;
  }

  // Breadth first, so that the first broken run is a shortest one.
  std::optional<Found> search(std::size_t most) {
    struct Seen {
      std::uint32_t parent;
      std::uint32_t step;
    };
    std::vector<Seen> seen{{0, 0}};
    std::unordered_set<std::uint64_t> hashes{begin_.hash()};
    std::vector<std::pair<std::uint32_t, State>> level;
    level.emplace_back(0, begin_);
    for (depth_ = 0; !level.empty(); ++depth_) {
      std::vector<std::pair<std::uint32_t, State>> below;
      for (auto& [index, state] : level) {
        const auto steps = stepsOf(state);
        for (std::uint32_t i = 0; i < steps.size(); ++i) {
          State after = state;
          take(after, steps[i]);
          ++tried_;
          if (!after.broken.empty()) {
            std::vector<std::uint32_t> path{i};
            for (auto at = index; at != 0; at = seen[at].parent) path.push_back(seen[at].step);
            states_ = seen.size();
            return Found{after.broken, named({path.rbegin(), path.rend()})};
          }
          if (!hashes.insert(after.hash()).second) continue;
          if (seen.size() >= most) {
            states_ = seen.size();
            return std::nullopt;
          }
          seen.push_back({index, i});
          note(after);
          below.emplace_back(static_cast<std::uint32_t>(seen.size() - 1), std::move(after));
        }
        state = State();  // not wanted any more
      }
      level = std::move(below);
    }
    states_ = seen.size();
    whole_ = true;
    return std::nullopt;
  }

  // Each walk draws its own speeds: some links and steps are slow all along, which leads to deep
  // and lopsided runs sooner than even chances do.
  std::optional<Found> walk(std::uint64_t seed, std::size_t length) {
    std::mt19937_64 random(seed);
    std::map<std::uint64_t, double> speeds;
    const auto speed = [&](std::uint64_t key) {
      const auto [it, fresh] = speeds.emplace(key, 0);
      if (fresh) it->second = std::pow(8.0, static_cast<double>(random() % 4) - 3.0);
      return it->second;
    };
    State state = begin_;
    std::vector<std::uint32_t> path;
    hashes_ = false;
    for (std::size_t n = 0; n < length; ++n) {
      const auto steps = stepsOf(state);
      if (steps.empty()) break;
      std::vector<double> weights;
      for (const auto& step : steps) weights.push_back(speed(classOf(state, step)));
      std::discrete_distribution<std::uint32_t> draw(weights.begin(), weights.end());
      path.push_back(draw(random));
      take(state, steps[path.back()]);
      ++walked_;
      if (!state.broken.empty()) return Found{state.broken, shrink(named(path), state.broken)};
    }
    note(state);
    const auto healed = heal(state);
    if (!healed.empty()) return Found{healed, shrink(named(path), healed)};
    return std::nullopt;
  }

  // All messages under way are lost and nothing fails any more: a read must show what was reported.
  std::string heal(State state) {
    if (number(s_, "heal", 1) < 1) return "";
    state.wire.clear();
    for (int turn = 0; turn < 6; ++turn) {
      for (std::size_t i = 0; i < ids_.size(); ++i) {
        edit(state.nodes[i], [](Node& n) { n.asked.clear(); });
        if (!state.nodes[i]->unsynced.empty()) take(state, {Step::Kind::sync, i, 0});
        if (state.nodes[i]->ledge.rejoinRequest()) take(state, {Step::Kind::rejoin, i, 0});
        while (!state.wire.empty()) take(state, {Step::Kind::deliver, 0, 0});
      }
    }
    RegisterValue known;
    known.voters = first_;
    Proposer reader(
        ids_[0], known, [](const RegisterValue&, RegisterValue&) { return Proposer::Decision{}; },
        99);
    auto sends = reader.start(TimePoint(), fromSeconds(3600));
    for (int round = 0; round < 20 && !reader.result(); ++round) {
      while (!sends.empty()) {
        const auto send = sends.front();
        sends.erase(sends.begin());
        RegisterReply reply;
        edit(state.nodes[place(send.recipient.str())],
             [&](Node& n) { reply = n.ledge.handle(send.request).reply; });
        for (auto& more : reader.handleReply(send.recipient, send.round, reply, TimePoint())) {
          sends.push_back(std::move(more));
        }
      }
      if (!reader.result()) sends = reader.tick(reader.nextWakeUp());
    }
    if (!reader.result() || !reader.result()->value) return "healed, but it can't be read";
    report(state, *reader.result()->value);
    return state.broken;
  }

  // Without a time-out, the later rounds of its proposer have lower numbers.
  static void renumber(std::vector<std::string>& steps, std::size_t at) {
    if (!steps[at].starts_with("timeout ")) return;
    const auto rounds = " " + steps[at].substr(8) + ".";
    for (auto& step : std::span(steps).subspan(at + 1)) {
      const auto where = step.find(rounds);
      if (where == std::string::npos) continue;
      const auto digits = where + rounds.size();
      const auto end = step.find(' ', digits);
      const int round = std::stoi(step.substr(digits, end - digits));
      step.replace(digits, end - digits, std::to_string(std::max(round - 1, 1)));
    }
  }

  std::vector<std::string> shrink(std::vector<std::string> steps, const std::string& broken) {
    const auto breaks = [&](const std::vector<std::string>& tried, std::vector<std::string>* left) {
      const auto state = replay(tried, {}, left);
      const auto now = state.broken.empty() ? heal(state) : state.broken;
      return now.substr(0, 12) == broken.substr(0, 12);
    };
    for (std::size_t size = std::max<std::size_t>(steps.size() / 2, 1); size >= 1;) {
      bool shorter = false;
      for (std::size_t at = 0; at < steps.size();) {
        auto tried = steps;
        const auto end = std::min(at + size, tried.size());
        if (size == 1) renumber(tried, at);
        tried.erase(tried.begin() + static_cast<std::ptrdiff_t>(at),
                    tried.begin() + static_cast<std::ptrdiff_t>(end));
        std::vector<std::string> left;
        if (breaks(tried, &left) && left.size() < steps.size()) {
          steps = std::move(left);
          shorter = true;
        } else {
          at += size;
        }
      }
      if (!shorter && size == 1) break;
      if (!shorter) size /= 2;
    }
    return steps;
  }

  [[nodiscard]] std::map<std::string, double> measured() const {
    return {{"states", static_cast<double>(states_)},
            {"depth", static_cast<double>(depth_)},
            {"whole", whole_ ? 1 : 0},
            {"tried", static_cast<double>(tried_)},
            {"walked", static_cast<double>(walked_)},
            {"acked", static_cast<double>(acked_)},
            {"refused", static_cast<double>(refused_)}};
  }

 private:
  struct Task {
    std::string kind;
    std::size_t node = 0;
    std::int64_t base = 0;
    std::string mark;
    std::vector<NodeId> voters;
  };

  [[nodiscard]] bool fault(const char* name) const { return fault_ == name; }

  [[nodiscard]] std::size_t place(const std::string& name) const {
    const auto it = std::find(ids_.begin(), ids_.end(), NodeId(name));
    require(it != ids_.end(), "no machine " + name);
    return static_cast<std::size_t>(it - ids_.begin());
  }

  template <class T, class Work>
  void edit(std::shared_ptr<const T>& part, Work work) {
    auto copy = std::make_shared<T>(*part);
    work(*copy);
    if (hashes_) copy->seal();
    part = std::move(copy);
  }

  // ---- steps

  std::vector<Step> stepsOf(const State& state) const {
    std::vector<Step> out;
    for (std::size_t i = 0; i < tasks_.size(); ++i) {
      const auto& p = *state.proposers[i];
      if (!p.climber && ready(state, tasks_[i])) out.push_back({Step::Kind::start, i, 0});
    }
    for (std::size_t i = 0; i < state.wire.size(); ++i) {
      out.push_back({Step::Kind::deliver, i, 0});
      if (state.twice < twice_) out.push_back({Step::Kind::again, i, 0});
    }
    for (std::size_t i = 0; i < tasks_.size(); ++i) {
      const auto& p = *state.proposers[i];
      if (p.climber && !p.done && p.rounds < rounds_) out.push_back({Step::Kind::timeout, i, 0});
    }
    std::size_t asleep = 0;
    for (std::size_t i = 0; i < first_.size(); ++i)
      asleep += state.nodes[i]->ledge.recovered() ? 0 : 1;
    for (std::size_t i = 0; i < ids_.size(); ++i) {
      const auto& node = *state.nodes[i];
      if (syncs_ && node.dirty) out.push_back({Step::Kind::sync, i, 0});
      if (state.crashes < crashes_) out.push_back({Step::Kind::crash, i, 0});
      if (state.wipes < wipes_ && (asleep < asleepMost_ || !node.ledge.recovered())) {
        out.push_back({Step::Kind::wipe, i, 0});
      }
      if (!node.ledge.recovered()) {
        for (const auto& other : othersOf(node, ids_[i])) {
          if (node.asked.contains(other)) continue;
          out.push_back({Step::Kind::rejoin, i, 0});
          break;
        }
      }
      for (std::size_t j = 0; j < ids_.size(); ++j) {
        if (node.known.sequence > state.nodes[j]->known.sequence && listens(state, j)) {
          out.push_back({Step::Kind::news, i, j});
        }
      }
    }
    return out;
  }

  // A change of voters begins once all of the new ones are awake.
  [[nodiscard]] bool ready(const State& state, const Task& task) const {
    return std::all_of(task.voters.begin(), task.voters.end(), [&](const NodeId& voter) {
      return state.nodes[place(voter.str())]->ledge.recovered();
    });
  }

  // News matters to those that will yet start from what they know.
  [[nodiscard]] bool listens(const State& state, std::size_t node) const {
    if (!state.nodes[node]->ledge.recovered()) return true;
    for (std::size_t i = 0; i < tasks_.size(); ++i) {
      if (tasks_[i].node == node && !state.proposers[i]->climber) return true;
    }
    return false;
  }

  static std::set<NodeId> othersOf(const Node& node, const NodeId& self) {
    std::set<NodeId> others(node.known.voters.begin(), node.known.voters.end());
    others.insert(node.known.previousVoters.begin(), node.known.previousVoters.end());
    others.erase(self);
    return others;
  }

  std::string textOf(const State& state, const Step& step) const {
    std::string out = std::string(kStepNames[static_cast<int>(step.kind)]) + " ";
    switch (step.kind) {
      case Step::Kind::start:
      case Step::Kind::timeout:
        return out + "p" + std::to_string(step.a + 1);
      case Step::Kind::deliver:
      case Step::Kind::again:
        return out + state.wire[step.a]->name;
      case Step::Kind::news:
        return out + ids_[step.a].str() + " " + ids_[step.b].str();
      default:
        return out + ids_[step.a].str();
    }
  }

  // Steps of one class share their speed in a walk.
  static std::uint64_t classOf(const State& state, const Step& step) {
    auto key = static_cast<std::uint64_t>(step.kind) << 32;
    if (step.kind != Step::Kind::deliver && step.kind != Step::Kind::again) {
      return key | step.a << 8 | step.b;
    }
    const auto& m = *state.wire[step.a];
    key |= static_cast<std::uint64_t>(m.kind) << 24 | static_cast<std::uint64_t>(m.ask.kind) << 16;
    return key | m.who << 8 | m.voter;
  }

  std::vector<std::string> named(const std::vector<std::uint32_t>& path) {
    State state = begin_;
    std::vector<std::string> out;
    for (const auto i : path) {
      const auto step = stepsOf(state).at(i);
      out.push_back(textOf(state, step));
      take(state, step);
    }
    return out;
  }

  void take(State& state, const Step& step) {
    switch (step.kind) {
      case Step::Kind::start:
        start(state, step.a);
        break;
      case Step::Kind::timeout:
        edit(state.proposers[step.a], [&](ProposingNode& p) {
          ++p.rounds;
          send(state, step.a, p, p.climber->tick(p.climber->nextWakeUp()));
        });
        break;
      case Step::Kind::again:
        ++state.twice;
        deliver(state, state.wire[step.a]);
        break;
      case Step::Kind::deliver: {
        const auto message = state.wire[step.a];
        state.wire.erase(state.wire.begin() + static_cast<std::ptrdiff_t>(step.a));
        deliver(state, message);
        break;
      }
      case Step::Kind::sync:
        edit(state.nodes[step.a], [&](Node& n) {
          sync(state, n);
          for (const auto& acceptor : std::exchange(n.votes, {})) hold(state, step.a, acceptor);
        });
        break;
      case Step::Kind::crash:
        ++state.crashes;
        boot(state, step.a);
        break;
      case Step::Kind::wipe: {
        ++state.wipes;
        edit(state.nodes[step.a], [](Node& n) { n.disk.reset(); });
        edit(state.history, [&](History& h) {
          for (auto& [key, votes] : h.accepts) votes.wiped.insert(step.a);
        });
        boot(state, step.a);
        break;
      }
      case Step::Kind::rejoin:
        edit(state.nodes[step.a], [&](Node& n) {
          const auto ask = n.ledge.rejoinRequest();
          for (const auto& other : othersOf(n, ids_[step.a])) {
            if (!n.asked.insert(other).second) continue;
            Message m;
            m.kind = Message::Kind::rejoin;
            m.who = step.a;
            m.voter = place(other.str());
            m.round = ask->incarnation.value;
            m.ask = *ask;
            put(state, std::move(m));
          }
        });
        break;
      case Step::Kind::news: {
        const auto value = state.nodes[step.a]->known;
        edit(state.nodes[step.b], [&](Node& n) { n.known = value; });
        break;
      }
    }
  }

  void start(State& state, std::size_t who) {
    const auto& task = tasks_[who];
    Proposer::ChangeFunction change = [](const RegisterValue&, RegisterValue&) {
      return Proposer::Decision{};
    };
    if (task.kind == "put") {
      change = [&task, revision = static_cast<std::int64_t>(who) + 1](const RegisterValue& current,
                                                                      RegisterValue& next) {
        Proposer::Decision verdict;
        if (hasMark(current, task.mark)) return verdict;
        verdict.kind = Proposer::Decision::Kind::reject;
        if (current.configRevision.value != task.base) return verdict;
        verdict.kind = Proposer::Decision::Kind::write;
        next.configRevision = Revision{revision};
        addMark(next, task.mark);
        return verdict;
      };
    } else if (task.kind == "change") {
      change = [&task](const RegisterValue& current, RegisterValue& next) {
        Proposer::Decision verdict;
        if (current.epoch >= 2) return verdict;
        verdict.kind = Proposer::Decision::Kind::write;
        next.epoch = current.epoch + 1;
        next.previousVoters = current.epoch == 0 ? current.voters : std::vector<NodeId>{};
        next.voters = task.voters;
        addMark(next, current.epoch == 0 ? "both" : "new");
        return verdict;
      };
    }
    edit(state.proposers[who], [&](ProposingNode& p) {
      p.climber.emplace(ids_[task.node], state.nodes[task.node]->known, std::move(change), who + 1);
      p.floor = state.history->reported;
      ++p.rounds;
      send(state, who, p, p.climber->start(TimePoint(), fromSeconds(3600)));
    });
  }

  void send(State& state, std::size_t who, ProposingNode& p,
            const std::vector<Proposer::OutgoingRequest>& sends) {
    for (const auto& one : sends) {
      p.round = one.round;
      p.accepting = one.request.kind == RegisterRequest::Kind::accept;
      if (fault("refusal") && p.accepting && tasks_[who].kind == "put" &&
          !hasMark(one.request.value, tasks_[who].mark)) {
        // Planted: refused as soon as a majority has been read.
        p.done = true;
        refuse(state, who);
        return;
      }
      Message m;
      m.who = who;
      m.voter = place(one.recipient.str());
      m.round = one.round;
      m.ask = one.request;
      put(state, std::move(m));
    }
    if (p.done || !p.climber->result()) return;
    p.done = true;
    const auto& result = *p.climber->result();
    std::erase_if(state.wire, [&](const MessagePtr& m) {
      return m->kind == Message::Kind::answer && m->who == who;
    });
    if (!result.value) return;
    const auto& task = tasks_[who];
    report(state, *result.value);
    if (result.value->sequence < p.floor) state.broken = "a later call saw an older value";
    edit(state.nodes[task.node], [&](Node& n) {
      if (result.value->sequence > n.known.sequence) n.known = *result.value;
    });
    if (task.kind == "put" && result.succeeded) {
      if (!hasMark(*result.value, task.mark)) state.broken = "acknowledged, but not in the value";
      for (std::size_t i = 0; i < tasks_.size(); ++i) {
        if (tasks_[i].kind == "put" && tasks_[i].base == task.base && tasks_[i].mark != task.mark &&
            state.history->acked.contains(tasks_[i].mark)) {
          state.broken = "two changes on one version were both acknowledged";
        }
      }
      edit(state.history, [&](History& h) { h.acked.insert(task.mark); });
    }
    if (task.kind == "put" && !result.succeeded) refuse(state, who);
  }

  void put(State& state, Message m) {
    static constexpr const char* kAsks[] = {"prepare", "accept", "rejoin", "fetch"};
    const bool voter = m.kind == Message::Kind::rejoin || m.kind == Message::Kind::told;
    const bool back = m.kind == Message::Kind::answer || m.kind == Message::Kind::told;
    const auto base = (back ? "answer " : "") + std::string(kAsks[static_cast<int>(m.ask.kind)]) +
                      " " + (voter ? ids_[m.who].str() : "p" + std::to_string(m.who + 1)) + "." +
                      std::to_string(m.round & 0xFFFFFU) + " " + ids_[m.voter].str();
    m.name = base;  // of a life only the luck: short
    const auto taken = [&](const MessagePtr& other) { return other->name == m.name; };
    for (int copy = 2; std::any_of(state.wire.begin(), state.wire.end(), taken); ++copy) {
      m.name = base + " #" + std::to_string(copy);
    }
    if (hashes_) m.hash = hashOf(base + (back ? toJson(m.reply).dump() : toJson(m.ask).dump()));
    state.wire.push_back(std::make_shared<const Message>(std::move(m)));
  }

  void deliver(State& state, const MessagePtr& m) {
    switch (m->kind) {
      case Message::Kind::ask:
      case Message::Kind::rejoin:
        edit(state.nodes[m->voter], [&](Node& n) { answer(state, n, *m); });
        break;
      case Message::Kind::answer:
        edit(state.proposers[m->who], [&](ProposingNode& p) {
          if (p.done) return;
          auto reply = m->reply;
          auto round = m->round;
          if (reply.sameValue) reply.value = RegisterValue{};
          if (fault("lives")) reply.incarnations.clear();
          if (fault("late") && p.accepting && round + 1 == p.round) round = p.round;
          if (fault("one-majority")) reply.value.previousVoters.clear();
          send(state, m->who, p, p.climber->handleReply(ids_[m->voter], round, reply, TimePoint()));
        });
        break;
      case Message::Kind::told:
        if (state.nodes[m->who]->ledge.incarnation().value != m->round) break;
        edit(state.nodes[m->who], [&](Node& n) {
          if (n.ledge.recovered()) return;
          n.heard.push_back(m->hash);
          const bool woken = n.ledge.handleRejoinReply(ids_[m->voter], m->reply, n.known);
          if (n.ledge.incarnation().value != m->round)
            n.asked.clear();  // raised: all are asked again
          if (!woken) return;
          n.heard.clear();
          n.asked.clear();
          n.dirty = true;
          if (!syncs_) sync(state, n);
          hold(state, m->who, n);
        });
        break;
    }
  }

  void answer(State& state, Node& n, const Message& m) {
    const auto out = n.ledge.handle(m.ask);
    Message back = m;
    back.kind = m.kind == Message::Kind::ask ? Message::Kind::answer : Message::Kind::told;
    back.reply = out.reply;
    back.ask.value = RegisterValue{};
    const bool heard = m.kind == Message::Kind::rejoin || !state.proposers[m.who]->done;
    // A vote counts once it is on the disk: what a crash takes away was never given.
    if (m.ask.kind == RegisterRequest::Kind::accept && out.reply.granted) {
      if (!syncs_ || fault("unsynced")) {
        hold(state, m.voter, n);
      } else {
        n.votes.push_back(n.ledge);
      }
    }
    if (!n.ledge.recovered() || (!out.syncBeforeSend && !n.dirty && n.unsynced.empty()) ||
        fault("unsynced")) {
      n.dirty = n.dirty || fault("unsynced");
      const bool rests =
          !n.ledge.recovered() || (n.disk && consensus::encodeState(n.disk->state()).head ==
                                                 consensus::encodeState(n.ledge.state()).head);
      if (!rests && !fault("unsynced")) state.broken = "a reply doesn't rest on synced state";
      if (heard) put(state, std::move(back));
      return;
    }
    n.dirty = true;
    if (heard) n.unsynced.push_back(std::make_shared<const Message>(std::move(back)));
    if (!syncs_) sync(state, n);
  }

  void sync(State& state, Node& n) {
    n.disk = n.ledge;
    n.dirty = false;
    for (const auto& m : n.unsynced) {
      if (m->kind == Message::Kind::told || !state.proposers[m->who]->done) put(state, *m);
    }
    n.unsynced.clear();
  }

  // As the council does it.
  void boot(State& state, std::size_t i) {
    edit(state.nodes[i], [&](Node& n) {
      n.known = RegisterValue{};
      n.known.voters = first_;
      n.unsynced.clear();
      n.votes.clear();
      n.heard.clear();
      n.asked.clear();
      n.dirty = false;
      if (n.disk) {
        const auto stored = consensus::encodeState(n.disk->state());
        n.ledge = Acceptor(ids_[i], consensus::decodeState(stored));
        if (n.ledge.value().epoch > 0) {
          n.known.voters = n.ledge.value().voters;
          n.known.previousVoters = n.ledge.value().previousVoters;
          n.known.epoch = n.ledge.value().epoch;
        }
      } else {
        // Falling numbers: the order of lives must not rest on luck.
        const auto luck = 1000 - 10 * static_cast<std::uint64_t>(++n.wiped) + i + 1;
        n.ledge =
            Acceptor(ids_[i], consensus::nextIncarnation(Incarnation{}, luck), fault("forgetful"));
      }
    });
  }

  // ---- invariants

  void hold(State& state, std::size_t i, const Node& n) { hold(state, i, n.ledge); }

  void hold(State& state, std::size_t i, const Acceptor& acceptor) {
    const RegisterValue value = acceptor.value();
    if (acceptor.acceptedBallot().number == 0 || value.sequence == 0) return;
    std::set<NodeId> have;
    edit(state.history, [&](History& h) {
      auto& votes = h.accepts[{acceptor.acceptedBallot(), value.uniqueId}];
      // A woken one votes for what it has read only if it did so before, or promised nothing since.
      if (acceptor.state().promisedBallot == acceptor.acceptedBallot()) votes.ever.insert(i);
      votes.wiped.erase(i);
      for (const auto node : votes.ever) {
        if (!votes.wiped.contains(node)) have.insert(ids_[node]);
      }
    });
    // Which sets count depends on how far the change of voters is, whatever the value says.
    const bool both = value.epoch == 1 || marks(value).ends_with("new ");
    if (value.epoch < 2 || both) {
      if (!hasMajority(first_, have)) return;
    }
    if ((value.epoch > 0 || both) && !hasMajority(next_, have)) return;
    choose(state, value);
  }

  void report(State& state, const RegisterValue& value) {
    choose(state, value);
    edit(state.history, [&](History& h) { h.reported = std::max(h.reported, value.sequence); });
  }

  void choose(State& state, const RegisterValue& value) {
    if (value.sequence == 0) return;
    const auto& chosen = state.history->chosen;
    const auto same = chosen.find(value.sequence);
    if (same != chosen.end() && same->second.uniqueId == value.uniqueId) return;
    for (const auto& [sequence, other] : chosen) {
      if (sequence == value.sequence) state.broken = "two values were chosen under one sequence";
      const bool older = sequence < value.sequence;
      const auto& longer = older ? value : other;
      const auto& shorter = older ? other : value;
      if (!marks(longer).starts_with(marks(shorter))) {
        state.broken = "a chosen value doesn't extend the one before";
      }
    }
    edit(state.history, [&](History& h) { h.chosen.emplace(value.sequence, value); });
    for (const auto& mark : state.history->refused) {
      if (hasMark(value, mark)) state.broken = "a refused change is in force";
    }
  }

  void refuse(State& state, std::size_t who) {
    const auto mark = tasks_[who].mark;
    edit(state.history, [&](History& h) { h.refused.insert(mark); });
    for (const auto& [sequence, value] : state.history->chosen) {
      if (hasMark(value, mark)) state.broken = "a refused change is in force";
    }
  }

  const Scenario& s_;
  std::string fault_;  // planted on purpose
  std::vector<NodeId> ids_;
  std::vector<NodeId> first_;
  std::vector<NodeId> next_;
  std::vector<Task> tasks_;
  State begin_;
  int wipes_ = 0;
  int crashes_ = 0;
  int twice_ = 0;
  int rounds_ = 1;
  bool syncs_ = false;
  std::size_t asleepMost_ = 1;
  std::size_t states_ = 0;
  std::size_t depth_ = 0;
  std::size_t tried_ = 0;
  std::size_t walked_ = 0;
  std::size_t acked_ = 0;
  std::size_t refused_ = 0;
  bool whole_ = false;
  bool hashes_ = true;
};

}  // namespace

// do STEP: plays these steps; try STEP: passed over where it isn't there to be taken. states N:
// searches breadth first until N states are known. walks N LENGTH [FROM]: random walks, seeded
// by their number. The first broken run ends it.
void playExplore(const Scenario& scenario, std::map<std::string, double>& out) {
  Explorer explorer(scenario);
  std::optional<Found> found;
  std::string by = "the steps given";
  std::vector<std::string> steps;
  std::set<std::size_t> strict;
  for (const auto& line : scenario.lines) {
    if (line.words[0] == "do") strict.insert(steps.size());
    if (line.words[0] == "do" || line.words[0] == "try") {
      steps.push_back(line.text.substr(line.words[0].size() + 1));
    }
  }
  if (!steps.empty()) {
    const auto state = explorer.replay(steps, strict, nullptr);
    explorer.note(state);
    const auto broken = state.broken.empty() ? explorer.heal(state) : state.broken;
    if (!broken.empty()) found = Found{broken, steps};
  }
  const auto most = static_cast<std::size_t>(number(scenario, "states", 0));
  if (!found && most > 0) {
    by = "the search";
    found = explorer.search(most);
  }
  const auto walks = linesOf(scenario, "walks");
  if (!found && !walks.empty()) {
    const auto count = std::stoull(walks[0]->words.at(1));
    const auto length = static_cast<std::size_t>(std::stoull(walks[0]->words.at(2)));
    const auto first = walks[0]->words.size() > 3 ? std::stoull(walks[0]->words[3]) : 1;
    for (std::uint64_t seed = first; seed < first + count && !found; ++seed) {
      by = "walk " + std::to_string(seed);
      found = explorer.walk(seed, length);
    }
  }
  out = explorer.measured();
  out["broken"] = found ? 1 : 0;
  out["steps"] = found ? static_cast<double>(found->steps.size()) : 0;
  if (!found) return;
  std::cout << "broken by " << by << ": " << found->broken << "\n";
  for (const auto& step : found->steps) std::cout << "do " << step << "\n";
}

}  // namespace merlingauge::test
