#include "simulation/register/quorum_checker.hpp"

#include <algorithm>

#include "consensus/quorum.hpp"
#include "consensus/voter_set.hpp"

namespace merlingauge::test::register_world {

using consensus::RegisterValue;

namespace {
/// Joint consensus: while a change of voters is half done, both sets have to accept.
bool isChosenBy(const RegisterValue& value, const std::set<NodeId>& acceptedBy) {
  return consensus::hasMajority(value.voters, acceptedBy) &&
         (value.previousVoters.empty() || consensus::hasMajority(value.previousVoters, acceptedBy));
}

/// Does each majority of one set meet each majority of the other?
bool majoritiesMeet(const std::vector<NodeId>& first, const std::vector<NodeId>& second) {
  std::size_t common = 0;
  for (const auto& node : first) {
    common += std::find(second.begin(), second.end(), node) != second.end() ? 1 : 0;
  }
  const auto fewestInCommon = [common](const std::vector<NodeId>& set) {
    const std::size_t apart = set.size() - common;
    const std::size_t majority = set.size() / 2 + 1;
    return majority > apart ? majority - apart : 0;
  };
  return fewestInCommon(first) + fewestInCommon(second) > common;
}

bool quorumsMeet(const RegisterValue& first, const RegisterValue& second) {
  for (const auto* firstSet : {&first.voters, &first.previousVoters}) {
    for (const auto* secondSet : {&second.voters, &second.previousVoters}) {
      if (firstSet->empty() || secondSet->empty()) continue;
      if (majoritiesMeet(*firstSet, *secondSet)) return true;
    }
  }
  return false;
}
}  // namespace

void QuorumChecker::addProblem(const std::string& what) {
  constexpr std::size_t kKept = 5;  // the first few tell the cause
  if (problems_.size() >= kKept) return;
  problems_.push_back(what + " (at " + std::to_string(static_cast<int>(clock_.ms())) + " ms)");
}

void QuorumChecker::requireNoProblem() const {
  require(problems_.empty(), problems_.empty() ? "" : problems_.front());
}

void QuorumChecker::handleAcceptance(const Machine& machine,
                                     const consensus::RegisterRequest& request) {
  auto& [value, acceptedBy] = acceptances_[request.ballot];
  value = request.value;
  acceptedBy.insert(machine.id);
  if (!isChosenBy(value, acceptedBy)) return;
  const auto [known, isNew] = chosen_.try_emplace(value.sequence, value);
  if (known->second.uniqueId != value.uniqueId) addProblem("two values chosen under one sequence");
  if (isNew && value.sequence > 1) {
    const auto before = chosen_.find(value.sequence - 1);
    if (before != chosen_.end() && !quorumsMeet(before->second, value)) {
      addProblem("two quorums of adjacent sets need not meet");
    }
  }
  const std::size_t fewest = consensus::minVoters(fleet_.tolerance());
  hadEnoughVoters_ = hadEnoughVoters_ || value.voters.size() >= fewest;
  if (hadEnoughVoters_ && value.voters.size() < fewest) addProblem("fewer than 2f + 1 voters");
  checkNewestIsStored();
}

void QuorumChecker::checkNewestIsStored() {
  if (chosen_.empty()) return;
  const auto& newest = chosen_.rbegin()->second;
  for (const auto* voters : {&newest.voters, &newest.previousVoters}) {
    if (voters->empty()) continue;
    std::size_t holders = 0;
    std::size_t lost = 0;
    for (const auto& id : *voters) {
      const auto& disk = fleet_.at(id.str()).disk;
      const auto saved = disk ? std::optional(consensus::decodeState(*disk)) : std::nullopt;
      if (!saved || !saved->recovered) {
        ++lost;
      } else if (saved->value.sequence >= newest.sequence) {
        ++holders;
      }
    }
    if (!isStoredBy(holders, lost, voters->size())) {
      addProblem("a chosen value is on " + std::to_string(holders) + " disks of " +
                 std::to_string(voters->size()) + " voters");
    }
  }
}

}  // namespace merlingauge::test::register_world
