// register: the configuration as one value at the voters, changed in two rounds at a majority.
// Ledge is the voter's side, Climber one change or read. Neither touches a clock, a socket or a
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
#include <string>
#include <vector>

#include "errors.hpp"
#include "units.hpp"
#include "version/signboard.hpp"

namespace merlin::cairn {

struct Ballot {
  std::uint64_t number = 0;
  NodeId by;
  auto operator<=>(const Ballot&) const = default;
};

// What the register holds.
struct Value {
  std::uint64_t sequence = 0;  // one more with every change
  std::uint64_t epoch = 0;     // one more with every change of voters
  std::string stamp;           // names this value; two values never share one
  Signboard::Ptr config;       // JSON as the operator wrote it, null at first
  std::uint64_t absent = 0;    // names a text that was not sent along
  Revision configRevision;
  struct Taken {
    Revision revision;
    std::string digest;  // of the operator's call, to know it again
  };
  std::vector<Taken> recent;
  std::vector<NodeId> voters;
  std::vector<NodeId> before;  // the voters being left, until the change of voters is done

  [[nodiscard]] Revision revision() const { return configRevision; }
  [[nodiscard]] bool isVoter(const NodeId& node) const;
};

// A large value takes longer to send, read and write: what each round of it may take more.
Span extraTime(std::size_t bytes);
inline Span extraTime(const Value& value) {
  return extraTime(value.config ? value.config->text().size() : 0);
}

nlohmann::json toJson(const Ballot& ballot);
Ballot ballotFrom(const nlohmann::json& j);
// `has` is the text that the reader is known to have (0: none): then only what differs is written.
// `spare`: a large text that the reader lacks is only named.
nlohmann::json toJson(const Value& value, std::uint64_t has = 0, const Shelf* shelf = nullptr,
                      bool spare = false);
// Throws where the text can't be made of what is on the shelf.
Value valueFrom(const nlohmann::json& j, const Shelf* shelf = nullptr);

// Messages. One shape for all of them keeps the wire small and the runner simple.
struct Ask {
  enum class Kind : std::uint8_t { prepare, accept, rejoin, fetch };
  Kind kind = Kind::prepare;
  NodeId from;
  Ballot ballot;
  Value value;                   // accept
  std::map<NodeId, Life> lives;  // accept: the lives that promised
  Life life;                     // rejoin: the asker's new life
  std::string have;              // prepare: stamp of the value the asker holds already
  std::uint64_t text = 0;        // prepare, rejoin: a text that the asker has; fetch: the one it
                                 // wants; accept (not sent): the reader's
};

struct Reply {
  bool ok = false;
  bool asleep = false;  // this voter has forgotten its promises and is still reading them
  Life life;
  Ballot promised;
  Ballot accepted;
  Value value;
  bool copied = false;     // the value was taken over from others, not accepted here
  bool same = false;       // the value is the one the asker holds: it is not sent again
  std::uint64_t text = 0;  // which text this voter has
  Life knows;              // rejoin: the newest life of the asker that is known here
  // What this voter knows of lives later than the first: replies of one round that contradict each
  // other on who lives don't count together (a crash-consistent quorum).
  std::map<NodeId, Life> lives;
};

nlohmann::json toJson(const Ask& ask, const Shelf* shelf = nullptr);
Ask askFrom(const nlohmann::json& j, const Shelf* shelf = nullptr);
// `has`: the text that the asker said it has.
nlohmann::json toJson(const Reply& reply, std::uint64_t has = 0, const Shelf* shelf = nullptr,
                      bool spare = false);
Reply replyFrom(const nlohmann::json& j, const Shelf* shelf = nullptr);

// The lives of a voter rise: a generation (the upper bits) and luck. One that woke is written down
// at a majority of the others, so the next one, which asks a majority, takes a higher generation.
Life firstLife(std::uint64_t luck);             // of a first start: below every life of a woken one
Life laterLife(Life than, std::uint64_t luck);  // the next generation

class Ledge {
 public:
  // A voter of the very first start may vote at once; one with an empty disk later must read
  // the others first. Its life then has to be above that of any first start.
  Ledge(NodeId self, Life life, bool awake);
  // A head as JSON, and the configuration's text apart, as it is.
  struct Saved {
    std::string head;
    Signboard::Ptr text;
  };
  static std::optional<Ledge> restore(NodeId self, const Saved& saved);
  [[nodiscard]] Saved save() const;
  // The same as of a voter that has lost its promises: a new life, asleep.
  static std::optional<Saved> fenced(const Saved& saved, std::uint64_t luck);

  struct Out {
    Reply reply;
    bool sync = false;  // the reply may leave only after the state is on disk
  };
  Out ask(const Ask& ask);

  // A voter that is asleep: whom to ask, and what came back. True once it is awake (then save).
  [[nodiscard]] std::optional<Ask> rejoinAsk() const;
  bool rejoinReply(const NodeId& from, const Reply& reply, const Value& known);

  [[nodiscard]] bool awake() const { return awake_; }
  [[nodiscard]] const Value& value() const { return value_; }
  [[nodiscard]] const Ballot& accepted() const { return accepted_; }
  [[nodiscard]] Life life() const { return life_; }

 private:
  [[nodiscard]] Reply answer(bool ok, bool same = false) const;
  bool learnLife(const NodeId& node, Life life);
  void forgetLives(const NodeId& but);

  NodeId self_;
  Life life_;
  bool awake_;
  Ballot promised_;
  Ballot accepted_;
  Value value_;
  bool copied_ = false;           // taken over at the wake-up: no proof that it was accepted here
  std::map<NodeId, Life> lives_;  // the newest known of each voter that ever lost its disk
  std::map<NodeId, Reply> rejoin_;
};

bool majority(const std::vector<NodeId>& voters, const std::set<NodeId>& have);

class Climber {
 public:
  static constexpr Span kRound = std::chrono::milliseconds(200);
  // What a change makes of the current value.
  struct Verdict {
    enum class Kind : std::uint8_t { put, keep, refuse };
    Kind kind = Kind::keep;
    ErrorKind error = ErrorKind::otherVersion;
    std::string detail;
  };
  using Change = std::function<Verdict(const Value& current, Value& next)>;
  struct Send {
    NodeId to;
    Ask ask;
    std::uint64_t round;
  };
  struct Result {
    bool ok = false;
    ErrorKind error = ErrorKind::noMajority;
    std::string detail;
    Value chosen;  // valid where the register was read or changed
    bool known = false;
  };

  // `round`: how long the voters may take to answer where nothing large is sent.
  Climber(NodeId self, Value basis, Change change, std::uint64_t seed, Span round = kRound);

  std::vector<Send> start(Instant now, Span limit);
  std::vector<Send> reply(const NodeId& from, std::uint64_t round, const Reply& reply, Instant now);
  std::vector<Send> tick(Instant now);
  [[nodiscard]] const std::optional<Result>& result() const { return result_; }
  // When `tick` is next wanted.
  [[nodiscard]] Instant wake() const { return std::min(roundEnds_, ends_); }
  // A text at hand besides the basis', so that voters need not send it.
  void holds(const Signboard::Ptr& text) { held_ = text; }

 private:
  std::vector<Send> newRound(Instant now);
  std::vector<Send> askMore();
  std::vector<Send> promised(Instant now);
  std::vector<Send> backOff(Instant now);
  void accepted();
  // Notes whose lives are over; false where this reply comes from such a one.
  bool consistent(const NodeId& from, const Reply& reply);
  [[nodiscard]] bool everySame() const;
  static bool quorum(const Value& value, const std::set<NodeId>& have);

  NodeId self_;
  NodeId author_;
  Value basis_;
  Change change_;
  std::uint64_t random_;
  Span roundTime_;
  Instant ends_;
  Instant roundEnds_;
  std::uint64_t round_ = 0;
  std::uint64_t highest_ = 0;
  Ballot ballot_;
  bool accepting_ = false;
  bool waiting_ = false;
  bool fetching_ = false;
  Signboard::Ptr held_;
  NodeId bestFrom_;
  int refusals_ = 0;
  std::set<NodeId> asked_;
  std::map<NodeId, Reply> promises_;
  std::map<NodeId, Life> accepts_;
  std::map<NodeId, Life> lives_;  // the newest that any reply has told of
  Value bestValue_;
  Ballot bestBallot_;
  Value old_;
  Value next_;
  Verdict verdict_;
  std::optional<Result> result_;
};

}  // namespace merlin::cairn
