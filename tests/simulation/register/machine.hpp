// machine: one control node with an acceptor, a disk and what it knows of the others.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/ids.hpp"
#include "config/config_text.hpp"
#include "consensus/acceptor.hpp"
#include "consensus/acceptor_state_codec.hpp"

namespace merlingauge::test::register_world {

/// A time that has not come yet.
constexpr double kNever = -1;

/// What a machine has heard of another one, where the voters are managed automatically.
struct PeerView {
  double heardAtMs = kNever;
  double knownSinceMs = 0;
  bool recovered = false;
  bool leaving = false;
};

/// Times are simulated milliseconds since the start of the run.
struct Machine {
  NodeId id;
  std::optional<consensus::Acceptor> acceptor;         ///< empty: the process is down
  std::optional<consensus::StoredAcceptorState> disk;  ///< what a power cut leaves
  std::optional<consensus::StoredAcceptorState> snapshot;
  bool diskLost = false;
  int process = 0;  ///< number of starts and stops; answers to an older process are lost

  double diskHungUntilMs = 0;
  bool diskFull = false;
  double frozenUntilMs = 0;
  std::uint64_t lastSave = 0;      ///< number of the last save asked for
  std::uint64_t lastSaveDone = 0;  ///< the disk holds this save or a newer one

  consensus::RegisterValue known;
  config::ConfigTextCache textCache;
  /// Its acceptor holds a newer value than it knows to be committed, since then.
  double acceptorAheadSinceMs = kNever;

  double catchingUpSinceMs = kNever;  ///< booted then, and has not caught up yet
  std::uint64_t catchUpTarget = 0;    ///< sequence that had been acknowledged when it booted

  std::map<NodeId, PeerView> peers;
  double lastTickMs = 0;
  double listeningSinceMs = 0;  ///< it stood still before that
  double leavingSinceMs = kNever;
  double leavesForMs = 0;  ///< how long it stays away after leaving; 0: for good
  bool changingVoters = false;
  double jointVotersSinceMs = kNever;  ///< a change of voters was seen half done since then
};

}  // namespace merlingauge::test::register_world
