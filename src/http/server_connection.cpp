#include "http/server_connection.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>

#include <array>
#include <cstdio>

namespace merlingauge::http {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPResponse;

namespace {
constexpr std::size_t kBodyHold = 256 * 1024;
constexpr int kBacklog = 512;
constexpr std::size_t kAhead = 8;  // so many requests of one connection may run at once
}  // namespace

// ---- Visit

std::size_t ServerExchange::unsentBytes() const {
  const auto connection = connection_.lock();
  if (!connection) return 0;
  return connection->isFront(this) ? connection->connection_->unsentBytes() : heldOutput_.size();
}

void ServerExchange::write(std::string_view bytes) {
  const auto connection = connection_.lock();
  if (!connection) return;
  if (connection->isFront(this)) {
    connection->connection_->write(bytes);
  } else {
    heldOutput_.append(bytes);
  }
}

void ServerExchange::sendHead(HTTPResponse& response, const BodyFraming& answerPlan) {
  const auto connection = connection_.lock();
  if (!connection || over_ || headSent_) return;
  headSent_ = true;
  responseFraming_ = answerPlan;
  isHeadRequest_ = request.getMethod() == "HEAD";
  // While stopping, the last answer that is owed says so.
  const bool last = connection->exchanges_.empty() || connection->exchanges_.back().get() == this;
  if ((connection->listener_->draining && last) || wantsClose(request) ||
      answerPlan.kind == FramingKind::untilClose || !bodyComplete) {
    closeAfterResponse_ = true;
  }
  if (answerPlan.kind == FramingKind::chunked && request.getVersion() == HTTPMessage::HTTP_1_0) {
    responseFraming_.kind = FramingKind::untilClose;
    closeAfterResponse_ = true;
  }
  response.setVersion(HTTPMessage::HTTP_1_1);
  const int status = response.getStatus();
  if (status != 204 && status != 304 &&
      !(isHeadRequest_ && responseFraming_.kind == FramingKind::none)) {
    setFramingHeaders(responseFraming_, response);
  }
  if (closeAfterResponse_) response.set(HTTPMessage::CONNECTION, "close");
  write(serializeHead(response));
}

void ServerExchange::sendBody(std::string_view bytes) {
  const auto connection = connection_.lock();
  if (!connection || over_ || isHeadRequest_) return;
  std::string wire;
  appendBody(responseFraming_.kind, bytes, wire);
  write(wire);
}

void ServerExchange::endResponse() {
  const auto connection = connection_.lock();
  if (!connection || over_) return;
  over_ = true;
  std::string wire;
  if (!isHeadRequest_) appendBodyEnd(responseFraming_.kind, wire);
  write(wire);
  if (connection->isFront(this)) connection->exchangeOver();
}

void ServerExchange::abortResponse() {
  const auto connection = connection_.lock();
  if (!connection || over_) return;
  over_ = true;
  aborted_ = true;
  if (connection->isFront(this)) connection->exchangeOver();
}

void ServerExchange::respond(int status, const std::string& reason, std::string_view text,
                             const std::string& type, const ExtraHeaders& extra) {
  HTTPResponse response(HTTPMessage::HTTP_1_1, static_cast<HTTPResponse::HTTPStatus>(status),
                        reason);
  if (!type.empty()) response.set(HTTPMessage::CONTENT_TYPE, type);
  if (const auto id = request.get("Attempt-Id", ""); !id.empty()) response.set("Attempt-Id", id);
  for (const auto& [name, value] : extra) response.set(name, value);
  BodyFraming whole{text.empty() ? FramingKind::none : FramingKind::contentLength, text.size()};
  sendHead(response, whole);
  if (!text.empty()) sendBody(text);
  endResponse();
}

void ServerExchange::respondError(ErrorKind kind, const std::string& detail,
                                  const ExtraHeaders& extra) {
  const auto& row = responseFor(kind);
  ExtraHeaders headers = extra;
  bool told = false;
  for (const auto& header : extra) told = told || header.first == "Retry-After";
  if (row.retryAfterMs > 0 && !told) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", row.retryAfterMs / 1000.0);
    headers.emplace_back("Retry-After", text.data());
  }
  if (row.closesConnection) closeAfterResponse_ = true;
  std::string text = row.message;
  if (!detail.empty()) text += ": " + detail;
  respond(row.status, row.reason, text + "\n", "text/plain", headers);
}

void ServerExchange::sendProcessing() {
  const auto connection = connection_.lock();
  if (connection && !over_ && !headSent_) write("HTTP/1.1 102 Processing\r\n\r\n");
}

bool ServerExchange::clientHasClosed() const {
  const auto connection = connection_.lock();
  return !connection || over_ || connection->connection_->closedByPeer();
}

void ServerExchange::bodyConsumed(std::size_t held) {
  const auto connection = connection_.lock();
  if (!connection || over_) return;
  connection->connection_->enableReading(held + receivedBody.size() < kBodyHold);
}

// ---- Guest

ServerConnection::ServerConnection(event::EventLoop& loop, TcpConnection::Ptr connection,
                                   std::shared_ptr<ListenerContext> reception)
    : loop_(loop), connection_(std::move(connection)), listener_(std::move(reception)) {}

void ServerConnection::start(std::function<void()> onGone) {
  onClosed_ = std::move(onGone);
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
    if (const auto self = weak.lock()) self->ended();
  };
  armTimer(listener_->limits.headerTimeout, true);
}

void ServerConnection::armTimer(Duration wait, bool inHead) {
  loop_.cancel(timer_);
  inHead_ = inHead;
  timer_ = loop_.after(wait, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->timer_ = 0;
    if (!self->exchanges_.empty()) return;
    if (self->connection_->input.empty()) {
      self->close();
    } else {
      self->reject(ErrorKind::headerTimeout);
    }
  });
}

void ServerConnection::close() { ended(); }

void ServerConnection::ended() {
  if (over_) return;
  over_ = true;
  const auto hold = shared_from_this();
  loop_.cancel(timer_);
  connection_->close();
  abandonExchanges();
  if (onClosed_) onClosed_();
}

// Nobody waits for their answers any more: whatever runs of them ends.
void ServerConnection::abandonExchanges() {
  const auto visits = std::move(exchanges_);
  exchanges_.clear();
  for (const auto& exchange : visits) {
    --listener_->activeExchanges;
    const bool early = !exchange->over_;
    exchange->over_ = true;
    if (early && exchange->onClientGone) exchange->onClientGone();
  }
}

void ServerConnection::advance() {
  if (advancing_ || over_) return;
  const auto hold = shared_from_this();
  advancing_ = true;
  while (!over_) {
    if (!exchanges_.empty() && !exchanges_.back()->bodyComplete) {
      feedBody();
      if (exchanges_.empty() || !exchanges_.back()->bodyComplete) break;
      continue;
    }
    if (!mayReadOn()) {
      if (connection_->input.size() > kBodyHold)
        connection_->enableReading(false);  // they wait their turn
      break;
    }
    if (connection_->input.empty() || !beginExchange()) break;
  }
  advancing_ = false;
}

bool ServerConnection::isFront(const ServerExchange* exchange) const {
  return !exchanges_.empty() && exchanges_.front().get() == exchange;
}

// Behind an answer that closes, or one that has to wait for its turn, nothing is read.
bool ServerConnection::mayReadOn() const {
  if (exchanges_.empty()) return true;
  if (!listener_->mayPipeline || listener_->draining || exchanges_.size() >= kAhead) return false;
  const auto& last = *exchanges_.back();
  if (last.closeAfterResponse_ || !last.started_ || wantsClose(last.request)) return false;
  std::size_t held = connection_->unsentBytes();
  for (const auto& exchange : exchanges_) held += exchange->heldOutput_.size();
  return held < kBodyHold;
}

bool ServerConnection::beginExchange() {
  const auto& limits = listener_->limits;
  std::size_t size = 0;
  // Blank lines ahead of a request are allowed by the protocol.
  while (connection_->input.compare(0, 2, "\r\n") == 0) connection_->input.erase(0, 2);
  if (connection_->input.empty()) return false;
  switch (findHead(connection_->input, limits.maxHeadBytes, size)) {
    case HeadParseResult::incomplete:
      if (!inHead_ && exchanges_.empty()) armTimer(limits.headerTimeout, true);
      return false;
    case HeadParseResult::tooLarge:
      reject(ErrorKind::headersTooLarge);
      return false;
    case HeadParseResult::malformed:
      reject(ErrorKind::malformedRequest);
      return false;
    case HeadParseResult::complete:
      break;
  }
  auto exchange = std::make_shared<ServerExchange>();
  const std::string_view head(connection_->input.data(), size);
  const auto plan =
      isStrictHead(head, true) ? parseRequestHead(head, exchange->request) : std::nullopt;
  if (!plan) {
    reject(ErrorKind::malformedRequest);
    return false;
  }
  connection_->input.erase(0, size);
  if (plan->kind == FramingKind::contentLength && plan->length > limits.maxBodyBytes) {
    reject(ErrorKind::bodyTooLarge);
    return false;
  }
  loop_.cancel(timer_);
  timer_ = 0;
  exchange->requestFraming = *plan;
  exchange->startedAt = loop_.now();
  exchange->connection_ = weak_from_this();
  reader_ = BodyReader(*plan);
  bodyBytesSeen_ = 0;
  exchanges_.push_back(exchange);
  ++listener_->activeExchanges;
  ++connection_->exchangesServed;
  if (plan->kind != FramingKind::none && exchange->request.getExpectContinue()) {
    connection_->write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  const auto before = exchange->receivedBody.size();
  const auto state = reader_.consume(connection_->input, exchange->receivedBody);
  bodyBytesSeen_ += exchange->receivedBody.size() - before;
  exchange->bodyComplete = state == BodyReader::State::done;
  if (state == BodyReader::State::malformed || bodyBytesSeen_ > limits.maxBodyBytes) {
    reject(state == BodyReader::State::malformed ? ErrorKind::malformedRequest
                                                 : ErrorKind::bodyTooLarge);
    return false;
  }
  if (isFront(exchange.get()) || listener_->mayPipeline(*exchange)) begun(exchange);
  return true;
}

void ServerConnection::begun(const ServerExchange::Ptr& exchange) {
  exchange->started_ = true;
  listener_->onExchange(exchange);
}

void ServerConnection::feedBody() {
  const auto exchange = exchanges_.back();
  const auto before = exchange->receivedBody.size();
  const auto state = reader_.consume(connection_->input, exchange->receivedBody);
  bodyBytesSeen_ += exchange->receivedBody.size() - before;
  if (state == BodyReader::State::malformed || bodyBytesSeen_ > listener_->limits.maxBodyBytes) {
    // The request can't be whole any more; whoever has the front of it must drop it.
    if (exchange->headSent()) {
      ended();
      return;
    }
    const auto gone = exchange->onClientGone;
    reject(state == BodyReader::State::malformed ? ErrorKind::malformedRequest
                                                 : ErrorKind::bodyTooLarge);
    if (gone) gone();
    return;
  }
  exchange->bodyComplete = state == BodyReader::State::done;
  if (exchange->onBody) exchange->onBody();
}

void ServerConnection::reject(ErrorKind kind) {
  if (listener_->onRejected) listener_->onRejected(kind);
  auto exchange = exchanges_.empty() ? nullptr : exchanges_.back();
  if (!exchange || (exchange->started_ && exchange->bodyComplete)) {
    exchange = std::make_shared<ServerExchange>();
    exchange->connection_ = weak_from_this();
    exchange->request.setVersion(HTTPMessage::HTTP_1_1);
    exchanges_.push_back(exchange);
    ++listener_->activeExchanges;
  }
  exchange->closeAfterResponse_ = true;
  exchange->respondError(kind);
}

// The answer whose turn it was is whole: on to those that wait behind it.
void ServerConnection::exchangeOver() {
  const auto hold = shared_from_this();
  while (!over_ && !exchanges_.empty() && exchanges_.front()->over_) {
    const auto exchange = exchanges_.front();
    connection_->write(exchange->heldOutput_);
    exchange->heldOutput_.clear();
    if (exchange->aborted_) {
      // An answer that runs to the close would look whole after an orderly end: reset it instead.
      ended();
      return;
    }
    exchanges_.pop_front();
    --listener_->activeExchanges;
    loop_.defer([exchange] {});
    if (exchange->closeAfterResponse_) {
      loop_.cancel(timer_);
      over_ = true;
      connection_->closeAfterFlush();
      abandonExchanges();  // what was sent behind it counts as unread
      if (onClosed_) onClosed_();
      return;
    }
    if (exchanges_.empty()) continue;
    const auto next = exchanges_.front();
    connection_->write(next->heldOutput_);
    next->heldOutput_.clear();
    if (!next->started_ && !next->over_) begun(next);
    if (!next->over_ && next->onFlushed) next->onFlushed();
  }
  if (over_) return;
  connection_->enableReading(true);
  if (exchanges_.empty()) armTimer(listener_->limits.idleTimeout, false);
  if (!connection_->input.empty()) {
    loop_.defer([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->advance();
    });
  }
}

// ---- Door

HttpListener::HttpListener(event::EventLoop& loop, const Poco::Net::SocketAddress& at,
                           std::size_t maxGuests)
    : loop_(loop), maxConnections_(maxGuests) {
  socket_.bind(at, true, false);
  socket_.listen(kBacklog);
  socket_.setBlocking(false);
  loop_.watch(socket_, Poco::Net::PollSet::POLL_READ, [this](int) { acceptConnections(); });
}

HttpListener::~HttpListener() {
  *alive_ = false;
  stopAccepting();
  for (auto& [key, guest] : connections_) guest->close();
}

void HttpListener::stopAccepting() {
  if (!accepting_) return;
  accepting_ = false;
  loop_.forget(socket_);
  socket_.close();
}

void HttpListener::acceptConnections() {
  // One a turn: the poll set reports the socket again while more are waiting.
  Poco::Net::StreamSocket socket;
  try {
    socket = socket_.acceptConnection();
  } catch (const Poco::Exception&) {
    return;
  }
  if (connections_.size() >= maxConnections_)
    return;  // closed: bounded, and the caller sees it at once
  auto connection =
      std::make_shared<ServerConnection>(loop_, TcpConnection::adopt(loop_, socket), context);
  auto* key = connection.get();
  connections_.emplace(key, connection);
  connection->start([this, key, alive = alive_] {
    if (*alive) connections_.erase(key);
  });
}

void HttpListener::closeIdleConnections() {
  std::vector<ServerConnection::Ptr> idle;
  for (auto& [key, guest] : connections_) {
    if (guest->isIdle()) idle.push_back(guest);
  }
  for (auto& connection : idle) connection->close();
}

}  // namespace merlingauge::http
