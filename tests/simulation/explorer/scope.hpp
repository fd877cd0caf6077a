// scope: the bounds of an exploration, as its scenario gives them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test::explorer {

/// Planted on purpose: the exploration must find a violation.
enum class PlantedFault : std::uint8_t {
  none,
  forgottenDisk,  ///< `forgotten_disk`: a voter that lost its disk votes as if nothing had been
  hiddenIncarnations,  ///< `hidden_incarnations`: replies say nothing of incarnations
  lateReply,           ///< `late_reply`: a promise that comes late counts as an acceptance
  oneMajority,         ///< `one_majority`: new voters take over without the old ones
  earlyRejection,      ///< `early_rejection`: rejected as soon as a majority has been read
  unreadVoters,        ///< `unread_voters`: new voters vote without having read from the old ones
  unsyncedReplies,     ///< `unsynced_replies`: replies do not wait for the disk
};

/// What one proposer does.
struct Task {
  enum class Kind : std::uint8_t { put, read, changeVoters };
  Kind kind = Kind::read;
  std::size_t node = 0;
  std::int64_t base = 0;  ///< the revision that a put builds on
  std::string tag;        ///< see value_tags.hpp
  std::vector<NodeId> voters;
};

/// `nodes N`, of which the first `voters N` vote at the start. put NODE BASE [TAG], read NODE,
/// change NODE VOTER...: the proposers, in this order. The other lines limit how often a step may
/// be taken in one run.
struct Scope {
  explicit Scope(const Scenario& scenario);
  [[nodiscard]] std::size_t placeOf(const std::string& name) const;
  [[nodiscard]] std::size_t placeOf(const NodeId& id) const { return placeOf(id.str()); }

  PlantedFault fault = PlantedFault::none;
  std::vector<NodeId> ids;
  std::vector<NodeId> firstVoters;
  std::vector<NodeId> nextVoters;  ///< after a change of voters
  std::vector<Task> tasks;
  int diskLosses = 0;          ///< `disk_losses`
  int crashes = 0;             ///< `crashes`
  int duplicates = 0;          ///< `duplicates`: messages delivered a second time
  int rounds = 1;              ///< `rounds` of each proposer
  bool syncsAreSteps = false;  ///< `syncs`: otherwise the disk syncs at once
  bool heals = true;           ///< `heal 0`: no read after the faults have ended
  /// No disk is lost while so many of the first voters are not recovered.
  std::size_t mostUnrecovered = 1;

 private:
  void addTask(const std::vector<std::string>& words);
};

}  // namespace merlingauge::test::explorer
