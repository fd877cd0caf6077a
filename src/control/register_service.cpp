#include "control/register_service.hpp"

#include <algorithm>
#include <utility>

namespace merlingauge::control {

using consensus::Acceptor;
using consensus::Proposer;
using consensus::RegisterReply;
using consensus::RegisterRequest;
using consensus::RegisterValue;
using nlohmann::json;

namespace {
constexpr Duration kVoterLimit = std::chrono::seconds(4);  // the climb itself decides earlier
constexpr Duration kRejoinLimit = std::chrono::milliseconds(2000);
constexpr double kRoundOfOneCoreMs = 10;  // small machines take longer to answer
constexpr double kRoundMostMs = 500;
constexpr Duration kRepairAfter = std::chrono::milliseconds(250);
constexpr Duration kRepairPause = std::chrono::seconds(1);
constexpr Duration kRepairTurn = std::chrono::milliseconds(40);
constexpr Duration kRejoinEvery = std::chrono::milliseconds(250);
constexpr Duration kOwnClimb = std::chrono::milliseconds(900);
}  // namespace

Duration RegisterService::roundTimeout() const {
  const double slow = kRoundOfOneCoreMs / std::max(dependencies_.settings.cpuCores, 0.001);
  return Proposer::kRoundTimeout + fromMillis(std::min(slow, kRoundMostMs));
}

// What nobody waits for may take longer where rounds do.
Duration RegisterService::ownProposalTimeout() const {
  return std::max(kOwnClimb, roundTimeout() * 10);
}

struct RegisterService::Proposal {
  Proposal(NodeId self, RegisterValue basis, Proposer::ChangeFunction change, std::uint64_t seed,
           Duration round)
      : proposer(std::move(self), std::move(basis), std::move(change), seed, round) {}
  Proposer proposer;
  ProposalCallback onResult;
  TimePoint startedAt;
  event::EventLoop::TimerId timer = 0;
};

RegisterService::RegisterService(Dependencies parts, std::uint64_t seed)
    : dependencies_(std::move(parts)), random_(seed), startedAt_(dependencies_.loop.now()) {
  const auto& settings = dependencies_.settings;
  if (settings.bootstrap) {
    committedValue_.voters = settings.seeds;
    std::sort(committedValue_.voters.begin(), committedValue_.voters.end());
  }
  if (dependencies_.store == nullptr) return;
  if (auto saved = dependencies_.store->load()) {
    acceptor_ = Acceptor::restore(
        settings.nodeId, {saved->head, config::ConfigText::create(std::move(saved->configText))});
  }
  if (acceptor_) {
    dependencies_.log("state read back, version " +
                      std::to_string(acceptor_->value().revision().value));
    consensus::cacheTexts(textCache_, acceptor_->value());
    dependencies_.stalenessBound.onAccepted(acceptor_->value().sequence,
                                            consensus::StalenessBound::kNever);
    // What it holds was probably chosen: find out as soon as the others can be asked.
    if (acceptor_->value().sequence > 0) aheadSince_ = dependencies_.loop.now() - kRepairAfter;
    // Only the voters are taken from it for now: whether its value was chosen is not known yet.
    if (committedValue_.voters.empty() || committedValue_.epoch < acceptor_->value().epoch) {
      committedValue_.voters = acceptor_->value().voters;
      committedValue_.previousVoters = acceptor_->value().previousVoters;
      committedValue_.epoch = acceptor_->value().epoch;
    }
  } else {
    // Where something was held and can't be read, promises may be among it.
    const bool damaged =
        dependencies_.store->loadStatus() != storage::DurableStore::LoadStatus::empty;
    const bool first = settings.bootstrap && !damaged;
    acceptor_.emplace(settings.nodeId,
                      first ? consensus::firstIncarnation(random_())
                            : consensus::nextIncarnation(Incarnation{}, random_()),
                      first);
    dependencies_.log(damaged ? "damaged disk, the other voters are read before voting"
                      : first ? "first start, empty state"
                              : "empty disk, the other voters are read before voting");
  }
  dependencies_.store->start();
}

RegisterValue RegisterService::basis() const {
  return acceptor_ ? acceptor_->proposalBasis(committedValue_) : committedValue_;
}

const std::string& RegisterService::committedValueJson(std::uint64_t has) {
  if (committedJsonSequence_ != committedValue_.sequence) {
    committedJson_.clear();
    committedJsonSequence_ = committedValue_.sequence;
  }
  // Texts that this node doesn't have come to the same.
  const std::uint64_t base = has != 0 && textCache_.find(has) ? has : 0;
  auto& text = committedJson_[base];
  if (text.empty()) text = toJson(committedValue_, {base, 0, false}, &textCache_).dump();
  return text;
}

std::uint64_t RegisterService::textId() const {
  return committedValue_.config ? committedValue_.config->id() : 0;
}

void RegisterService::learn(const RegisterValue& value) {
  if (value.uniqueId == committedValue_.uniqueId && !committedValue_.history)
    committedValue_.history = value.history;
  if (value.sequence <= committedValue_.sequence) return;
  if (committedValue_.sequence == 0) {
    const auto since = dependencies_.loop.now() - startedAt_;
    dependencies_.log("version " + std::to_string(value.revision().value) + " heard " +
                      std::to_string(since.count() / 1000) + " ms after the start");
  }
  committedValue_ = value;
  dependencies_.stalenessBound.onLearned(committedValue_.sequence);
  consensus::cacheTexts(textCache_, committedValue_);
  dependencies_.onCommitted(committedValue_);
}

// The reply leaves only after everything it rests on is on disk.
void RegisterService::handleRequest(const RegisterRequest& ask,
                                    std::function<void(std::optional<RegisterReply>)> answer) {
  if (!acceptor_) {
    answer(std::nullopt);
    return;
  }
  if (ask.sender != dependencies_.settings.nodeId && ask.kind != RegisterRequest::Kind::rejoin) {
    rivalSeenAt_ = dependencies_.loop.now();
  }
  if (ask.kind == RegisterRequest::Kind::accept && ask.value.config &&
      ask.value.config->text().size() > dependencies_.store->maxTextBytes()) {
    // Not taken over in memory either: nothing after it could be saved.
    dependencies_.log("a configuration of " + std::to_string(ask.value.config->text().size()) +
                      " bytes is more than the disk is given");
    answer(std::nullopt);
    return;
  }
  auto out = acceptor_->handle(ask);
  // A newer value has come since the asker was told of this one.
  if (const auto text =
          ask.kind == RegisterRequest::Kind::fetch ? textCache_.find(ask.textId) : nullptr) {
    out.reply.value.config = text;
  }
  consensus::cacheTexts(textCache_, acceptor_->value());
  dependencies_.stalenessBound.onAccepted(acceptor_->value().sequence,
                                          event::EventLoop::readClock());
  const auto done = [this, reply = out.reply, answer = std::move(answer)](bool ok) {
    if (!ok) {
      unsaved_ = true;
      dependencies_.log("the disk refuses: " + dependencies_.store->error());
      answer(std::nullopt);
      return;
    }
    answer(reply);
  };
  if (out.syncBeforeSend || unsaved_) {
    unsaved_ = false;
    auto saved = acceptor_->persistedState();
    dependencies_.store->save({std::move(saved.head), std::move(saved.configText)}, done);
  } else {
    dependencies_.store->afterPendingWrites(done);
  }
}

void RegisterService::propose(Proposer::ChangeFunction change, Duration limit,
                              ProposalCallback told) {
  const auto base = basis();
  if (base.voters.empty()) {
    told(Proposer::Result{});
    return;
  }
  auto climb = std::make_shared<Proposal>(dependencies_.settings.nodeId, base, std::move(change),
                                          random_(), roundTimeout());
  climb->onResult = std::move(told);
  ++activeProposals_;
  climb->proposer.offerCached(acceptor_ ? acceptor_->value().config : nullptr,
                              textCache_.newestHistory());
  climb->startedAt = event::EventLoop::readClock();
  sendRequests(climb, climb->proposer.start(dependencies_.loop.now(), limit));
}

void RegisterService::sendRequests(const std::shared_ptr<Proposal>& climb,
                                   const std::vector<Proposer::OutgoingRequest>& sends) {
  for (const auto& send : sends) {
    const auto back = [this, climb, to = send.recipient,
                       round = send.round](std::optional<RegisterReply> reply) {
      if (!reply || climb->proposer.result()) return;
      consensus::cacheTexts(textCache_, reply->value);
      sendRequests(climb, climb->proposer.handleReply(to, round, *reply, dependencies_.loop.now()));
    };
    if (send.recipient == dependencies_.settings.nodeId) {
      handleRequest(send.request, back);
      continue;
    }
    dependencies_.rpc.call(send.recipient, "/register", toJson(send.request, &textCache_),
                           kVoterLimit + consensus::extraRoundTime(send.request.value),
                           [this, climb, back](std::optional<json> answer) {
                             if (!answer) return;
                             climb->proposer.addTextsTo(textCache_);
                             try {
                               back(consensus::replyFromJson(*answer, &textCache_));
                             } catch (const std::exception&) {
                               // A foreign answer counts as none.
                             }
                           });
  }
  finishProposal(climb);
}

void RegisterService::finishProposal(const std::shared_ptr<Proposal>& climb) {
  if (const auto& result = climb->proposer.result()) {
    if (!climb->onResult) return;
    dependencies_.loop.cancel(climb->timer);
    const auto told = std::move(climb->onResult);
    climb->onResult = nullptr;
    --activeProposals_;
    const auto copy = *result;
    if (copy.valueKnown) {
      learn(copy.value);
      dependencies_.stalenessBound.onQuorumRead(climb->startedAt);
    }
    told(copy);
    return;
  }
  dependencies_.loop.cancel(climb->timer);
  climb->timer = dependencies_.loop.after(
      climb->proposer.nextWakeUp() - dependencies_.loop.now(), [this, climb] {
        climb->timer = 0;
        sendRequests(climb, climb->proposer.tick(dependencies_.loop.now()));
      });
}

std::optional<TimePoint> RegisterService::ownAcceptedAsOf() const {
  if (!recovered()) return std::nullopt;
  return dependencies_.stalenessBound.ownAsOf(event::EventLoop::readClock());
}

void RegisterService::tick() {
  if (!acceptor_) return;
  if (!acceptor_->recovered()) {
    rejoin();
    return;
  }
  repair();
  finishVoterChange();
}

void RegisterService::rejoin() {
  const TimePoint now = dependencies_.loop.now();
  if (now < rejoinAt_) return;
  rejoinAt_ = now + kRejoinEvery;
  auto question = acceptor_->rejoinRequest();
  const auto held = committedValue_.config ? committedValue_.config : acceptor_->value().config;
  question->textId = held ? held->id() : 0;
  std::set<NodeId> others(committedValue_.voters.begin(), committedValue_.voters.end());
  others.insert(committedValue_.previousVoters.begin(), committedValue_.previousVoters.end());
  others.erase(dependencies_.settings.nodeId);
  for (const auto& other : others) {
    // Each answer may bring a large text: a second one is not asked for meanwhile.
    if (!rejoinAsked_.insert(other).second) continue;
    dependencies_.rpc.call(other, "/register", toJson(*question), kRejoinLimit,
                           [this, other, held](std::optional<json> answer) {
                             rejoinAsked_.erase(other);
                             if (!answer || acceptor_->recovered()) return;
                             textCache_.add(held);
                             try {
                               const auto reply = consensus::replyFromJson(*answer, &textCache_);
                               if (!acceptor_->handleRejoinReply(other, reply, committedValue_))
                                 return;
                             } catch (const std::exception&) {
                               return;
                             }
                             consensus::cacheTexts(textCache_, acceptor_->value());
                             dependencies_.stalenessBound.onAccepted(
                                 acceptor_->value().sequence, consensus::StalenessBound::kNever);
                             dependencies_.log("promises read from the other voters, voting again");
                             // A spare may be asked for nothing for long: it need not read again.
                             auto saved = acceptor_->persistedState();
                             dependencies_.store->save(
                                 {std::move(saved.head), std::move(saved.configText)},
                                 [this](bool ok) { unsaved_ = unsaved_ || !ok; });
                           });
  }
}

// Repairs go in the order of the voters, so that they don't take each other's turn.
Duration RegisterService::turn() const {
  const auto& voters = committedValue_.voters;
  const auto place =
      std::find(voters.begin(), voters.end(), dependencies_.settings.nodeId) - voters.begin();
  return place * std::max(kRepairTurn, roundTimeout() / 2);
}

// A value accepted here whose fate nobody has told: find out, and finish it.
void RegisterService::repair() {
  const TimePoint now = dependencies_.loop.now();
  if (acceptor_->value().sequence <= committedValue_.sequence) {
    aheadSince_.reset();
    repairPause_ = Duration(0);
    return;
  }
  if (!aheadSince_) aheadSince_ = now;
  if (repairing_ || now - *aheadSince_ < kRepairAfter) return;
  // Somebody else is at it: two at once only take each other's turn.
  if (rivalSeenAt_ != TimePoint() && now - rivalSeenAt_ < 2 * roundTimeout()) return;
  if (now - *aheadSince_ < kRepairAfter + turn() + repairPause_) return;
  repairing_ = true;
  propose([](const RegisterValue&, RegisterValue&) { return Proposer::Decision{}; },
          ownProposalTimeout(),
          [this](const Proposer::Result& result) {
            repairing_ = false;
            aheadSince_ = dependencies_.loop.now();
            // A side without a majority need not raise the ballots all the time.
            if (!result.valueKnown)
              repairPause_ = std::min(kRepairPause, repairPause_ * 2 + kRepairAfter);
          });
}

bool RegisterService::hasPendingWork() const {
  if (activeProposals_ > 0 || !committedValue_.previousVoters.empty()) return true;
  return acceptor_ && acceptor_->recovered() &&
         acceptor_->value().sequence > committedValue_.sequence;
}

void RegisterService::maintainVoterSet(const consensus::VoterSetView& view) {
  if (changingVoters_ || committedValue_.voters.empty()) return;
  if (!committedValue_.previousVoters.empty()) {
    changeVoters({});
    return;
  }
  const auto next = consensus::nextVoterSet(view);
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
  dependencies_.log(text);
  changeVoters(*next);
}

// Whoever began a change of voters may be gone: its second value needs no decision, so any voter
// may write it, in turn.
void RegisterService::finishVoterChange() {
  if (committedValue_.previousVoters.empty()) return;
  const TimePoint now = dependencies_.loop.now();
  if (halfEpoch_ != committedValue_.epoch) {
    halfEpoch_ = committedValue_.epoch;
    halfSince_ = now;
  }
  if (!changingVoters_ && now - halfSince_ >= kRepairAfter + turn()) changeVoters({});
}

// One of the two values of a change: first the new voters with the old ones, where both must agree,
// and then, with no voters named, the new ones alone.
void RegisterService::changeVoters(const std::vector<NodeId>& voters) {
  changingVoters_ = true;
  propose(
      [epoch = committedValue_.epoch, voters](const RegisterValue& current, RegisterValue& next) {
        Proposer::Decision verdict;
        // Somebody else was faster, or there is nothing left to finish.
        if (current.epoch != epoch || current.previousVoters.empty() == voters.empty())
          return verdict;
        verdict.kind = Proposer::Decision::Kind::write;
        next.epoch = current.epoch + 1;
        next.previousVoters = voters.empty() ? std::vector<NodeId>{} : current.voters;
        if (!voters.empty()) next.voters = voters;
        return verdict;
      },
      ownProposalTimeout(),
      [this](const Proposer::Result& result) {
        changingVoters_ = false;
        if (!result.succeeded || !result.valueKnown) return;
        dependencies_.log("voters: " + std::to_string(result.value.voters.size()) + ", epoch " +
                          std::to_string(result.value.epoch));
        if (!committedValue_.previousVoters.empty()) changeVoters({});
      });
}

}  // namespace merlingauge::control
