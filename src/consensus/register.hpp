// register: the configuration as one value at the voters, changed in two rounds at a majority.
// Acceptor is the voter's side, Proposer one change or read. Neither touches a clock, a socket or a
// disk. docs/register.md has the argument why it is safe.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/errors.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "config/change_history.hpp"
#include "config/config_text.hpp"

namespace merlingauge::consensus {

struct Ballot {
  std::uint64_t number = 0;
  NodeId author;
  auto operator<=>(const Ballot&) const = default;
};

// What the register holds.
struct RegisterValue {
  std::uint64_t sequence = 0;       // one more with every change
  std::uint64_t epoch = 0;          // one more with every change of voters
  std::string uniqueId;             // names this value; two values never share one
  config::ConfigText::Ptr config;   // JSON as the operator wrote it, null at first
  std::uint64_t missingTextId = 0;  // names a text that was not sent along
  Revision configRevision;
  // Its last entry made `configRevision`. Null is the same as one whose floor is that: nothing is
  // known of the orders before. So whoever leaves it out can only make answers unclear.
  config::ChangeHistory::Ptr history;
  std::vector<NodeId> voters;
  std::vector<NodeId> previousVoters;  // the voters being left, until the change of voters is done

  [[nodiscard]] Revision revision() const { return configRevision; }
  [[nodiscard]] bool isVoter(const NodeId& node) const;
};

// A large value takes longer to send, read and write: what each round of it may take more.
Duration extraRoundTime(std::size_t bytes);
inline Duration extraRoundTime(const RegisterValue& value) {
  return extraRoundTime(value.config ? value.config->text().size() : 0);
}

// What the reader of a value is known to have (0: nothing): then only what differs is written.
struct ReceiverState {
  std::uint64_t textId = 0;
  std::uint64_t historyId = 0;
  bool wantsHistory = true;  // else it is left out
};

inline void cacheTexts(config::ConfigTextCache& textCache, const RegisterValue& value) {
  textCache.add(value.config);
  textCache.add(value.history);
}

nlohmann::json toJson(const Ballot& ballot);
Ballot ballotFromJson(const nlohmann::json& j);
// `spare`: a large text that the reader lacks is only named.
nlohmann::json toJson(const RegisterValue& value, const ReceiverState& reader = {},
                      const config::ConfigTextCache* textCache = nullptr, bool spare = false);
// A message that is well formed, but rests on a text or a history that isn't on the shelf.
struct MissingCachedText : std::out_of_range {
  using std::out_of_range::out_of_range;
};
// Throws.
RegisterValue valueFromJson(const nlohmann::json& j,
                            const config::ConfigTextCache* textCache = nullptr);

// Messages. One shape for all of them keeps the wire small and the runner simple.
struct RegisterRequest {
  enum class Kind : std::uint8_t { prepare, accept, rejoin, fetch };
  Kind kind = Kind::prepare;
  NodeId sender;
  Ballot ballot;
  RegisterValue value;          // accept
  Incarnation incarnation;      // rejoin: the asker's new life
  std::string knownValueId;     // prepare: stamp of the value the asker holds already
  std::uint64_t textId = 0;     // prepare, rejoin: a text that the asker has; fetch: the one it
                                // wants; accept (not sent): the reader's
  std::uint64_t historyId = 0;  // prepare: the one the asker has; accept (not sent): the reader's
};
// How a reply to it is written.
ReceiverState receiverStateOf(const RegisterRequest& ask);

struct RegisterReply {
  bool granted = false;
  bool recovering = false;  // this voter has forgotten its promises and is still reading them
  Incarnation incarnation;
  Ballot promisedBallot;
  Ballot acceptedBallot;
  RegisterValue value;
  bool valueRecovered = false;       // the value was taken over from others, not accepted here
  bool sameValue = false;            // the value is the one the asker holds: it is not sent again
  std::uint64_t textId = 0;          // which text this voter has
  std::uint64_t historyId = 0;       // which history this voter has
  Incarnation requesterIncarnation;  // rejoin: the newest life of the asker that is known here
  // What this voter knows of lives later than the first: replies of one round that contradict each
  // other on who lives don't count together (a crash-consistent quorum).
  std::map<NodeId, Incarnation> incarnations;
};

nlohmann::json toJson(const RegisterRequest& ask,
                      const config::ConfigTextCache* textCache = nullptr);
RegisterRequest requestFromJson(const nlohmann::json& j,
                                const config::ConfigTextCache* textCache = nullptr);
// A refusal carries no value.
nlohmann::json toJson(const RegisterReply& reply, const ReceiverState& reader = {},
                      const config::ConfigTextCache* textCache = nullptr, bool spare = false);
RegisterReply replyFromJson(const nlohmann::json& j,
                            const config::ConfigTextCache* textCache = nullptr);

// The lives of a voter rise: a generation (the upper bits) and luck. One that woke is written down
// at a majority of the others, so the next one, which asks a majority, takes a higher generation.
Incarnation firstIncarnation(
    std::uint64_t luck);  // of a first start: below every life of a woken one
Incarnation nextIncarnation(Incarnation than, std::uint64_t luck);  // the next generation

class Acceptor {
 public:
  // A voter of the very first start may vote at once; one with an empty disk later must read
  // the others first. Its life then has to be above that of any first start.
  Acceptor(NodeId self, Incarnation incarnation, bool awake);
  // A head as JSON, and the configuration's text apart, as it is.
  struct PersistedState {
    std::string head;
    config::ConfigText::Ptr configText;
  };
  static std::optional<Acceptor> restore(NodeId self, const PersistedState& saved);
  [[nodiscard]] PersistedState persistedState() const;
  // The same as of a voter that has lost its promises: a new life, asleep.
  static std::optional<PersistedState> fencedState(const PersistedState& saved, std::uint64_t luck);

  struct Response {
    RegisterReply reply;
    bool syncBeforeSend = false;  // the reply may leave only after the state is on disk
  };
  Response handle(const RegisterRequest& ask);

  // A voter that is asleep: whom to ask, and what came back. True once it is awake (then save).
  [[nodiscard]] std::optional<RegisterRequest> rejoinRequest() const;
  bool handleRejoinReply(const NodeId& from, const RegisterReply& reply,
                         const RegisterValue& known);

  // A chosen value as a basis for a climb. News come without the history; the voter may have it.
  [[nodiscard]] RegisterValue proposalBasis(RegisterValue known) const;
  [[nodiscard]] bool recovered() const { return recovered_; }
  [[nodiscard]] const RegisterValue& value() const { return value_; }
  [[nodiscard]] const Ballot& acceptedBallot() const { return acceptedBallot_; }
  [[nodiscard]] Incarnation incarnation() const { return incarnation_; }

 private:
  [[nodiscard]] RegisterReply makeReply(bool ok, bool same = false) const;
  bool learnIncarnation(const NodeId& node, Incarnation incarnation);
  void forgetIncarnations(const NodeId& but);

  NodeId self_;
  Incarnation incarnation_;
  bool recovered_;
  Ballot promisedBallot_;
  Ballot acceptedBallot_;
  RegisterValue value_;
  bool valueRecovered_ = false;  // taken over at the wake-up: no proof that it was accepted here
  std::map<NodeId, Incarnation>
      incarnations_;  // the newest known of each voter that ever lost its disk
  std::map<NodeId, RegisterReply> rejoinReplies_;
};

bool hasMajority(const std::vector<NodeId>& voters, const std::set<NodeId>& have);

class Proposer {
 public:
  static constexpr Duration kRoundTimeout = std::chrono::milliseconds(200);
  // What a change makes of the current value.
  struct Decision {
    enum class Kind : std::uint8_t { write, keep, reject };
    Kind kind = Kind::keep;
    ErrorKind error = ErrorKind::versionConflict;
    std::string detail;
  };
  using ChangeFunction = std::function<Decision(const RegisterValue& current, RegisterValue& next)>;
  struct OutgoingRequest {
    NodeId recipient;
    RegisterRequest request;
    std::uint64_t round;
  };
  struct Result {
    bool succeeded = false;
    ErrorKind error = ErrorKind::noQuorum;
    std::string detail;
    RegisterValue value;  // valid where the register was read or changed
    bool valueKnown = false;
  };

  // `round`: how long the voters may take to answer where nothing large is sent.
  Proposer(NodeId self, RegisterValue basis, ChangeFunction change, std::uint64_t seed,
           Duration round = kRoundTimeout);

  std::vector<OutgoingRequest> start(TimePoint now, Duration limit);
  std::vector<OutgoingRequest> handleReply(const NodeId& from, std::uint64_t round,
                                           const RegisterReply& reply, TimePoint now);
  std::vector<OutgoingRequest> tick(TimePoint now);
  [[nodiscard]] const std::optional<Result>& result() const { return result_; }
  // When `tick` is next wanted.
  [[nodiscard]] TimePoint nextWakeUp() const { return std::min(roundDeadline_, deadline_); }
  // For diagnostics: everything that decides what it does next, but times and texts.
  [[nodiscard]] nlohmann::json debugState() const;
  // A text and a history at hand besides the basis', so that voters need not send them.
  void offerCached(const config::ConfigText::Ptr& text, const config::ChangeHistory::Ptr& history) {
    cachedText_ = text;
    cachedHistory_ = history;
  }
  // What the voters were told is at hand must be there when their answers are read.
  void addTextsTo(config::ConfigTextCache& textCache) const;

 private:
  std::vector<OutgoingRequest> startRound(TimePoint now);
  std::vector<OutgoingRequest> askRemaining();
  std::vector<OutgoingRequest> onPromiseQuorum(TimePoint now);
  std::vector<OutgoingRequest> scheduleRetry(TimePoint now);
  void onAcceptQuorum();
  // Notes whose lives are over; false where this reply comes from such a one.
  bool isConsistent(const NodeId& from, const RegisterReply& reply);
  [[nodiscard]] bool allSameValue() const;
  [[nodiscard]] const config::ChangeHistory::Ptr& ownHistory() const {
    return basis_.history ? basis_.history : cachedHistory_;
  }
  [[nodiscard]] std::uint64_t historyAt(const NodeId& voter) const;
  static bool hasQuorum(const RegisterValue& value, const std::set<NodeId>& have);

  NodeId self_;
  NodeId author_;
  RegisterValue basis_;
  ChangeFunction change_;
  std::uint64_t random_;
  Duration roundTime_;
  TimePoint deadline_;
  TimePoint roundDeadline_;
  std::uint64_t round_ = 0;
  std::uint64_t highestBallotNumber_ = 0;
  Ballot ballot_;
  bool accepting_ = false;
  bool backingOff_ = false;
  bool fetching_ = false;
  config::ConfigText::Ptr cachedText_;
  config::ChangeHistory::Ptr cachedHistory_;
  NodeId bestFrom_;
  int rejections_ = 0;
  std::set<NodeId> asked_;
  std::map<NodeId, std::uint64_t> histories_;  // which one a voter last said it has
  bool assumed_ = false;
  std::map<NodeId, RegisterReply> promises_;
  std::map<NodeId, Incarnation> acceptances_;
  std::map<NodeId, Incarnation> incarnations_;  // the newest that any reply has told of
  RegisterValue bestValue_;
  Ballot bestBallot_;
  RegisterValue currentValue_;
  RegisterValue nextValue_;
  Decision decision_;
  std::optional<Result> result_;
};

}  // namespace merlingauge::consensus
