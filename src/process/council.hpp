// council: this node's part in the register: it answers as a voter, climbs for changes and reads,
// wakes a voter that lost its disk, finishes what others left half done, and keeps the voters.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "process/bell.hpp"
#include "process/cellar.hpp"
#include "process/settings.hpp"
#include "process/wire.hpp"
#include "version/evidence.hpp"
#include "version/register.hpp"
#include "version/voters.hpp"

namespace merlin::hut {

class Council {
 public:
  struct Parts {
    Bell& bell;
    Wire& wire;
    const Settings& settings;
    Cellar* cellar;  // null: this node holds no state
    cairn::Evidence& evidence;
    std::function<void(const cairn::Value&)> chosen;
    std::function<void(const std::string&)> log;
  };
  using Told = std::function<void(const cairn::Climber::Result&)>;

  Council(Parts parts, std::uint64_t seed);

  void ask(const cairn::Ask& ask, std::function<void(std::optional<cairn::Reply>)> answer);
  void climb(cairn::Climber::Change change, Span limit, Told told);
  // A chosen value, from wherever.
  void learn(const cairn::Value& value);
  void tick();
  // Duty of the first live voter: brings the voters in line with the core machines that live.
  void keepVoters(const cairn::VoterView& view);
  // Is there anything here that only this node can bring to its end?
  [[nodiscard]] bool busy() const;

  [[nodiscard]] const cairn::Value& known() const { return known_; }
  // The same as JSON for a reader that has the text `has`; made once.
  [[nodiscard]] const std::string& knownFor(std::uint64_t has);
  [[nodiscard]] std::uint64_t textId() const;
  [[nodiscard]] const cairn::Shelf& shelf() const { return shelf_; }
  [[nodiscard]] bool voter() const { return ledge_ && known_.isVoter(parts_.settings.self); }
  [[nodiscard]] bool awake() const { return ledge_ && ledge_->awake(); }
  [[nodiscard]] bool diskTrouble() const { return dirty_; }
  // Up to when all that the voter here has accepted is known; none where no voter is awake.
  [[nodiscard]] std::optional<Instant> ownEvidence() const;

 private:
  struct Climb;
  void carry(const std::shared_ptr<Climb>& climb, const std::vector<cairn::Climber::Send>& sends);
  void settle(const std::shared_ptr<Climb>& climb);
  void rejoin();
  void repair();
  void finishVoters();
  void changeVoters(const std::vector<NodeId>& voters);
  [[nodiscard]] Span turn() const;
  cairn::Value basis() const;
  [[nodiscard]] Span roundTime() const;
  [[nodiscard]] Span ownClimb() const;

  Parts parts_;
  std::mt19937_64 random_;
  Instant startedAt_;
  std::optional<cairn::Ledge> ledge_;
  cairn::Value known_;
  std::map<std::uint64_t, std::string> knownTexts_;
  cairn::Shelf shelf_;
  std::uint64_t knownTextOf_ = 0;
  Instant rivalAt_;     // when another node's round last came by
  bool dirty_ = false;  // the state in memory is ahead of the disk
  bool repairing_ = false;
  Span repairPause_{};  // longer after each read that reached no majority
  bool changingVoters_ = false;
  int climbing_ = 0;
  Instant halfSince_;  // a change of voters has been seen half done since
  std::uint64_t halfEpoch_ = 0;
  std::optional<Instant> aheadSince_;
  Instant rejoinAt_;
  std::set<NodeId> rejoinAsked_;  // who has not answered yet
};

}  // namespace merlin::hut
