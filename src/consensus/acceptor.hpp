// acceptor.hpp: the voter's side of the register.
#pragma once

#include <map>
#include <optional>

#include "base/ids.hpp"
#include "consensus/acceptor_state.hpp"
#include "consensus/messages.hpp"

namespace merlingauge::consensus {

/// Answers proposers (Paxos phases 1b and 2b) and, after the loss of its disk, reads the other
/// voters before it votes again. It touches no clock, socket or disk: whoever owns it stores its
/// state and sends its replies. docs/register.md has the argument why it is safe.
class Acceptor {
 public:
  /// `recovered`: it may vote at once, as on the very first start. With an empty disk later it must
  /// read the others first, and its incarnation has to be above that of any first start.
  Acceptor(NodeId self, Incarnation incarnation, bool recovered);
  /// Goes on from a stored state.
  Acceptor(NodeId self, AcceptorState state);

  struct Response {
    RegisterReply reply;
    /// The reply may leave only after the state is on disk.
    bool syncBeforeSend = false;
  };
  Response handle(const RegisterRequest& request);

  /// What to ask the other voters while this one has not recovered; nothing afterwards.
  [[nodiscard]] std::optional<RegisterRequest> rejoinRequest() const;
  /// Takes a reply to `rejoinRequest`. `known`: the newest value that this node knows to be
  /// committed. True once the acceptor has recovered; then the state has to be stored.
  bool handleRejoinReply(const NodeId& from, const RegisterReply& reply,
                         const RegisterValue& known);

  /// `known`, a committed value, as the basis of a proposal. Gossip hands values on without their
  /// history; this acceptor may have it.
  [[nodiscard]] RegisterValue proposalBasis(RegisterValue known) const;

  [[nodiscard]] const AcceptorState& state() const { return state_; }
  [[nodiscard]] bool recovered() const { return state_.recovered; }
  [[nodiscard]] const RegisterValue& value() const { return state_.value; }
  [[nodiscard]] const Ballot& acceptedBallot() const { return state_.acceptedBallot; }
  [[nodiscard]] Incarnation incarnation() const { return state_.incarnation; }

 private:
  Response handlePrepare(const RegisterRequest& request);
  Response handleAccept(const RegisterRequest& request);
  Response handleRejoin(const RegisterRequest& request);
  [[nodiscard]] RegisterReply makeReply(bool granted) const;
  void learnIncarnation(const NodeId& node, Incarnation incarnation);
  void forgetIncarnations(const NodeId& except);
  void raiseIncarnation(Incarnation known);
  void dropSupersededRejoinReplies();
  [[nodiscard]] bool hasRejoinQuorum(const RegisterValue& known) const;
  void adoptRejoinReplies();

  NodeId self_;
  AcceptorState state_;
  /// While not recovered: the last reply of each voter to this incarnation's rejoin request, none
  /// of them from an incarnation known to be superseded. Not durable: a restart asks again.
  std::map<NodeId, RegisterReply> rejoinReplies_;
};

}  // namespace merlingauge::consensus
