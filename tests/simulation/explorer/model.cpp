#include "simulation/explorer/model.hpp"

#include <utility>

namespace merlingauge::test::explorer {

using consensus::Proposer;
using consensus::RegisterReply;
using consensus::RegisterValue;

namespace {
/// Enough for every node to recover, whose incarnation may be raised meanwhile.
constexpr int kRecoveryTurns = 6;
constexpr int kReadRounds = 20;
constexpr std::uint64_t kReaderSeed = 99;
constexpr double kReadLimitSeconds = 3600;
}  // namespace

Model::Model(const Scenario& scenario)
    : scope_(scenario),
      wire_(scope_, editor_),
      invariants_(scope_, editor_),
      proposers_(scope_, editor_, wire_, invariants_),
      acceptors_(scope_, editor_, wire_, invariants_),
      steps_(scope_),
      initial_(initialState(scope_)) {}

void Model::take(State& state, const Step& step) const {
  switch (step.kind) {
    case Step::Kind::start:
      proposers_.start(state, step.subject);
      break;
    case Step::Kind::timeout:
      proposers_.timeOut(state, step.subject);
      break;
    case Step::Kind::duplicate: {
      ++state.duplicates;
      const auto message = state.inFlight[step.subject];
      deliver(state, *message);
      break;
    }
    case Step::Kind::deliver: {
      const auto message = state.inFlight[step.subject];
      state.inFlight.erase(state.inFlight.begin() + static_cast<std::ptrdiff_t>(step.subject));
      deliver(state, *message);
      break;
    }
    case Step::Kind::sync:
      acceptors_.sync(state, step.subject);
      break;
    case Step::Kind::crash:
      acceptors_.crash(state, step.subject);
      break;
    case Step::Kind::loseDisk:
      acceptors_.loseDisk(state, step.subject);
      break;
    case Step::Kind::rejoin:
      acceptors_.askToRejoin(state, step.subject);
      break;
    case Step::Kind::gossip: {
      const auto value = state.nodes[step.subject]->known;
      editor_.edit(state.nodes[step.object], [&value](Node& node) { node.known = value; });
      break;
    }
  }
}

void Model::deliver(State& state, const Message& message) const {
  switch (message.kind) {
    case Message::Kind::request:
    case Message::Kind::rejoinRequest:
      acceptors_.handleRequest(state, message);
      break;
    case Message::Kind::reply:
      proposers_.handleReply(state, message);
      break;
    case Message::Kind::rejoinReply:
      acceptors_.handleRejoinReply(state, message);
      break;
  }
}

std::vector<std::string> Model::textsOf(const std::vector<std::uint32_t>& path) const {
  State state = initial_;
  std::vector<std::string> texts;
  for (const auto place : path) {
    const auto step = steps_.stepsOf(state).at(place);
    texts.push_back(steps_.textOf(state, step));
    take(state, step);
  }
  return texts;
}

std::string Model::violationAfterHealing(State state) const {
  if (!scope_.heals) return "";
  state.inFlight.clear();
  recoverAll(state);
  const auto reader = readAll(state);
  if (!reader.result() || !reader.result()->value) return "healed, but it can't be read";
  invariants_.recordReported(state, *reader.result()->value);
  return state.violation;
}

void Model::recoverAll(State& state) const {
  for (int turn = 0; turn < kRecoveryTurns; ++turn) {
    for (std::size_t i = 0; i < scope_.ids.size(); ++i) {
      editor_.edit(state.nodes[i], [](Node& node) { node.askedToRejoin.clear(); });
      if (!state.nodes[i]->unsyncedReplies.empty()) take(state, {Step::Kind::sync, i, 0});
      if (state.nodes[i]->acceptor.rejoinRequest()) take(state, {Step::Kind::rejoin, i, 0});
      while (!state.inFlight.empty()) take(state, {Step::Kind::deliver, 0, 0});
    }
  }
}

Proposer Model::readAll(State& state) const {
  RegisterValue known;
  known.voters = scope_.firstVoters;
  const auto keep = [](const RegisterValue&, RegisterValue&) { return Proposer::Decision{}; };
  Proposer reader(scope_.ids[0], known, keep, kReaderSeed);
  auto requests = reader.start(TimePoint(), fromSeconds(kReadLimitSeconds));
  for (int round = 0; round < kReadRounds && !reader.result(); ++round) {
    while (!requests.empty()) {
      const auto request = requests.front();
      requests.erase(requests.begin());
      RegisterReply reply;
      editor_.edit(state.nodes[scope_.placeOf(request.recipient)],
                   [&](Node& node) { reply = node.acceptor.handle(request.request).reply; });
      for (auto& next : reader.handleReply(request.recipient, request.round, reply, TimePoint())) {
        requests.push_back(std::move(next));
      }
    }
    if (!reader.result()) requests = reader.tick(reader.nextWakeUp());
  }
  return reader;
}

}  // namespace merlingauge::test::explorer
