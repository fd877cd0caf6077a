#include "simulation/explorer/wire.hpp"

#include <algorithm>

#include "consensus/message_codec.hpp"

namespace merlingauge::test::explorer {

namespace {
/// In the order of RegisterRequest::Kind.
constexpr const char* kRequestNames[] = {"prepare", "accept", "rejoin", "fetch"};
/// Of an incarnation only the random part, to keep names short.
constexpr std::uint64_t kRoundMask = 0xFFFFFU;
}  // namespace

std::string Wire::nameOf(const Message& message) const {
  const auto sender = message.isOfRejoin() ? scope_.ids[message.sender].str()
                                           : "p" + std::to_string(message.sender + 1);
  return (message.isReply() ? "reply " : "") +
         std::string(kRequestNames[static_cast<int>(message.request.kind)]) + " " + sender + "." +
         std::to_string(message.round & kRoundMask) + " " + scope_.ids[message.voter].str();
}

void Wire::send(State& state, Message message) const {
  const auto name = nameOf(message);
  message.name = name;
  const auto isTaken = [&](const MessagePtr& other) { return other->name == message.name; };
  for (int copy = 2; std::any_of(state.inFlight.begin(), state.inFlight.end(), isTaken); ++copy) {
    message.name = name + " #" + std::to_string(copy);
  }
  if (editor_.hashes()) {
    const auto content = message.isReply() ? toJson(message.reply) : toJson(message.request);
    message.hash = hashOf(name + content.dump());
  }
  state.inFlight.push_back(std::make_shared<const Message>(std::move(message)));
}

}  // namespace merlingauge::test::explorer
