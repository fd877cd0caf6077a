// acceptor_state.hpp: what an acceptor must not forget.
#pragma once

#include <cstdint>

#include "base/ids.hpp"
#include "consensus/ballot.hpp"
#include "consensus/incarnation.hpp"
#include "consensus/register_value.hpp"

namespace merlingauge::consensus {

/// The durable part of an acceptor. It is on disk before any reply that rests on it is sent.
struct AcceptorState {
  /// This acceptor's incarnation. Rises only, and only while `recovered` is false: replies that
  /// counted in a quorum were all given by the incarnation that they name.
  Incarnation incarnation;
  /// The acceptor has all promises and votes that its earlier incarnations may have given: it never
  /// lost its disk, or has read a majority of the other voters since. Until then it promises and
  /// accepts nothing.
  bool recovered = false;
  /// `value` was read from the other voters at recovery: no proof that it was accepted here. False
  /// again with the next value that is accepted.
  bool valueRecovered = false;
  /// The highest ballot promised. Rises only: whatever is below it is rejected (Paxos phase 1b).
  Ballot promisedBallot;
  /// The ballot under which `value` was accepted; never above `promisedBallot` (phase 2b). Number
  /// 0: nothing was accepted.
  Ballot acceptedBallot;
  /// The value accepted under the highest ballot. It may be committed or not: only a quorum tells.
  RegisterValue value;
  /// The newest incarnation known of each voter that ever lost its disk. An entry rises until the
  /// node is forgotten, which only one that does not vote is. It is on disk before the acceptor
  /// replies to that incarnation's rejoin request: so of two acceptors in one quorum, either the
  /// reply of one tells that the other is superseded, or it was given before the loss of the disk
  /// mattered (crash-consistent quorum; docs/register.md).
  IncarnationMap incarnations;
};

/// The state of an acceptor that is put back from a snapshot: promises given since are unknown, so
/// it takes a new incarnation and reads the other voters before it votes. It keeps its value: that
/// one may be all that is left of it.
[[nodiscard]] AcceptorState fenced(AcceptorState state, std::uint64_t randomBits);

}  // namespace merlingauge::consensus
