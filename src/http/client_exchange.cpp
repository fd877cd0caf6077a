#include "http/client_exchange.hpp"

#include <Poco/Net/HTTPMessage.h>
#include <Poco/String.h>

#include <algorithm>
#include <charconv>

namespace merlingauge::http {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {
constexpr std::size_t kAnswerHeadLimit = 65536;
constexpr Duration kKeepMargin = std::chrono::milliseconds(700);

// `Keep-Alive: timeout=N`, or -1.
int keepAliveSeconds(const HTTPResponse& response) {
  const std::string text = Poco::toLower(response.get("Keep-Alive", ""));
  const auto at = text.find("timeout=");
  if (at == std::string::npos) return -1;
  int seconds = -1;
  std::from_chars(text.data() + at + 8, text.data() + text.size(), seconds);
  return seconds;
}
}  // namespace

ClientExchange::ClientExchange(ConnectionPool& pool, event::EventLoop& loop, std::string key)
    : pool_(pool), loop_(loop), key_(std::move(key)) {}

void ClientExchange::begin(TcpConnection::Ptr connection, const HTTPRequest& request,
                           FramingKind kind, bool reused) {
  connection_ = std::move(connection);
  attemptId_ = request.get("Attempt-Id", "");
  framingKind_ = kind;
  isHeadRequest_ = request.getMethod() == "HEAD";
  reused_ = reused;
  if (reused) connectionIdleTime_ = loop_.now() - connection_->idleSince;
  sentAll_ = kind == FramingKind::none;
  maybeSent_ = connection_->isOpen();
  const std::weak_ptr<ClientExchange> weak = weak_from_this();
  connection_->onOpen = [weak] {
    if (const auto self = weak.lock()) self->maybeSent_ = true;
  };
  connection_->onData = [weak] {
    if (const auto self = weak.lock()) self->data();
  };
  connection_->onFlushed = [weak] {
    const auto self = weak.lock();
    if (self && self->onFlushed) self->onFlushed();
  };
  connection_->onEnd = [weak](TcpConnection::EndReason end) {
    if (const auto self = weak.lock()) self->ended(end);
  };
  ++connection_->exchangesServed;
  connection_->write(serializeHead(request));
}

void ClientExchange::sendBody(std::string_view bytes) {
  if (over_ || !connection_) return;
  std::string wire;
  appendBody(framingKind_, bytes, wire);
  connection_->write(wire);
}

void ClientExchange::endBody() {
  if (over_ || sentAll_ || !connection_) return;
  std::string wire;
  appendBodyEnd(framingKind_, wire);
  connection_->write(wire);
  sentAll_ = true;
}

void ClientExchange::pauseReading(bool on) {
  if (!over_ && connection_) connection_->enableReading(!on);
}

void ClientExchange::data() {
  const auto hold = shared_from_this();
  gotBytes_ = true;
  while (!over_ && !gotHead_) {
    std::size_t size = 0;
    const auto state = findHead(connection_->input, kAnswerHeadLimit, size);
    if (state == HeadParseResult::incomplete) return;
    if (state != HeadParseResult::complete) {
      fail(Failure::invalidResponse);
      return;
    }
    HTTPResponse response;
    const std::string_view head(connection_->input.data(), size);
    const auto plan = isStrictHead(head, false) ? parseResponseHead(head, isHeadRequest_, response)
                                                : std::nullopt;
    if (!plan) {
      fail(Failure::invalidResponse);
      return;
    }
    connection_->input.erase(0, size);
    if (response.getStatus() < 200) {
      if (response.getStatus() == 101) {
        fail(Failure::invalidResponse);
        return;
      }
      if (onInterimResponse) onInterimResponse();
      continue;
    }
    // Surplus or late bytes of another exchange: nothing on this connection can be trusted now.
    if (!attemptId_.empty() && response.get("Attempt-Id", "") != attemptId_) {
      fail(Failure::invalidResponse);
      return;
    }
    gotHead_ = true;
    keepAlive_ = !wantsClose(response) && plan->kind != FramingKind::untilClose;
    keepAliveSeconds_ = keepAliveSeconds(response);
    reader_ = BodyReader(*plan);
    if (onResponseHead) onResponseHead(response, *plan);
  }
  if (over_ || !gotHead_) return;
  const auto state = reader_.consume(connection_->input, unparsed_);
  if (!unparsed_.empty() && onBody) onBody(unparsed_);
  if (over_) return;
  if (state == BodyReader::State::malformed) {
    fail(Failure::truncated);
  } else if (state == BodyReader::State::done) {
    done();
  }
}

void ClientExchange::ended(TcpConnection::EndReason end) {
  if (over_) return;
  const auto hold = shared_from_this();
  if (end == TcpConnection::EndReason::connectFailed) {
    fail(maybeSent_ ? Failure::noResponse : Failure::notSent);
  } else if (!gotHead_) {
    // An interim answer and then the end is no sign of a connection out of step.
    const bool unread = reused_ && !gotBytes_;
    fail(unread                        ? Failure::staleConnection
         : !connection_->input.empty() ? Failure::invalidResponse
                                       : Failure::noResponse);
  } else if (reader_.endsByClose() && end == TcpConnection::EndReason::closed) {
    keepAlive_ = false;
    done();
  } else {
    fail(Failure::truncated);
  }
}

void ClientExchange::done() {
  over_ = true;
  // Bytes after a whole answer belong to no request. What of a request is still on its way out when
  // its answer is whole spoils the connection too: whoever answered early may not read the rest as
  // what it is.
  if (keepAlive_ && sentAll_ && connection_->unsentBytes() == 0 && connection_->input.empty() &&
      !connection_->isClosed()) {
    connection_->onOpen = nullptr;
    connection_->onFlushed = nullptr;
    pool_.put(key_, connection_, keepAliveSeconds_);
  } else {
    connection_->close();
  }
  const auto tell = onComplete;
  release();
  if (tell) tell();
}

void ClientExchange::fail(Failure failure) {
  if (over_) return;
  over_ = true;
  connection_->close();
  const auto tell = onFailure;
  release();
  if (tell) tell(failure);
}

void ClientExchange::cancel() {
  if (over_) return;
  over_ = true;
  connection_->close();
  release();
}

// Callbacks often hold the call's owner: let them go, but not while one of them runs.
void ClientExchange::release() {
  loop_.defer([self = shared_from_this(), a = std::move(onResponseHead), b = std::move(onBody),
               c = std::move(onComplete), d = std::move(onFailure), e = std::move(onFlushed),
               f = std::move(onInterimResponse)] {});
  onInterimResponse = nullptr;
  onResponseHead = nullptr;
  onBody = nullptr;
  onComplete = nullptr;
  onFailure = nullptr;
  onFlushed = nullptr;
  connection_ = nullptr;
}

// ---- Ropes

ClientExchange::Ptr ConnectionPool::startExchange(const Poco::Net::SocketAddress& to,
                                                  const HTTPRequest& request, FramingKind kind,
                                                  Duration freshness,
                                                  const std::string& incarnation) {
  std::string key = to.toString();
  if (!incarnation.empty()) key.append("|").append(incarnation);
  ClientExchange::Ptr call(new ClientExchange(*this, loop_, key));
  auto connection = take(key, freshness);
  const bool reused = connection != nullptr;
  if (!reused) {
    connection = TcpConnection::connect(loop_, to, options_.connectTimeout, options_.userTimeoutMs);
    ++connectionsOpened_;
  }
  call->begin(connection, request, kind, reused);
  return call;
}

TcpConnection::Ptr ConnectionPool::take(const std::string& key, Duration freshness) {
  const auto it = idle_.find(key);
  if (it == idle_.end()) return nullptr;
  auto& list = it->second;
  while (!list.empty()) {
    const IdleConnection last = list.back();
    const TimePoint now = loop_.now();
    if (last.connection->isClosed() || last.expiresAt <= now) {
      list.pop_back();
      last.connection->close();
      continue;
    }
    // The newest is the freshest: if it is too old for this call, so are the others. The oldest
    // makes room for the new one, so that their number doesn't grow.
    if (now - last.connection->idleSince > freshness) {
      list.front().connection->close();
      list.erase(list.begin());
      return nullptr;
    }
    list.pop_back();
    if (last.connection->isQuiet()) return last.connection;
    last.connection->close();
  }
  return nullptr;
}

void ConnectionPool::put(const std::string& key, const TcpConnection::Ptr& connection,
                         int keepSeconds) {
  auto& list = idle_[key];
  const TimePoint now = loop_.now();
  connection->idleSince = now;
  Duration keep = options_.idleTimeout;
  if (keepSeconds >= 0) keep = std::min(keep, fromSeconds(keepSeconds) - kKeepMargin);
  if (keep <= Duration(0)) {
    connection->close();
    return;
  }
  if (list.size() >= options_.maxIdlePerAddress) {
    list.front().connection->close();
    list.erase(list.begin());
  }
  // Anything that comes on an idle connection, its end or stray bytes, spoils it.
  const std::weak_ptr<TcpConnection> weak = connection;
  connection->enableReading(true);
  loop_.defer([old = std::move(connection->onData), oldEnd = std::move(connection->onEnd)] {});
  connection->onData = [weak] {
    if (const auto r = weak.lock()) r->close();
  };
  connection->onEnd = [](TcpConnection::EndReason) {};
  list.push_back({connection, now + keep});
  if (!sweeping_) {
    sweeping_ = true;
    scheduleSweep();
  }
}

void ConnectionPool::scheduleSweep() {
  loop_.after(std::chrono::seconds(2), [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) sweep();
  });
}

void ConnectionPool::sweep() {
  const TimePoint now = loop_.now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& list = it->second;
    std::erase_if(list, [&](const IdleConnection& kept) {
      if (!kept.connection->isClosed() && kept.expiresAt > now) return false;
      kept.connection->close();
      return true;
    });
    it = list.empty() ? idle_.erase(it) : std::next(it);
  }
  sweeping_ = !idle_.empty();
  if (sweeping_) scheduleSweep();
}

}  // namespace merlingauge::http
