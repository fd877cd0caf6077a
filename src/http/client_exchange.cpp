#include "http/client_exchange.hpp"

#include <Poco/Net/HTTPMessage.h>
#include <Poco/String.h>

#include <charconv>
#include <utility>

#include "http/connection_pool.hpp"
#include "http/message_head.hpp"
#include "http/message_headers.hpp"

namespace merlingauge::http {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {
// What ends a body that is complete by its own framing.
MessageEnd endByFraming(FramingKind framing) {
  switch (framing) {
    case FramingKind::none:
      return MessageEnd::noBody;
    case FramingKind::contentLength:
      return MessageEnd::contentLength;
    case FramingKind::chunked:
      return MessageEnd::lastChunk;
    case FramingKind::untilClose:
      return MessageEnd::orderlyClose;
  }
  return MessageEnd::abandoned;
}

// The N of `Keep-Alive: timeout=N`.
std::optional<Duration> announcedKeepAlive(const HTTPResponse& response) {
  constexpr std::string_view kParameter = "timeout=";
  const std::string text = Poco::toLower(response.get("Keep-Alive", ""));
  const auto found = text.find(kParameter);
  if (found == std::string::npos) return std::nullopt;
  int seconds = -1;
  std::from_chars(text.data() + found + kParameter.size(), text.data() + text.size(), seconds);
  if (seconds < 0) return std::nullopt;
  return std::chrono::seconds(seconds);
}
}  // namespace

ClientExchange::ClientExchange(ConnectionPool& pool, event::EventLoop& loop, std::string poolKey)
    : pool_(pool), loop_(loop), poolKey_(std::move(poolKey)) {}

void ClientExchange::begin(TcpConnection::Ptr connection, const HTTPRequest& request,
                           FramingKind framingKind, bool reused) {
  connection_ = std::move(connection);
  attemptId_ = request.get(kAttemptIdHeader, "");
  requestFramingKind_ = framingKind;
  isHeadRequest_ = request.getMethod() == HTTPRequest::HTTP_HEAD;
  reused_ = reused;
  if (reused) connectionIdleTime_ = loop_.now() - connection_->idleSince;
  requestComplete_ = framingKind == FramingKind::none;
  maybeSent_ = connection_->isOpen();
  setConnectionCallbacks();
  const auto head = serializeHead(request);
  if (!pool_.acceptsRequestHead(head.has_value(), attemptId_)) {
    refuseToSend();
    return;
  }
  connection_->write(*head);
}

// Nothing of the request leaves this node; its owner hears so after this turn of the loop.
void ClientExchange::refuseToSend() {
  maybeSent_ = false;
  connection_->close();
  loop_.defer([self = shared_from_this()] { self->fail(Failure::notSent, MessageEnd::abandoned); });
}

void ClientExchange::setConnectionCallbacks() {
  const std::weak_ptr<ClientExchange> weak = weak_from_this();
  connection_->onOpen = [weak] {
    if (const auto self = weak.lock()) self->maybeSent_ = true;
  };
  connection_->onData = [weak] {
    if (const auto self = weak.lock()) self->onData();
  };
  connection_->onFlushed = [weak] {
    const auto self = weak.lock();
    if (self && self->onFlushed) self->onFlushed();
  };
  connection_->onEnd = [weak](TcpConnection::EndReason reason) {
    if (const auto self = weak.lock()) self->onConnectionEnd(reason);
  };
}

void ClientExchange::sendBody(std::string_view bytes) {
  if (over_ || !connection_) return;
  std::string wire;
  appendBody(requestFramingKind_, bytes, wire);
  connection_->write(wire);
}

void ClientExchange::endBody() {
  if (over_ || requestComplete_ || !connection_) return;
  std::string wire;
  appendBodyEnd(requestFramingKind_, wire);
  connection_->write(wire);
  requestComplete_ = true;
}

void ClientExchange::pauseReading(bool paused) {
  if (!over_ && connection_) connection_->enableReading(!paused);
}

void ClientExchange::onData() {
  const auto self = shared_from_this();  // a callback may let go of the exchange
  receivedBytes_ = true;
  while (!over_ && !receivedHead_) {
    if (!readHead()) return;
  }
  if (!over_) readBody();
}

bool ClientExchange::readHead() {
  const auto limits = pool_.responseLimits();
  const auto found = findHead(connection_->input, limits.maxHeadBytes);
  if (found.result == HeadParseResult::incomplete) return false;
  if (found.result != HeadParseResult::complete) {
    fail(Failure::invalidResponse, MessageEnd::malformed);
    return false;
  }
  const std::string_view head(connection_->input.data(), found.size);
  HTTPResponse response;
  const auto framing =
      countFieldLines(head) > limits.maxHeaderFields ? std::nullopt : parseHead(head, response);
  if (!framing) {
    fail(Failure::invalidResponse, MessageEnd::malformed);
    return false;
  }
  connection_->input.erase(0, found.size);
  if (response.getStatus() >= HTTPResponse::HTTP_OK) {
    beginResponse(response, *framing);
  } else if (onInterimResponse) {
    onInterimResponse();
  }
  return true;
}

std::optional<BodyFraming> ClientExchange::parseHead(std::string_view head,
                                                     HTTPResponse& response) const {
  const auto framing = parseResponseHead(head, isHeadRequest_, response);
  if (!framing) return std::nullopt;
  const int status = response.getStatus();
  // No request from here asks for another protocol.
  if (status == HTTPResponse::HTTP_SWITCHING_PROTOCOLS) return std::nullopt;
  const bool isFinal = status >= HTTPResponse::HTTP_OK;
  // An answer reaches exactly its caller: without our Attempt-Id these are surplus or late bytes of
  // another exchange, and nothing on this connection can be trusted.
  if (isFinal && !attemptId_.empty() && response.get(kAttemptIdHeader, "") != attemptId_) {
    return std::nullopt;
  }
  // Named as a matter of this connection it would be missing from the copy for the caller.
  if (isFinal && isConnectionOption(response, kAttemptIdHeader)) return std::nullopt;
  if (isFinal && !pool_.acceptsFraming(*framing, attemptId_)) return std::nullopt;
  return framing;
}

void ClientExchange::beginResponse(HTTPResponse& response, const BodyFraming& framing) {
  receivedHead_ = true;
  serverKeepsAlive_ = !wantsClose(response) && framing.kind != FramingKind::untilClose;
  keepAliveTimeout_ = announcedKeepAlive(response);
  responseReader_ = BodyReader(framing);
  if (onResponseHead) onResponseHead(response, framing);
}

void ClientExchange::readBody() {
  const auto state = responseReader_.consume(connection_->input, undeliveredBody_);
  if (!undeliveredBody_.empty() && onBody) onBody(undeliveredBody_);
  if (over_) return;
  if (state == BodyReader::State::malformed) {
    fail(Failure::truncated, MessageEnd::malformed);
  } else if (state == BodyReader::State::done) {
    complete(endByFraming(responseReader_.framing()));
  }
}

void ClientExchange::onConnectionEnd(TcpConnection::EndReason reason) {
  if (over_) return;
  const auto self = shared_from_this();
  const bool orderly = reason == TcpConnection::EndReason::closed;
  const auto end = orderly ? MessageEnd::closedEarly : MessageEnd::reset;
  // Whatever the failure says, the request is not sent again here: only its owner knows whether it
  // may be offered to a second server.
  if (reason == TcpConnection::EndReason::connectFailed) {
    fail(maybeSent_ ? Failure::noResponse : Failure::notSent, end);
  } else if (receivedHead_) {
    if (orderly && responseReader_.endsByClose()) {
      serverKeepsAlive_ = false;
      complete(MessageEnd::orderlyClose);
    } else {
      fail(Failure::truncated, end);
    }
  } else if (reused_ && !receivedBytes_) {
    // An interim answer and then the end is no sign of a stale connection.
    fail(Failure::staleConnection, end);
  } else {
    fail(connection_->input.empty() ? Failure::noResponse : Failure::invalidResponse, end);
  }
}

// Bytes after a complete answer belong to no request. What of a request is still on its way out
// when its answer is complete spoils the connection too: whoever answered early may not read the
// rest as what it is.
bool ClientExchange::isConnectionInStep() const {
  return serverKeepsAlive_ && requestComplete_ && connection_->unsentBytes() == 0 &&
         connection_->input.empty() && !connection_->isClosed();
}

std::optional<MessageSummary> ClientExchange::responseSummary() const {
  if (!receivedHead_) return std::nullopt;
  return MessageSummary{responseReader_.framing(), responseEnd_, responseReader_.bodyBytes()};
}

void ClientExchange::complete(MessageEnd responseEnd) {
  over_ = true;
  responseEnd_ = responseEnd;
  // An answer reaches exactly its caller: a connection out of step serves nobody else.
  if (isConnectionInStep()) {
    connection_->onOpen = nullptr;
    connection_->onFlushed = nullptr;
    pool_.giveBack(poolKey_, connection_, keepAliveTimeout_);
  } else {
    connection_->close();
  }
  const auto callback = onComplete;
  release();
  if (callback) callback();
}

void ClientExchange::fail(Failure failure, MessageEnd responseEnd) {
  if (over_) return;
  over_ = true;
  responseEnd_ = responseEnd;
  connection_->close();
  const auto callback = onFailure;
  release();
  if (callback) callback(failure);
}

void ClientExchange::cancel() {
  if (over_) return;
  over_ = true;
  // An answer that is still owed would reach the next exchange on this connection.
  connection_->close();
  release();
}

// Callbacks often hold the owner of the exchange: they are let go, but not while one of them runs.
void ClientExchange::release() {
  loop_.defer(
      [self = shared_from_this(), head = std::exchange(onResponseHead, nullptr),
       body = std::exchange(onBody, nullptr), interim = std::exchange(onInterimResponse, nullptr),
       complete = std::exchange(onComplete, nullptr), failure = std::exchange(onFailure, nullptr),
       flushed = std::exchange(onFlushed, nullptr)] {});
  connection_ = nullptr;
}

}  // namespace merlingauge::http
