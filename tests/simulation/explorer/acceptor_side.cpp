#include "simulation/explorer/acceptor_side.hpp"

#include <utility>

#include "consensus/acceptor_state_codec.hpp"

namespace merlingauge::test::explorer {

using consensus::Acceptor;
using consensus::RegisterRequest;
using consensus::RegisterValue;

namespace {
/// The proposer is done: its replies change nothing, and are left out to keep the search small.
bool isAwaited(const State& state, const Message& message) {
  return message.isOfRejoin() || !state.proposers[message.sender]->done;
}

/// Falls with each lost disk: the order of incarnations must not rest on luck.
std::uint64_t fallingRandom(int disksLost, std::size_t place) {
  return 1000 - 10 * static_cast<std::uint64_t>(disksLost) + place + 1;
}
}  // namespace

void AcceptorSide::handleRequest(State& state, const Message& message) const {
  editor_.edit(state.nodes[message.voter],
               [&](Node& node) { handleRequest(state, node, message); });
}

void AcceptorSide::handleRequest(State& state, Node& node, const Message& message) const {
  const auto handled = node.acceptor.handle(message.request);
  Message reply = message;
  reply.kind = message.isOfRejoin() ? Message::Kind::rejoinReply : Message::Kind::reply;
  reply.reply = handled.reply;
  reply.request.value = RegisterValue{};
  const bool awaited = isAwaited(state, message);
  if (message.request.kind == RegisterRequest::Kind::accept && handled.reply.granted) {
    recordAcceptance(state, node, message);
  }
  const bool repliesUnsynced = scope_.fault == PlantedFault::unsyncedReplies;
  const bool waitsForDisk =
      handled.syncBeforeSend || node.unsynced || !node.unsyncedReplies.empty();
  if (!node.acceptor.recovered() || !waitsForDisk || repliesUnsynced) {
    node.unsynced = node.unsynced || repliesUnsynced;
    const bool isSafe = !node.acceptor.recovered() || isOnDisk(node) || repliesUnsynced;
    if (!isSafe) state.violation = "a reply doesn't rest on synced state";
    if (awaited) wire_.send(state, std::move(reply));
    return;
  }
  node.unsynced = true;
  if (awaited) node.unsyncedReplies.push_back(std::make_shared<const Message>(std::move(reply)));
  if (!scope_.syncsAreSteps) sendSynced(state, node);
}

/// A vote counts once it is on the disk: what a crash takes away was never given.
void AcceptorSide::recordAcceptance(State& state, Node& node, const Message& message) const {
  if (!scope_.syncsAreSteps || scope_.fault == PlantedFault::unsyncedReplies) {
    invariants_.recordVote(state, message.voter, node.acceptor);
  } else {
    node.unsyncedVotes.push_back(node.acceptor);
  }
}

bool AcceptorSide::isOnDisk(const Node& node) const {
  return node.disk && consensus::encodeState(node.disk->state()).head ==
                          consensus::encodeState(node.acceptor.state()).head;
}

void AcceptorSide::sync(State& state, std::size_t place) const {
  editor_.edit(state.nodes[place], [&](Node& node) {
    sendSynced(state, node);
    for (const auto& voted : std::exchange(node.unsyncedVotes, {})) {
      invariants_.recordVote(state, place, voted);
    }
  });
}

void AcceptorSide::sendSynced(State& state, Node& node) const {
  node.disk = node.acceptor;
  node.unsynced = false;
  for (const auto& reply : node.unsyncedReplies) {
    if (isAwaited(state, *reply)) wire_.send(state, *reply);
  }
  node.unsyncedReplies.clear();
}

void AcceptorSide::crash(State& state, std::size_t place) const {
  ++state.crashes;
  restart(state, place);
}

void AcceptorSide::loseDisk(State& state, std::size_t place) const {
  ++state.diskLosses;
  editor_.edit(state.nodes[place], [](Node& node) { node.disk.reset(); });
  invariants_.recordDiskLoss(state, place);
  restart(state, place);
}

/// As the register service does it.
void AcceptorSide::restart(State& state, std::size_t place) const {
  const auto& id = scope_.ids[place];
  editor_.edit(state.nodes[place], [&](Node& node) {
    node.known = RegisterValue{};
    node.known.voters = scope_.firstVoters;
    node.unsyncedReplies.clear();
    node.unsyncedVotes.clear();
    node.rejoinReplies.clear();
    node.askedToRejoin.clear();
    node.unsynced = false;
    if (!node.disk) {
      const auto random = fallingRandom(++node.disksLost, place);
      node.acceptor = Acceptor(id, consensus::nextIncarnation(Incarnation{}, random),
                               scope_.fault == PlantedFault::forgottenDisk);
      return;
    }
    const auto stored = consensus::encodeState(node.disk->state());
    node.acceptor = Acceptor(id, consensus::decodeState(stored));
    const auto& value = node.acceptor.value();
    if (value.epoch == 0) return;
    node.known.voters = value.voters;
    node.known.previousVoters = value.previousVoters;
    node.known.epoch = value.epoch;
  });
}

void AcceptorSide::askToRejoin(State& state, std::size_t place) const {
  editor_.edit(state.nodes[place], [&](Node& node) {
    const auto request = node.acceptor.rejoinRequest();
    for (const auto& other : node.otherVoters(scope_.ids[place])) {
      if (!node.askedToRejoin.insert(other).second) continue;
      Message message;
      message.kind = Message::Kind::rejoinRequest;
      message.sender = place;
      message.voter = scope_.placeOf(other);
      message.round = request->incarnation.value;
      message.request = *request;
      wire_.send(state, std::move(message));
    }
  });
}

void AcceptorSide::handleRejoinReply(State& state, const Message& message) const {
  const auto place = message.sender;
  if (state.nodes[place]->acceptor.incarnation().value != message.round) return;
  editor_.edit(state.nodes[place], [&](Node& node) {
    if (node.acceptor.recovered()) return;
    node.rejoinReplies.push_back(message.hash);
    const bool hasRecovered =
        node.acceptor.handleRejoinReply(scope_.ids[message.voter], message.reply, node.known);
    // Its incarnation was raised: all are asked again.
    if (node.acceptor.incarnation().value != message.round) node.askedToRejoin.clear();
    if (!hasRecovered) return;
    node.rejoinReplies.clear();
    node.askedToRejoin.clear();
    node.unsynced = true;
    if (!scope_.syncsAreSteps) sendSynced(state, node);
    invariants_.recordVote(state, place, node.acceptor);
  });
}

}  // namespace merlingauge::test::explorer
