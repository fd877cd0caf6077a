#include "simulation/register/history_checker.hpp"

#include <set>
#include <string>

#include "config/change_history.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test::register_world {

using config::ChangeHistory;

namespace {
bool isAcknowledgedChange(const Call& call) {
  return !call.isRead && call.outcome == Call::Outcome::acknowledged;
}

/// Acknowledged or rejected: what it saw was committed.
bool isClear(const Call& call) {
  return call.outcome == Call::Outcome::acknowledged || call.outcome == Call::Outcome::rejected;
}

void requireNotLost(const Call& change, const Call& later) {
  const auto& history = later.seen.history;
  const bool isThere = history && (history->floor().value >= change.revision ||
                                   history->contains({Revision{change.revision}, change.digest}));
  require(isThere, "an acknowledged change is gone: " + std::to_string(change.revision));
}
}  // namespace

void HistoryChecker::check(const std::vector<CallPtr>& calls) {
  checkRivals(calls);
  checkRealTimeOrder(calls);
  checkOneValuePerSequence(calls);
  collectCommitted(calls);
  checkAnswers(calls);
}

/// Of the changes on one base at most one is acknowledged.
void HistoryChecker::checkRivals(const std::vector<CallPtr>& calls) {
  for (const auto& first : calls) {
    if (!isAcknowledgedChange(*first)) continue;
    for (const auto& second : calls) {
      const bool areRivals = isAcknowledgedChange(*second) && second->digest != first->digest;
      require(!areRivals || second->base != first->base,
              "two changes on revision " + std::to_string(first->base) + " were both acknowledged");
    }
  }
}

/// What a call shows that began after another one had ended must not be older.
void HistoryChecker::checkRealTimeOrder(const std::vector<CallPtr>& calls) {
  for (const auto& earlier : calls) {
    if (!isClear(*earlier)) continue;
    for (const auto& later : calls) {
      if (later->beganAtMs <= earlier->endedAtMs || !isClear(*later)) continue;
      require(later->seen.sequence >= earlier->seen.sequence, "a later call saw an older value");
      if (isAcknowledgedChange(*earlier)) requireNotLost(*earlier, *later);
    }
  }
}

void HistoryChecker::checkOneValuePerSequence(const std::vector<CallPtr>& calls) {
  std::map<std::uint64_t, std::string> idBySequence;
  for (const auto& call : calls) {
    if (!isClear(*call)) continue;
    auto& uniqueId = idBySequence[call->seen.sequence];
    require(uniqueId.empty() || uniqueId == call->seen.uniqueId,
            "two values chosen under one sequence");
    uniqueId = call->seen.uniqueId;
  }
}

/// What was ever in force, by revision: one change each, and each on the one before.
void HistoryChecker::collectCommitted(const std::vector<CallPtr>& calls) {
  for (const auto& call : calls) {
    if (!call->seen.history) continue;
    const ChangeHistory::Entry* before = nullptr;
    for (const auto& entry : call->seen.history->entries()) {
      const auto [known, isNew] = changeByRevision_.emplace(entry.revision.value, entry.digest);
      require(known->second == entry.digest,
              "two changes made revision " + std::to_string(entry.revision.value));
      if (isNew && before != nullptr) baseByChange_[entry.digest] = before->revision.value;
      before = &entry;
    }
  }
}

/// Whichever copy of a change was rejected, wherever and whenever: it must not be in force.
void HistoryChecker::checkAnswers(const std::vector<CallPtr>& calls) const {
  std::set<std::uint64_t> committed;
  for (const auto& [revision, digest] : changeByRevision_) committed.insert(digest);
  for (const auto& call : calls) {
    if (call->isRead) continue;
    const bool isInForce = committed.contains(call->digest);
    require(call->outcome != Call::Outcome::rejected || !isInForce,
            "a rejected change is in force");
    const auto base = baseByChange_.find(call->digest);
    require(base == baseByChange_.end() || base->second == call->base,
            "a change was built on another revision than its base");
  }
}

void HistoryChecker::report(std::map<std::string, double>& measured) const {
  measured["revisions"] = static_cast<double>(changeByRevision_.size());
}

}  // namespace merlingauge::test::register_world
