#include "simulation/explorer/state.hpp"

#include "base/hash.hpp"
#include "consensus/acceptor_state_codec.hpp"

namespace merlingauge::test::explorer {

using consensus::Acceptor;
using consensus::RegisterValue;

namespace {
constexpr std::uint64_t kHashSeed = 0x9e3779b97f4a7c15ULL;  // any odd constant
constexpr std::uint64_t kMixer = 0xff51afd7ed558ccdULL;     // of MurmurHash3's finalizer
// Of the parts of a node: unsynced replies in their order, rejoin replies in any.
constexpr std::uint64_t kReplyFactor = 31;
constexpr std::uint64_t kRejoinReplyFactor = 7;

std::string headOf(const Acceptor& acceptor) {
  return consensus::encodeState(acceptor.state()).head;
}
}  // namespace

std::uint64_t hashOf(const std::string& text) { return stableHash(text, kHashSeed); }

void Node::updateHash() {
  std::string text = headOf(acceptor);
  if (!disk) {
    text += "-";
  } else {
    text += unsynced ? headOf(*disk) : "=";
  }
  text += (unsynced ? "d" : "") + std::to_string(disksLost) + known.uniqueId + "/" +
          std::to_string(known.epoch);
  for (const auto& node : askedToRejoin) text += node.str();
  hash = hashOf(text);
  for (const auto& reply : unsyncedReplies) hash = hash * kReplyFactor + reply->hash;
  for (const auto replyHash : rejoinReplies) hash += replyHash * kRejoinReplyFactor;
}

std::set<NodeId> Node::otherVoters(const NodeId& self) const {
  std::set<NodeId> others(known.voters.begin(), known.voters.end());
  others.insert(known.previousVoters.begin(), known.previousVoters.end());
  others.erase(self);
  return others;
}

void ProposingNode::updateHash() {
  hash = hashOf((proposer ? proposer->debugState().dump() : "") + std::to_string(rounds) + "/" +
                std::to_string(sequenceAtStart) + (done ? "d" : ""));
}

void History::updateHash() {
  std::string text;
  for (const auto& [key, given] : votes) {
    const auto& [ballot, valueId] = key;
    text += std::to_string(ballot.number) + ballot.author.str() + valueId + ":";
    for (const auto node : given.ever) {
      text += (given.lostSince.contains(node) ? "-" : "") + std::to_string(node);
    }
  }
  for (const auto& [sequence, value] : chosen) text += value.uniqueId + ";";
  for (const auto& tag : acknowledged) text += tag + "+";
  for (const auto& tag : rejected) text += tag + "-";
  hash = hashOf(text + std::to_string(reportedSequence));
}

std::uint64_t State::hash() const {
  std::uint64_t mixed = 0;
  const auto mix = [&mixed](std::uint64_t more) {
    mixed = (mixed ^ more) * kMixer;
    mixed ^= mixed >> 32;
  };
  for (const int used : {diskLosses, crashes, duplicates}) {
    mix(static_cast<std::uint64_t>(used) + 1);
  }
  for (const auto& node : nodes) mix(node->hash);
  for (const auto& proposer : proposers) mix(proposer->hash);
  mix(history->hash);
  std::uint64_t sum = 0;
  for (const auto& message : inFlight) sum += message->hash * (message->hash | 1);
  mix(sum);
  return mixed;
}

State initialState(const Scope& scope) {
  State state;
  RegisterValue known;
  known.voters = scope.firstVoters;
  for (std::size_t i = 0; i < scope.ids.size(); ++i) {
    const bool recovered =
        i < scope.firstVoters.size() || scope.fault == PlantedFault::unreadVoters;
    const auto incarnation = recovered ? consensus::firstIncarnation(i + 1)
                                       : consensus::nextIncarnation(Incarnation{}, i + 1);
    auto node = std::make_shared<Node>(Acceptor(scope.ids[i], incarnation, recovered), known);
    node->disk = node->acceptor;
    node->updateHash();
    state.nodes.push_back(std::move(node));
  }
  for (std::size_t i = 0; i < scope.tasks.size(); ++i) {
    auto proposer = std::make_shared<ProposingNode>();
    proposer->updateHash();
    state.proposers.push_back(std::move(proposer));
  }
  auto history = std::make_shared<History>();
  history->updateHash();
  state.history = std::move(history);
  return state;
}

}  // namespace merlingauge::test::explorer
