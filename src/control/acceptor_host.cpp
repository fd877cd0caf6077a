#include "control/acceptor_host.hpp"

#include <stdexcept>
#include <string>
#include <utility>
#include <variant>

#include "consensus/acceptor_state_codec.hpp"
#include "consensus/incarnation.hpp"
#include "control/logger.hpp"

namespace merlingauge::control {

using consensus::Acceptor;
using consensus::RegisterReply;
using consensus::RegisterRequest;
using consensus::StalenessBound;

AcceptorHost::AcceptorHost(event::EventLoop& loop, storage::DurableStore& store,
                           StalenessBound& stalenessBound, config::ConfigTextCache& textCache,
                           const RegisterServiceOptions& options, std::mt19937_64& random)
    : loop_(loop),
      store_(store),
      stalenessBound_(stalenessBound),
      textCache_(textCache),
      self_(options.self),
      acceptor_(loadAcceptor(options, random)) {
  store_.start();
}

namespace {
// Nothing where the record is not an acceptor's state: its promises can't be known.
std::optional<consensus::AcceptorState> decodeStored(storage::StoredState stored) {
  try {
    return consensus::decodeState(
        {std::move(stored.head), config::ConfigText::create(std::move(stored.configText))});
  } catch (const std::runtime_error& error) {  // DecodeError or MissingCachedText
    logger().error(std::string("the stored state can't be read: ") + error.what());
  }
  return std::nullopt;
}

// What a disk without a state that can be read looks like, for the log.
std::string describeLoss(const storage::LoadResult& loaded) {
  if (std::holds_alternative<storage::NothingStored>(loaded)) return "empty disk";
  const auto* error = std::get_if<storage::StorageError>(&loaded);
  return error == nullptr ? "damaged disk" : "damaged disk (" + error->message() + ")";
}
}  // namespace

Acceptor AcceptorHost::loadAcceptor(const RegisterServiceOptions& options,
                                    std::mt19937_64& random) {
  auto loaded = store_.load();
  if (auto* stored = std::get_if<storage::StoredState>(&loaded)) {
    if (auto state = decodeStored(std::move(*stored))) {
      const auto& value = state->value;
      logger().information("state read back, version " + std::to_string(value.revision().value));
      consensus::cacheTexts(textCache_, value);
      stalenessBound_.onAccepted(value.sequence, StalenessBound::kNever);
      return Acceptor(options.self, *std::move(state));
    }
  }
  // Where something was stored and can't be read, promises may be among it.
  const bool damaged = !std::holds_alternative<storage::NothingStored>(loaded);
  if (options.bootstrap && !damaged) {
    logger().information("first start, empty state");
    return Acceptor(options.self, consensus::firstIncarnation(random()), true);
  }
  logger().warning(describeLoss(loaded) + ", the other voters are read before voting");
  return Acceptor(options.self, consensus::nextIncarnation(Incarnation{}, random()), false);
}

bool AcceptorHost::exceedsDisk(const RegisterRequest& request) const {
  return request.kind == RegisterRequest::Kind::accept && request.value.config &&
         request.value.config->text().size() > store_.maxTextBytes();
}

void AcceptorHost::handleRequest(const RegisterRequest& request, ReplyCallback onReply) {
  if (request.sender != self_ && request.kind != RegisterRequest::Kind::rejoin)
    lastRivalRound_ = loop_.now();
  if (exceedsDisk(request)) {
    // Not accepted in memory either: nothing after it could be saved.
    logger().error("a configuration of " + std::to_string(request.value.config->text().size()) +
                   " bytes is more than the disk is given");
    onReply(std::nullopt);
    return;
  }
  auto response = acceptor_.handle(request);
  if (request.kind == RegisterRequest::Kind::fetch) {
    // The acceptor may hold a newer text by now than the one that the proposer was told of.
    if (const auto text = textCache_.find(request.wantedTextId)) response.reply.value.config = text;
  }
  consensus::cacheTexts(textCache_, acceptor_.value());
  stalenessBound_.onAccepted(acceptor_.value().sequence, event::EventLoop::readClock());
  persistThenReply(response.syncBeforeSend, response.reply, std::move(onReply));
}

// A reply that changed nothing still waits for the writes before it: they may hold what it tells.
void AcceptorHost::persistThenReply(bool mustSync, const RegisterReply& reply,
                                    ReplyCallback onReply) {
  auto onWritten = [this, reply,
                    onReply = std::move(onReply)](const storage::StorageResult& error) {
    if (error) {
      unsaved_ = true;
      logger().error("acceptor state not written: " + error->message());
      onReply(std::nullopt);
      return;
    }
    onReply(reply);
  };
  if (mustSync || unsaved_) {
    unsaved_ = false;
    store_.save(persistedRecord(), std::move(onWritten));
  } else {
    store_.afterPendingWrites(std::move(onWritten));
  }
}

storage::StateRecord AcceptorHost::persistedRecord() const {
  auto state = consensus::encodeState(acceptor_.state());
  return {std::move(state.head), std::move(state.configText)};
}

bool AcceptorHost::handleRejoinReply(const NodeId& from, const RegisterReply& reply,
                                     const consensus::RegisterValue& committed) {
  if (!acceptor_.handleRejoinReply(from, reply, committed)) return false;
  consensus::cacheTexts(textCache_, acceptor_.value());
  stalenessBound_.onAccepted(acceptor_.value().sequence, StalenessBound::kNever);
  logger().information("promises read from the other voters, voting again");
  // Saved at once and not with the next reply: an acceptor that is no voter may not be asked for
  // long, and would have to recover again after a restart.
  store_.save(persistedRecord(), [this](const storage::StorageResult& error) {
    unsaved_ = unsaved_ || error.has_value();
  });
  return true;
}

}  // namespace merlingauge::control
