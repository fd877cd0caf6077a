#include "simulation/register/config_client.hpp"

#include <utility>

#include "config/change_history.hpp"

namespace merlingauge::test::register_world {

using config::ChangeHistory;
using consensus::Proposer;
using consensus::RegisterValue;
using control::ConfigChange;

namespace {
/// Under PlantedFault::forgottenChanges: fewer than are under way at once.
constexpr std::size_t kForgetfulHistory = 4;
/// A prime: items of one document differ, and grow in length.
constexpr int kItemStep = 7919;
}  // namespace

ConfigClient::ConfigClient(const Scenario& scenario, ProposalRunner& proposals, PlantedFault fault)
    : proposals_(proposals),
      fault_(fault),
      items_(static_cast<int>(number(scenario, "items", 2))),
      historyEntries_(
          static_cast<std::size_t>(number(scenario, "history", ChangeHistory::kMaxEntries))) {
  if (fault_ == PlantedFault::forgottenChanges) historyEntries_ = kForgetfulHistory;
}

std::string ConfigClient::newName(const std::string& prefix) {
  return prefix + std::to_string(++lastName_);
}

/// Large enough to be packed, sent as a delta, or only named.
std::string ConfigClient::textOf(const SentChange& sent) const {
  std::string text = "[{\"n\":\"" + sent.name + "/" + std::to_string(sent.revision) + "\"}";
  for (int i = 0; i < items_; ++i) text += ",{\"r\":" + std::to_string(i * kItemStep) + "}";
  return text + "]";
}

ConfigChange ConfigClient::changeOf(const SentChange& sent) const {
  const auto text = textOf(sent);
  return {ConfigChange::Kind::replace, Revision{sent.base},
          control::changeDigest(ConfigChange::Kind::replace, std::to_string(sent.base), text),
          std::make_shared<const nlohmann::json>(nlohmann::json{{"revision", sent.revision}}),
          config::ConfigText::create(text)};
}

CallPtr ConfigClient::change(Machine& machine, const SentChange& sent) {
  const auto change = changeOf(sent);
  auto call = std::make_shared<Call>();
  call->base = sent.base;
  call->revision = sent.revision;
  call->digest = change.digest;
  control::ConfigChangeLimits limits;
  limits.maxHistoryEntries = historyEntries_;
  const auto decide = [change, limits, fault = fault_](const RegisterValue& current,
                                                       RegisterValue& next) {
    auto decision =
        control::toProposerDecision(control::decideChange(change, limits, current), next);
    const bool forgets = fault == PlantedFault::forgottenChanges &&
                         decision.error == ErrorKind::changeHistoryTruncated;
    const bool rejectsAhead =
        fault == PlantedFault::rejectedAhead && decision.error == ErrorKind::baseNotYetCommitted;
    if (forgets || rejectsAhead) decision.error = ErrorKind::versionConflict;
    return decision;
  };
  proposals_.run(machine, call, decide);
  return call;
}

CallPtr ConfigClient::append(Machine& machine) {
  auto call = std::make_shared<Call>();
  SentChange sent{0, 0, newName("a")};
  const auto decide = [this, call, sent](const RegisterValue& current,
                                         RegisterValue& next) mutable {
    // Asked again after a round that failed: the change may have been committed all the same.
    if (call->digest != 0 && current.history &&
        current.history->contains({Revision{call->revision}, call->digest})) {
      return Proposer::Decision{};
    }
    sent.base = current.configRevision.value;
    sent.revision = sent.base + 1;
    const auto change = changeOf(sent);
    call->base = sent.base;
    call->revision = sent.revision;
    call->digest = change.digest;
    return control::toProposerDecision(control::decideChange(change, {}, current), next);
  };
  proposals_.run(machine, call, decide);
  return call;
}

void ConfigClient::changeVoters(Machine& machine, const std::vector<NodeId>& voters) {
  auto call = std::make_shared<Call>();
  call->isRead = true;
  const auto decide = [voters](const RegisterValue& current, RegisterValue& next) {
    Proposer::Decision decision;
    // Repeated when done already, or out of turn: nothing to do.
    const bool isOutOfTurn = current.previousVoters.empty() == voters.empty();
    if (isOutOfTurn || current.voters == voters) return decision;
    decision.kind = Proposer::Decision::Kind::write;
    next.epoch = current.epoch + 1;
    next.previousVoters = current.previousVoters.empty() ? current.voters : std::vector<NodeId>{};
    if (current.previousVoters.empty()) next.voters = voters;
    return decision;
  };
  proposals_.run(machine, call, decide);
}

}  // namespace merlingauge::test::register_world
