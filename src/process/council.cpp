#include "process/council.hpp"

#include <algorithm>
#include <utility>

namespace merlin::hut {

using cairn::Ask;
using cairn::Climber;
using cairn::Ledge;
using cairn::Reply;
using cairn::Value;
using nlohmann::json;

namespace {
constexpr Span kVoterLimit = std::chrono::seconds(4);  // the climb itself decides earlier
constexpr Span kRejoinLimit = std::chrono::milliseconds(2000);
constexpr double kRoundOfOneCoreMs = 10;  // small machines take longer to answer
constexpr double kRoundMostMs = 500;
constexpr Span kRepairAfter = std::chrono::milliseconds(250);
constexpr Span kRepairPause = std::chrono::seconds(1);
constexpr Span kRepairTurn = std::chrono::milliseconds(40);
constexpr Span kRejoinEvery = std::chrono::milliseconds(250);
constexpr Span kOwnClimb = std::chrono::milliseconds(900);
}  // namespace

Span Council::roundTime() const {
  const double slow = kRoundOfOneCoreMs / std::max(parts_.settings.processor, 0.001);
  return Climber::kRound + fromMillis(std::min(slow, kRoundMostMs));
}

// What nobody waits for may take longer where rounds do.
Span Council::ownClimb() const { return std::max(kOwnClimb, roundTime() * 10); }

struct Council::Climb {
  Climb(NodeId self, Value basis, Climber::Change change, std::uint64_t seed, Span round)
      : climber(std::move(self), std::move(basis), std::move(change), seed, round) {}
  Climber climber;
  Told told;
  Instant began;
  Bell::TimerId timer = 0;
};

Council::Council(Parts parts, std::uint64_t seed)
    : parts_(std::move(parts)), random_(seed), startedAt_(parts_.bell.now()) {
  const auto& settings = parts_.settings;
  if (settings.bootstrap) {
    known_.voters = settings.seeds;
    std::sort(known_.voters.begin(), known_.voters.end());
  }
  if (parts_.cellar == nullptr) return;
  if (auto saved = parts_.cellar->load()) {
    ledge_ =
        Ledge::restore(settings.self, {saved->head, cairn::Signboard::of(std::move(saved->text))});
  }
  if (ledge_) {
    parts_.log("state read back, version " + std::to_string(ledge_->value().revision().value));
    keepOn(shelf_, ledge_->value());
    parts_.evidence.accepted(ledge_->value().sequence, cairn::Evidence::kNever);
    // What it holds was probably chosen: find out as soon as the others can be asked.
    if (ledge_->value().sequence > 0) aheadSince_ = parts_.bell.now() - kRepairAfter;
    // Only the voters are taken from it for now: whether its value was chosen is not known yet.
    if (known_.voters.empty() || known_.epoch < ledge_->value().epoch) {
      known_.voters = ledge_->value().voters;
      known_.before = ledge_->value().before;
      known_.epoch = ledge_->value().epoch;
    }
  } else {
    // Where something was held and can't be read, promises may be among it.
    const bool damaged = parts_.cellar->found() != Cellar::Found::nothing;
    const bool first = settings.bootstrap && !damaged;
    ledge_.emplace(settings.self,
                   first ? cairn::firstLife(random_()) : cairn::laterLife(Life{}, random_()),
                   first);
    parts_.log(damaged ? "damaged disk, the other voters are read before voting"
               : first ? "first start, empty state"
                       : "empty disk, the other voters are read before voting");
  }
  parts_.cellar->start();
}

Value Council::basis() const { return ledge_ ? ledge_->basisOf(known_) : known_; }

const std::string& Council::knownFor(std::uint64_t has) {
  if (knownTextOf_ != known_.sequence) {
    knownTexts_.clear();
    knownTextOf_ = known_.sequence;
  }
  // Texts that this node doesn't have come to the same.
  const std::uint64_t base = has != 0 && shelf_.find(has) ? has : 0;
  auto& text = knownTexts_[base];
  if (text.empty()) text = toJson(known_, {base, 0, false}, &shelf_).dump();
  return text;
}

std::uint64_t Council::textId() const { return known_.config ? known_.config->id() : 0; }

void Council::learn(const Value& value) {
  if (value.stamp == known_.stamp && !known_.history) known_.history = value.history;
  if (value.sequence <= known_.sequence) return;
  if (known_.sequence == 0) {
    const auto since = parts_.bell.now() - startedAt_;
    parts_.log("version " + std::to_string(value.revision().value) + " heard " +
               std::to_string(since.count() / 1000) + " ms after the start");
  }
  known_ = value;
  parts_.evidence.learned(known_.sequence);
  keepOn(shelf_, known_);
  parts_.chosen(known_);
}

// The reply leaves only after everything it rests on is on disk.
void Council::ask(const Ask& ask, std::function<void(std::optional<Reply>)> answer) {
  if (!ledge_) {
    answer(std::nullopt);
    return;
  }
  if (ask.from != parts_.settings.self && ask.kind != Ask::Kind::rejoin) {
    rivalAt_ = parts_.bell.now();
  }
  if (ask.kind == Ask::Kind::accept && ask.value.config &&
      ask.value.config->text().size() > parts_.cellar->mostText()) {
    // Not taken over in memory either: nothing after it could be saved.
    parts_.log("a configuration of " + std::to_string(ask.value.config->text().size()) +
               " bytes is more than the disk is given");
    answer(std::nullopt);
    return;
  }
  auto out = ledge_->ask(ask);
  // A newer value has come since the asker was told of this one.
  if (const auto text = ask.kind == Ask::Kind::fetch ? shelf_.find(ask.text) : nullptr) {
    out.reply.value.config = text;
  }
  keepOn(shelf_, ledge_->value());
  parts_.evidence.accepted(ledge_->value().sequence, Bell::clock());
  const auto done = [this, reply = out.reply, answer = std::move(answer)](bool ok) {
    if (!ok) {
      dirty_ = true;
      parts_.log("the disk refuses: " + parts_.cellar->problem());
      answer(std::nullopt);
      return;
    }
    answer(reply);
  };
  if (out.sync || dirty_) {
    dirty_ = false;
    auto saved = ledge_->save();
    parts_.cellar->save({std::move(saved.head), std::move(saved.text)}, done);
  } else {
    parts_.cellar->after(done);
  }
}

void Council::climb(Climber::Change change, Span limit, Told told) {
  const auto base = basis();
  if (base.voters.empty()) {
    told(Climber::Result{});
    return;
  }
  auto climb = std::make_shared<Climb>(parts_.settings.self, base, std::move(change), random_(),
                                       roundTime());
  climb->told = std::move(told);
  ++climbing_;
  climb->climber.holds(ledge_ ? ledge_->value().config : nullptr, shelf_.newestHistory());
  climb->began = Bell::clock();
  carry(climb, climb->climber.start(parts_.bell.now(), limit));
}

void Council::carry(const std::shared_ptr<Climb>& climb, const std::vector<Climber::Send>& sends) {
  for (const auto& send : sends) {
    const auto back = [this, climb, to = send.to, round = send.round](std::optional<Reply> reply) {
      if (!reply || climb->climber.result()) return;
      keepOn(shelf_, reply->value);
      carry(climb, climb->climber.reply(to, round, *reply, parts_.bell.now()));
    };
    if (send.to == parts_.settings.self) {
      ask(send.ask, back);
      continue;
    }
    parts_.wire.post(send.to, "/register", toJson(send.ask, &shelf_),
                     kVoterLimit + cairn::extraTime(send.ask.value),
                     [this, climb, back](std::optional<json> answer) {
                       if (!answer) return;
                       climb->climber.putOn(shelf_);
                       try {
                         back(cairn::replyFrom(*answer, &shelf_));
                       } catch (const std::exception&) {
                         // A foreign answer counts as none.
                       }
                     });
  }
  settle(climb);
}

void Council::settle(const std::shared_ptr<Climb>& climb) {
  if (const auto& result = climb->climber.result()) {
    if (!climb->told) return;
    parts_.bell.cancel(climb->timer);
    const auto told = std::move(climb->told);
    climb->told = nullptr;
    --climbing_;
    const auto copy = *result;
    if (copy.known) {
      learn(copy.chosen);
      parts_.evidence.read(climb->began);
    }
    told(copy);
    return;
  }
  parts_.bell.cancel(climb->timer);
  climb->timer = parts_.bell.after(climb->climber.wake() - parts_.bell.now(), [this, climb] {
    climb->timer = 0;
    carry(climb, climb->climber.tick(parts_.bell.now()));
  });
}

std::optional<Instant> Council::ownEvidence() const {
  if (!awake()) return std::nullopt;
  return parts_.evidence.own(Bell::clock());
}

void Council::tick() {
  if (!ledge_) return;
  if (!ledge_->awake()) {
    rejoin();
    return;
  }
  repair();
  finishVoters();
}

void Council::rejoin() {
  const Instant now = parts_.bell.now();
  if (now < rejoinAt_) return;
  rejoinAt_ = now + kRejoinEvery;
  auto question = ledge_->rejoinAsk();
  const auto held = known_.config ? known_.config : ledge_->value().config;
  question->text = held ? held->id() : 0;
  std::set<NodeId> others(known_.voters.begin(), known_.voters.end());
  others.insert(known_.before.begin(), known_.before.end());
  others.erase(parts_.settings.self);
  for (const auto& other : others) {
    // Each answer may bring a large text: a second one is not asked for meanwhile.
    if (!rejoinAsked_.insert(other).second) continue;
    parts_.wire.post(other, "/register", toJson(*question), kRejoinLimit,
                     [this, other, held](std::optional<json> answer) {
                       rejoinAsked_.erase(other);
                       if (!answer || ledge_->awake()) return;
                       shelf_.put(held);
                       try {
                         const auto reply = cairn::replyFrom(*answer, &shelf_);
                         if (!ledge_->rejoinReply(other, reply, known_)) return;
                       } catch (const std::exception&) {
                         return;
                       }
                       keepOn(shelf_, ledge_->value());
                       parts_.evidence.accepted(ledge_->value().sequence, cairn::Evidence::kNever);
                       parts_.log("promises read from the other voters, voting again");
                       // A spare may be asked for nothing for long: it need not read again.
                       auto saved = ledge_->save();
                       parts_.cellar->save({std::move(saved.head), std::move(saved.text)},
                                           [this](bool ok) { dirty_ = dirty_ || !ok; });
                     });
  }
}

// Repairs go in the order of the voters, so that they don't take each other's turn.
Span Council::turn() const {
  const auto& voters = known_.voters;
  const auto place = std::find(voters.begin(), voters.end(), parts_.settings.self) - voters.begin();
  return place * std::max(kRepairTurn, roundTime() / 2);
}

// A value accepted here whose fate nobody has told: find out, and finish it.
void Council::repair() {
  const Instant now = parts_.bell.now();
  if (ledge_->value().sequence <= known_.sequence) {
    aheadSince_.reset();
    repairPause_ = Span(0);
    return;
  }
  if (!aheadSince_) aheadSince_ = now;
  if (repairing_ || now - *aheadSince_ < kRepairAfter) return;
  // Somebody else is at it: two at once only take each other's turn.
  if (rivalAt_ != Instant() && now - rivalAt_ < 2 * roundTime()) return;
  if (now - *aheadSince_ < kRepairAfter + turn() + repairPause_) return;
  repairing_ = true;
  climb([](const Value&, Value&) { return Climber::Verdict{}; }, ownClimb(),
        [this](const Climber::Result& result) {
          repairing_ = false;
          aheadSince_ = parts_.bell.now();
          // A side without a majority need not raise the ballots all the time.
          if (!result.known) repairPause_ = std::min(kRepairPause, repairPause_ * 2 + kRepairAfter);
        });
}

bool Council::busy() const {
  if (climbing_ > 0 || !known_.before.empty()) return true;
  return ledge_ && ledge_->awake() && ledge_->value().sequence > known_.sequence;
}

void Council::keepVoters(const cairn::VoterView& view) {
  if (changingVoters_ || known_.voters.empty()) return;
  if (!known_.before.empty()) {
    changeVoters({});
    return;
  }
  const auto next = cairn::nextVoters(view);
  if (!next) return;
  std::string text = "voters to be: " + std::to_string(next->size());
  const auto tell = [&text](const char* what, const std::vector<NodeId>& from,
                            const std::vector<NodeId>& without) {
    for (const auto& node : from) {
      if (std::find(without.begin(), without.end(), node) != without.end()) continue;
      text += what + node.str();
    }
  };
  tell(", out ", view.voters, *next);
  tell(", in ", *next, view.voters);
  parts_.log(text);
  changeVoters(*next);
}

// Whoever began a change of voters may be gone: its second value needs no decision, so any voter
// may write it, in turn.
void Council::finishVoters() {
  if (known_.before.empty()) return;
  const Instant now = parts_.bell.now();
  if (halfEpoch_ != known_.epoch) {
    halfEpoch_ = known_.epoch;
    halfSince_ = now;
  }
  if (!changingVoters_ && now - halfSince_ >= kRepairAfter + turn()) changeVoters({});
}

// One of the two values of a change: first the new voters with the old ones, where both must agree,
// and then, with no voters named, the new ones alone.
void Council::changeVoters(const std::vector<NodeId>& voters) {
  changingVoters_ = true;
  climb(
      [epoch = known_.epoch, voters](const Value& current, Value& next) {
        Climber::Verdict verdict;
        // Somebody else was faster, or there is nothing left to finish.
        if (current.epoch != epoch || current.before.empty() == voters.empty()) return verdict;
        verdict.kind = Climber::Verdict::Kind::put;
        next.epoch = current.epoch + 1;
        next.before = voters.empty() ? std::vector<NodeId>{} : current.voters;
        if (!voters.empty()) next.voters = voters;
        return verdict;
      },
      ownClimb(),
      [this](const Climber::Result& result) {
        changingVoters_ = false;
        if (!result.ok || !result.known) return;
        parts_.log("voters: " + std::to_string(result.chosen.voters.size()) + ", epoch " +
                   std::to_string(result.chosen.epoch));
        if (!known_.before.empty()) changeVoters({});
      });
}

}  // namespace merlin::hut
