#include "control/register_service.hpp"

#include <algorithm>
#include <utility>

#include "consensus/value_codec.hpp"
#include "control/logger.hpp"

namespace merlingauge::control {

using consensus::RegisterValue;

RegisterService::RegisterService(event::EventLoop& loop, rpc::PeerRpc& rpc,
                                 storage::DurableStore* store,
                                 consensus::StalenessBound& stalenessBound,
                                 RegisterObserver& observer, RegisterServiceOptions options,
                                 std::uint64_t seed)
    : loop_(loop),
      stalenessBound_(stalenessBound),
      observer_(observer),
      options_(std::move(options)),
      timing_(options_.self, options_.cpuCores),
      random_(seed),
      startedAt_(loop.now()),
      acceptorHost_(store == nullptr
                        ? nullptr
                        : std::make_unique<AcceptorHost>(loop, *store, stalenessBound, textCache_,
                                                         options_, random_)),
      runner_(loop, rpc, *this, acceptorHost_.get(), stalenessBound, textCache_, options_.self,
              timing_, random_),
      voterSetManager_(loop, runner_, *this, timing_) {
  if (options_.bootstrap) {
    committedValue_.voters = options_.initialVoters;
    std::sort(committedValue_.voters.begin(), committedValue_.voters.end());
  }
  if (!acceptorHost_) return;
  adoptVotersOf(acceptorHost_->acceptor().value());
  acceptorRecovery_ = std::make_unique<AcceptorRecovery>(loop, rpc, *this, *acceptorHost_,
                                                         textCache_, options_.self);
  valueRepair_ = std::make_unique<ValueRepair>(loop, runner_, *this, *acceptorHost_, timing_);
}

// Only the voters are taken from the disk: whether its value was committed is not known yet.
void RegisterService::adoptVotersOf(const RegisterValue& accepted) {
  if (!committedValue_.voters.empty() && committedValue_.epoch >= accepted.epoch) return;
  committedValue_.voters = accepted.voters;
  committedValue_.previousVoters = accepted.previousVoters;
  committedValue_.epoch = accepted.epoch;
}

void RegisterService::handleRequest(const consensus::RegisterRequest& request,
                                    AcceptorHost::ReplyCallback onReply) {
  if (acceptorHost_) {
    acceptorHost_->handleRequest(request, std::move(onReply));
  } else {
    onReply(std::nullopt);
  }
}

void RegisterService::propose(consensus::Proposer::ChangeFunction change, Duration limit,
                              ProposalRunner::ResultCallback onResult) {
  runner_.propose(std::move(change), limit, std::move(onResult));
}

void RegisterService::read(Duration limit, ProposalRunner::ResultCallback onResult) {
  runner_.read(limit, std::move(onResult));
}

void RegisterService::tick() {
  if (!acceptorHost_) return;
  if (!acceptorHost_->recovered()) {
    acceptorRecovery_->tick();
    return;
  }
  valueRepair_->tick();
  voterSetManager_.finishAbandonedChange();
}

void RegisterService::maintainVoterSet(const consensus::VoterSetView& view) {
  voterSetManager_.maintain(view);
}

const std::string& RegisterService::committedValueJson(std::uint64_t receiverTextId) {
  if (committedJsonSequence_ != committedValue_.sequence) {
    committedJson_.clear();
    committedJsonSequence_ = committedValue_.sequence;
  }
  // All receivers whose text this node lacks are sent the same.
  const bool textIsKnown = receiverTextId != 0 && textCache_.find(receiverTextId) != nullptr;
  const std::uint64_t baseId = textIsKnown ? receiverTextId : 0;
  auto& encoded = committedJson_[baseId];
  if (encoded.empty()) {
    const consensus::ReceiverState receiver{baseId, 0, false};
    encoded = toJson(committedValue_, receiver, &textCache_).dump();
  }
  return encoded;
}

RegisterValue RegisterService::decodeValue(const nlohmann::json& encoded) const {
  return consensus::valueFromJson(encoded, &textCache_);
}

void RegisterService::learn(const RegisterValue& value) {
  // Gossip leaves the history out; a read that brings it completes the same value.
  if (value.uniqueId == committedValue_.uniqueId && !committedValue_.history)
    committedValue_.history = value.history;
  if (value.sequence <= committedValue_.sequence) return;
  if (committedValue_.sequence == 0) {
    const auto sinceStart =
        std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now() - startedAt_);
    logger().information("first learned version " + std::to_string(value.revision().value) + ", " +
                         std::to_string(sinceStart.count()) + " ms after the start");
  }
  committedValue_ = value;
  stalenessBound_.onLearned(committedValue_.sequence);
  consensus::cacheTexts(textCache_, committedValue_);
  observer_.onCommitted(committedValue_);
}

std::optional<TimePoint> RegisterService::ownAcceptedAsOf() const {
  if (!recovered()) return std::nullopt;
  return stalenessBound_.ownAsOf(event::EventLoop::readClock());
}

bool RegisterService::isVoter() const {
  return acceptorHost_ && committedValue_.isVoter(options_.self);
}

bool RegisterService::recovered() const { return acceptorHost_ && acceptorHost_->recovered(); }

bool RegisterService::storageFailing() const {
  return acceptorHost_ && acceptorHost_->storageFailing();
}

bool RegisterService::hasPendingWork() const {
  if (runner_.activeProposals() > 0 || !committedValue_.previousVoters.empty()) return true;
  return recovered() && acceptorHost_->acceptor().value().sequence > committedValue_.sequence;
}

}  // namespace merlingauge::control
