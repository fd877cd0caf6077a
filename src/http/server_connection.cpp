#include "http/server_connection.hpp"

#include <Poco/Logger.h>
#include <Poco/Net/HTTPMessage.h>

#include <utility>

#include "http/message_head.hpp"
#include "http/message_headers.hpp"

namespace merlingauge::http {

using Poco::Net::HTTPMessage;

namespace {
// Reading stops while so much of a connection is buffered: enough for a round trip at the speed of
// a local network, little beside the memory of a node with its largest number of connections.
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;
// So many requests of one connection may run at once, so that one caller can't take every slot.
constexpr std::size_t kMaxPipelinedExchanges = 8;
}  // namespace

ServerConnection::ServerConnection(event::EventLoop& loop, TcpConnection::Ptr connection,
                                   std::shared_ptr<ListenerContext> context)
    : loop_(loop), connection_(std::move(connection)), context_(std::move(context)), timer_(loop) {}

void ServerConnection::start(std::function<void()> onClosed) {
  onClosed_ = std::move(onClosed);
  connection_->onData = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->advance();
  };
  connection_->onFlushed = [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->exchanges_.empty() && self->exchanges_.front()->onFlushed) {
      self->exchanges_.front()->onFlushed();
    }
  };
  connection_->onEnd = [weak = weak_from_this()](TcpConnection::EndReason) {
    if (const auto self = weak.lock()) self->close();
  };
  if (context_->answersAfterHalfClose) {
    connection_->onInputEnd = [weak = weak_from_this()] {
      const auto self = weak.lock();
      return self && self->onInputEnd();
    };
  }
  expectHead();
}

bool ServerConnection::onInputEnd() {
  if (exchanges_.empty() || !exchanges_.back()->bodyComplete) return false;
  exchanges_.back()->closeAfterResponse_ = true;
  return true;
}

void ServerConnection::expectHead() {
  expectingHead_ = true;
  startTimer(context_->limits.headerTimeout);
}

void ServerConnection::startTimer(Duration wait) {
  timer_.start(wait, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->onTimeout();
  });
}

void ServerConnection::onTimeout() {
  if (!exchanges_.empty()) return;
  // The answer is on its way to a caller that reads slowly: the connection isn't idle yet.
  if (!expectingHead_ && connection_->peerTakesOutputWithin(context_->limits.idleTimeout)) {
    startTimer(context_->limits.idleTimeout);
    return;
  }
  if (connection_->input.empty()) {
    close();
  } else {
    reject(ErrorKind::headerTimeout);
  }
}

void ServerConnection::close() {
  if (over_) return;
  over_ = true;
  const auto self = shared_from_this();  // the listener lets go of it in onClosed_
  timer_.cancel();
  checkPartialAnswer();
  connection_->close();
  abandonExchanges();
  if (onClosed_) onClosed_();
}

void ServerConnection::checkPartialAnswer() const {
  if (exchanges_.empty()) return;
  auto& front = *exchanges_.front();
  const bool closeCompletesIt = front.headSent() && front.endsByClose();
  front.check(ResponseInvariant::partialEndsInReset,
              !closeCompletesIt || connection_->isAbortive() || connection_->isClosed());
}

void ServerConnection::countEnd(const ServerExchange& exchange) const {
  auto& counts = context_->responseEnds;
  if (!exchange.aborted_) {
    ++counts.whole;
    return;
  }
  ++counts.partial;
  Poco::Logger::get("http").warning("cut short: " + exchange.describeForLog());
}

// Nobody waits for their answers any more: whatever runs of them ends.
void ServerConnection::abandonExchanges() {
  const auto abandoned = std::exchange(exchanges_, {});
  for (const auto& exchange : abandoned) {
    const bool wasRunning = !exchange->over_;
    exchange->over_ = true;
    if (wasRunning) ++context_->responseEnds.callerGone;
    if (wasRunning && exchange->onClientGone) exchange->onClientGone();
  }
}

void ServerConnection::advance() {
  if (advancing_ || over_) return;
  const auto self = shared_from_this();
  advancing_ = true;
  while (!over_) {
    if (!exchanges_.empty() && !exchanges_.back()->bodyComplete) {
      continueBody();
      if (exchanges_.empty() || !exchanges_.back()->bodyComplete) break;
      continue;
    }
    if (!mayBeginNext()) {
      // What has come waits its turn, unread beyond the limit.
      if (connection_->input.size() > kMaxBufferedBytes) connection_->enableReading(false);
      break;
    }
    if (connection_->input.empty() || !beginExchange()) break;
  }
  advancing_ = false;
}

bool ServerConnection::isFront(const ServerExchange& exchange) const {
  return !exchanges_.empty() && exchanges_.front().get() == &exchange;
}

bool ServerConnection::isLast(const ServerExchange& exchange) const {
  return exchanges_.empty() || exchanges_.back().get() == &exchange;
}

void ServerConnection::limitReading(std::size_t bufferedBytes) {
  connection_->enableReading(bufferedBytes < kMaxBufferedBytes);
}

// Behind an answer that closes, or a request that has to wait for its turn, nothing is read.
bool ServerConnection::mayBeginNext() const {
  if (exchanges_.empty()) return true;
  if (!context_->mayPipeline || context_->draining) return false;
  if (exchanges_.size() >= kMaxPipelinedExchanges) return false;
  const auto& last = *exchanges_.back();
  if (last.closeAfterResponse_ || !last.dispatched_ || wantsClose(last.request)) return false;
  std::size_t unsent = connection_->unsentBytes();
  for (const auto& exchange : exchanges_) unsent += exchange->heldOutput_.size();
  return unsent < kMaxBufferedBytes;
}

bool ServerConnection::beginExchange() {
  const auto headSize = findCompleteHead();
  if (!headSize) return false;
  const auto exchange = parseExchange(*headSize);
  if (!exchange) return false;
  enqueue(exchange);
  const auto progress = readBody(*exchange);
  exchange->bodyComplete = progress.complete;
  if (progress.error) {
    reject(*progress.error);
    return false;
  }
  // A request that may not be repeated is offered to at most one server: behind others it waits,
  // since an answer that closes drops it unread, and its caller may then send it again.
  if (isFront(*exchange) || context_->mayPipeline(*exchange)) dispatch(exchange);
  return true;
}

std::optional<std::size_t> ServerConnection::findCompleteHead() {
  auto& input = connection_->input;
  // Blank lines ahead of a request are allowed by the protocol.
  while (input.compare(0, 2, "\r\n") == 0) input.erase(0, 2);
  if (input.empty()) return std::nullopt;
  const auto found = findHead(input, context_->limits.maxHeadBytes);
  switch (found.result) {
    case HeadParseResult::incomplete:
      if (!expectingHead_ && exchanges_.empty()) expectHead();
      return std::nullopt;
    case HeadParseResult::tooLarge:
      reject(ErrorKind::headersTooLarge);
      return std::nullopt;
    case HeadParseResult::malformed:
      reject(ErrorKind::malformedRequest);
      return std::nullopt;
    case HeadParseResult::complete:
      return found.size;
  }
  return std::nullopt;
}

ServerExchange::Ptr ServerConnection::parseExchange(std::size_t headSize) {
  const std::string_view head(connection_->input.data(), headSize);
  if (countFieldLines(head) > context_->limits.maxHeaderFields) {
    reject(ErrorKind::headersTooLarge);
    return nullptr;
  }
  auto exchange = std::make_shared<ServerExchange>();
  const auto framing = parseRequestHead(head, exchange->request);
  if (!framing) {
    reject(ErrorKind::malformedRequest);
    return nullptr;
  }
  connection_->input.erase(0, headSize);
  if (framing->kind == FramingKind::contentLength &&
      framing->length > context_->limits.maxBodyBytes) {
    reject(ErrorKind::bodyTooLarge);
    return nullptr;
  }
  exchange->requestFraming = *framing;
  return exchange;
}

void ServerConnection::enqueue(const ServerExchange::Ptr& exchange) {
  timer_.cancel();
  exchange->startedAt = loop_.now();
  exchange->connection_ = weak_from_this();
  bodyReader_ = BodyReader(exchange->requestFraming);
  bodyBytesRead_ = 0;
  exchanges_.push_back(exchange);
  const bool hasBody = exchange->requestFraming.kind != FramingKind::none;
  if (hasBody && exchange->request.getExpectContinue()) exchange->sendContinue();
}

void ServerConnection::dispatch(const ServerExchange::Ptr& exchange) {
  exchange->dispatched_ = true;
  context_->onExchange(exchange);
}

ServerConnection::BodyProgress ServerConnection::readBody(ServerExchange& exchange) {
  const auto before = exchange.receivedBody.size();
  const auto state = bodyReader_.consume(connection_->input, exchange.receivedBody);
  bodyBytesRead_ += exchange.receivedBody.size() - before;
  BodyProgress progress;
  progress.complete = state == BodyReader::State::done;
  if (state == BodyReader::State::malformed) {
    progress.error = ErrorKind::malformedRequest;
  } else if (bodyBytesRead_ > context_->limits.maxBodyBytes) {
    progress.error = ErrorKind::bodyTooLarge;
  }
  return progress;
}

void ServerConnection::continueBody() {
  const auto exchange = exchanges_.back();
  const auto progress = readBody(*exchange);
  if (!progress.error) {
    exchange->bodyComplete = progress.complete;
    if (exchange->onBody) exchange->onBody();
    return;
  }
  // The request can't be complete any more; whoever has the front of it must drop it.
  if (exchange->headSent()) {
    closeAfterPartialAnswer(*exchange);
    return;
  }
  const auto onClientGone = exchange->onClientGone;
  reject(*progress.error);
  if (onClientGone) onClientGone();
}

void ServerConnection::reject(ErrorKind kind) {
  if (context_->onRejected) context_->onRejected(kind);
  auto exchange = exchanges_.empty() ? nullptr : exchanges_.back();
  if (!exchange || (exchange->dispatched_ && exchange->bodyComplete)) {
    exchange = std::make_shared<ServerExchange>();
    exchange->connection_ = weak_from_this();
    exchange->request.setVersion(HTTPMessage::HTTP_1_1);
    exchanges_.push_back(exchange);
  }
  exchange->closeAfterResponse_ = true;
  exchange->respondError(kind);
}

void ServerConnection::onFrontFinished() {
  const auto self = shared_from_this();
  while (!over_ && !exchanges_.empty() && exchanges_.front()->over_) {
    const auto exchange = exchanges_.front();
    connection_->write(std::exchange(exchange->heldOutput_, {}));
    if (exchange->aborted_) {
      closeAfterPartialAnswer(*exchange);
      return;
    }
    exchanges_.pop_front();
    loop_.defer([exchange] {});  // a callback of it may be running
    if (exchange->closeAfterResponse_) {
      closeAfterAnswer();
      return;
    }
    if (!exchanges_.empty()) beginNextAnswer();
  }
  if (over_) return;
  connection_->enableReading(true);
  if (exchanges_.empty()) {
    expectingHead_ = false;
    startTimer(context_->limits.idleTimeout);
  }
  if (connection_->input.empty()) return;
  loop_.defer([weak = weak_from_this()] {
    if (const auto connection = weak.lock()) connection->advance();
  });
}

void ServerConnection::closeAfterAnswer() {
  connection_->closeAfterFlush();
  leaveConnection();
}

// What has been written leaves first: answers before this one are whole. Its own end is missing by
// its framing, or, where the close would be its end, there is a reset in place of that.
void ServerConnection::closeAfterPartialAnswer(const ServerExchange& exchange) {
  if (exchange.endsByClose()) {
    checkPartialAnswer();
    connection_->abortAfterFlush();
  } else {
    connection_->closeAfterFlush();
  }
  leaveConnection();
}

// The connection ends by itself, once its output has left.
void ServerConnection::leaveConnection() {
  if (over_) return;
  const auto self = shared_from_this();  // the listener lets go of it in onClosed_
  over_ = true;
  timer_.cancel();
  if (hasUnacknowledgedOutput()) {
    ++context_->closingWithOutput;
    connection_->onDrained = [context = context_] { --context->closingWithOutput; };
  }
  abandonExchanges();  // what was sent behind it counts as unread
  if (onClosed_) onClosed_();
}

void ServerConnection::beginNextAnswer() {
  const auto next = exchanges_.front();
  if (next->headSent() && next->endsByClose()) setAbortiveClose();
  connection_->write(std::exchange(next->heldOutput_, {}));
  if (!next->dispatched_ && !next->over_) dispatch(next);
  if (!next->over_ && next->onFlushed) next->onFlushed();
}

}  // namespace merlingauge::http
