// state: the whole state of a run. Its parts are shared between states and replaced, never changed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/acceptor.hpp"
#include "consensus/messages.hpp"
#include "consensus/proposer.hpp"
#include "simulation/explorer/scope.hpp"

namespace merlingauge::test::explorer {

std::uint64_t hashOf(const std::string& text);

struct Message {
  enum class Kind : std::uint8_t { request, reply, rejoinRequest, rejoinReply };
  Kind kind = Kind::request;
  std::size_t sender = 0;   ///< of the request: a proposer, or the node that rejoins
  std::size_t voter = 0;    ///< the one that replies
  std::uint64_t round = 0;  ///< of the proposer, or the incarnation of the node that rejoins
  consensus::RegisterRequest request;
  consensus::RegisterReply reply;
  std::string name;  ///< unique among the messages in flight; steps are written with it
  std::uint64_t hash = 0;

  [[nodiscard]] bool isReply() const { return kind == Kind::reply || kind == Kind::rejoinReply; }
  [[nodiscard]] bool isOfRejoin() const {
    return kind == Kind::rejoinRequest || kind == Kind::rejoinReply;
  }
};
using MessagePtr = std::shared_ptr<const Message>;

struct Node {
  Node(consensus::Acceptor first, consensus::RegisterValue value)
      : acceptor(std::move(first)), known(std::move(value)) {}
  void updateHash();
  /// The voters that this node knows, but for itself.
  [[nodiscard]] std::set<NodeId> otherVoters(const NodeId& self) const;

  consensus::Acceptor acceptor;
  std::optional<consensus::Acceptor> disk;         ///< what a crash leaves
  std::vector<consensus::Acceptor> unsyncedVotes;  ///< acceptances that are not on the disk yet
  std::vector<MessagePtr> unsyncedReplies;         ///< they wait for the disk
  bool unsynced = false;
  int disksLost = 0;
  consensus::RegisterValue known;
  std::set<NodeId> askedToRejoin;            ///< while not recovered
  std::vector<std::uint64_t> rejoinReplies;  ///< hashes, while not recovered
  std::uint64_t hash = 0;
};

struct ProposingNode {
  void updateHash();

  std::optional<consensus::Proposer> proposer;  ///< empty: not started
  std::uint64_t round = 0;
  bool accepting = false;
  int rounds = 0;
  bool done = false;
  /// Linearizability: the sequence that had been reported before it began.
  std::uint64_t sequenceAtStart = 0;
  std::uint64_t hash = 0;
};

/// What has happened, for the invariants.
struct History {
  struct Votes {
    std::set<std::size_t> ever;
    std::set<std::size_t> lostSince;  ///< with the disk
  };
  void updateHash();

  std::map<std::pair<consensus::Ballot, std::string>, Votes> votes;  ///< by ballot and value
  /// By sequence: chosen, or reported as chosen.
  std::map<std::uint64_t, consensus::RegisterValue> chosen;
  std::set<std::string> acknowledged;  ///< tags
  std::set<std::string> rejected;      ///< tags
  std::uint64_t reportedSequence = 0;
  std::uint64_t hash = 0;
};

struct State {
  /// Equal states have equal hashes, whatever the order of the messages in flight.
  [[nodiscard]] std::uint64_t hash() const;

  std::vector<std::shared_ptr<const Node>> nodes;
  std::vector<std::shared_ptr<const ProposingNode>> proposers;
  std::vector<MessagePtr> inFlight;
  std::shared_ptr<const History> history;
  int diskLosses = 0;
  int crashes = 0;
  int duplicates = 0;
  std::string violation;  ///< empty: none
};

State initialState(const Scope& scope);

/// Replaces a part of a state by a changed copy.
class PartEditor {
 public:
  /// Hashes cost most of the time, and a random walk needs none.
  void stopHashing() { hashes_ = false; }
  [[nodiscard]] bool hashes() const { return hashes_; }

  template <class Part, class Change>
  void edit(std::shared_ptr<const Part>& part, Change change) const {
    auto copy = std::make_shared<Part>(*part);
    change(*copy);
    if (hashes_) copy->updateHash();
    part = std::move(copy);
  }

 private:
  bool hashes_ = true;
};

}  // namespace merlingauge::test::explorer
