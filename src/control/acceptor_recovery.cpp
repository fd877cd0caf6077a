#include "control/acceptor_recovery.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "consensus/message_codec.hpp"
#include "control/register_rpc.hpp"

namespace merlingauge::control {

using consensus::RegisterRequest;
using nlohmann::json;

namespace {
// How long one voter may take to reply; a lost request is repeated after it.
constexpr Duration kRejoinCallTimeout = std::chrono::milliseconds(2000);
// How often voters without a pending request are asked.
constexpr Duration kRejoinInterval = std::chrono::milliseconds(250);
}  // namespace

AcceptorRecovery::AcceptorRecovery(event::EventLoop& loop, rpc::PeerRpc& rpc,
                                   const consensus::RegisterReplica& replica,
                                   AcceptorHost& acceptorHost, config::ConfigTextCache& textCache,
                                   NodeId self)
    : loop_(loop),
      rpc_(rpc),
      replica_(replica),
      acceptorHost_(acceptorHost),
      textCache_(textCache),
      self_(std::move(self)) {}

std::set<NodeId> AcceptorRecovery::otherVoters() const {
  const auto& committed = replica_.committedValue();
  std::set<NodeId> voters(committed.voters.begin(), committed.voters.end());
  voters.insert(committed.previousVoters.begin(), committed.previousVoters.end());
  voters.erase(self_);
  return voters;
}

void AcceptorRecovery::tick() {
  const TimePoint now = loop_.now();
  if (now < nextAttemptAt_) return;
  auto request = acceptorHost_.acceptor().rejoinRequest();
  if (!request) return;
  nextAttemptAt_ = now + kRejoinInterval;
  const auto& committedText = replica_.committedValue().config;
  const auto heldText = committedText ? committedText : acceptorHost_.acceptor().value().config;
  request->cachedTextId = heldText ? heldText->id() : 0;
  for (const auto& voter : otherVoters()) {
    if (pendingVoters_.insert(voter).second) ask(voter, *request, heldText);
  }
}

void AcceptorRecovery::ask(const NodeId& voter, const RegisterRequest& request,
                           const config::ConfigText::Ptr& heldText) {
  rpc_.call(voter, kRegisterRpcPath, toJson(request), kRejoinCallTimeout,
            [this, voter, heldText](const std::optional<json>& response) {
              pendingVoters_.erase(voter);
              handleReply(voter, response, heldText);
            });
}

void AcceptorRecovery::handleReply(const NodeId& from, const std::optional<json>& response,
                                   const config::ConfigText::Ptr& heldText) {
  if (!response || acceptorHost_.recovered()) return;
  // The request named this text, so the reply may rest on it.
  textCache_.add(heldText);
  std::optional<consensus::RegisterReply> reply;
  try {
    reply = consensus::replyFromJson(*response, &textCache_);
  } catch (const std::runtime_error&) {  // DecodeError or MissingCachedText
    return;                              // counts as no reply
  }
  acceptorHost_.handleRejoinReply(from, *reply, replica_.committedValue());
}

}  // namespace merlingauge::control
