#include "control/voter_set_manager.hpp"

#include <algorithm>
#include <string>

#include "control/logger.hpp"

namespace merlingauge::control {

using consensus::Proposer;
using consensus::RegisterValue;

namespace {
// Appends `label` and the name of each node that is in `nodes` and not in `others`.
void appendMissing(std::string& text, const char* label, const std::vector<NodeId>& nodes,
                   const std::vector<NodeId>& others) {
  for (const auto& node : nodes) {
    if (std::find(others.begin(), others.end(), node) == others.end()) text += label + node.str();
  }
}

void logPlannedChange(const std::vector<NodeId>& current, const std::vector<NodeId>& next) {
  std::string text = "voter set change: " + std::to_string(next.size()) + " voters";
  appendMissing(text, ", removes ", current, next);
  appendMissing(text, ", adds ", next, current);
  logger().information(text);
}

// What the first value (with `voters`) or the second one (without) makes of the current value.
Proposer::Decision decideVoters(std::uint64_t expectedEpoch, const std::vector<NodeId>& voters,
                                const RegisterValue& current, RegisterValue& next) {
  Proposer::Decision decision;
  const bool isSecondValue = voters.empty();
  const bool changeIsOpen = !current.previousVoters.empty();
  // Another node was faster, or there is nothing left to finish: the value is kept.
  if (current.epoch != expectedEpoch || changeIsOpen != isSecondValue) return decision;
  decision.kind = Proposer::Decision::Kind::write;
  next.epoch = current.epoch + 1;
  if (isSecondValue) {
    next.previousVoters.clear();
  } else {
    next.previousVoters = current.voters;
    next.voters = voters;
  }
  return decision;
}
}  // namespace

VoterSetManager::VoterSetManager(event::EventLoop& loop, ProposalRunner& runner,
                                 const consensus::RegisterReplica& replica,
                                 const ProposalTiming& timing)
    : loop_(loop), runner_(runner), replica_(replica), timing_(timing) {}

void VoterSetManager::maintain(const consensus::VoterSetView& view) {
  const auto& committed = replica_.committedValue();
  if (proposing_ || committed.voters.empty()) return;
  if (!committed.previousVoters.empty()) {
    proposeChange({});
    return;
  }
  const auto next = consensus::nextVoterSet(view);
  if (!next) return;
  logPlannedChange(view.voters, *next);
  proposeChange(*next);
}

void VoterSetManager::finishAbandonedChange() {
  const auto& committed = replica_.committedValue();
  if (committed.previousVoters.empty()) return;
  const TimePoint now = loop_.now();
  if (unfinishedEpoch_ != committed.epoch) {
    unfinishedEpoch_ = committed.epoch;
    unfinishedSince_ = now;
  }
  const Duration wait = kBackgroundProposalDelay + timing_.staggerDelay(committed.voters);
  if (!proposing_ && now - unfinishedSince_ >= wait) proposeChange({});
}

void VoterSetManager::proposeChange(const std::vector<NodeId>& voters) {
  proposing_ = true;
  const auto change = [epoch = replica_.committedValue().epoch, voters](
                          const RegisterValue& current, RegisterValue& next) {
    return decideVoters(epoch, voters, current, next);
  };
  runner_.propose(change, timing_.backgroundProposalTimeout(),
                  [this](const Proposer::Result& result) { onChangeResult(result); });
}

void VoterSetManager::onChangeResult(const Proposer::Result& result) {
  proposing_ = false;
  if (!result.succeeded || !result.value) return;
  logger().information("voters: " + std::to_string(result.value->voters.size()) + ", epoch " +
                       std::to_string(result.value->epoch));
  if (!replica_.committedValue().previousVoters.empty()) proposeChange({});
}

}  // namespace merlingauge::control
