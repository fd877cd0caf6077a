// messages.hpp: what proposers and acceptors say to each other.
#pragma once

#include <cstdint>
#include <string>

#include "base/ids.hpp"
#include "consensus/ballot.hpp"
#include "consensus/incarnation.hpp"
#include "consensus/register_value.hpp"

namespace merlingauge::consensus {

/// A request to an acceptor. All kinds share one struct, since they share their way over the wire
/// and through the simulations; each field says which kinds carry it.
struct RegisterRequest {
  /// The numbers are sent: they must never change.
  enum class Kind : std::uint8_t {
    prepare,  ///< phase 1a: promise this ballot and show what was accepted
    accept,   ///< phase 2a: accept this value under this ballot
    rejoin,   ///< from an acceptor that lost its disk: note its incarnation and show the state
    fetch,    ///< send the whole value with its configuration text
  };
  Kind kind = Kind::prepare;
  NodeId sender;
  Ballot ballot;                      ///< prepare, accept
  RegisterValue value;                ///< accept: the value to accept
  Incarnation incarnation;            ///< rejoin: the sender's new incarnation
  std::string knownValueId;           ///< prepare: the value that need not be sent again
  std::uint64_t cachedTextId = 0;     ///< prepare, rejoin: a text that the sender has; 0: none
  std::uint64_t cachedHistoryId = 0;  ///< prepare: a history that the sender has; 0: none
  std::uint64_t wantedTextId = 0;     ///< fetch: the text that the sender lacks
};

/// How a value in the reply to `request` is encoded.
[[nodiscard]] ReceiverState receiverStateOf(const RegisterRequest& request);

/// An acceptor's reply to any kind of request.
struct RegisterReply {
  /// Promised, accepted, noted or shown, as asked. A reply that is not granted carries no value.
  bool granted = false;
  /// The acceptor lost its disk and has not yet read the others: it promises and accepts nothing,
  /// and its reply counts in no quorum.
  bool recovering = false;
  /// The acceptor's own incarnation. A reply of a superseded one does not count.
  Incarnation incarnation;
  /// The highest ballot promised: a proposer below it starts again above it (phase 1b).
  Ballot promisedBallot;
  /// The ballot under which `value` was accepted; number 0: nothing was accepted (phase 1b).
  Ballot acceptedBallot;
  RegisterValue value;
  /// `value` was taken over from other acceptors and not accepted by this incarnation, so it does
  /// not count as a vote for it: a read that meets such a reply runs the accept phase.
  bool valueRecovered = false;
  /// The value is the one that the request names as known, and is not sent again.
  bool sameValue = false;
  std::uint64_t textId = 0;     ///< the text that the acceptor has; 0: none
  std::uint64_t historyId = 0;  ///< the history that the acceptor has; 0: none
  /// rejoin: the newest incarnation of the requester that the acceptor knows. Of a refusal it is
  /// never below the one that the request names.
  Incarnation requesterIncarnation;
  /// What the acceptor knows of incarnations after the first. Replies of which one shows another to
  /// come from a superseded incarnation do not count together (crash-consistent quorum).
  IncarnationMap incarnations;
};

}  // namespace merlingauge::consensus
