// socket_endpoint.cpp: one end of a TCP connection in a test.
#include "loopback/socket_endpoint.hpp"

#include <Poco/Exception.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace merlingauge::test {

using Poco::Net::PollSet;

namespace {
// On loopback a connection is there at once, unless the listener's queue is full.
const Poco::Timespan kConnectTimeout(0, 200000);
}  // namespace

SocketEndpoint::Ptr SocketEndpoint::adopt(EventLoop& loop, const Poco::Net::StreamSocket& socket) {
  Ptr endpoint(new SocketEndpoint(loop, socket));
  endpoint->socket_.setBlocking(false);
  endpoint->socket_.setNoDelay(true);
  endpoint->watch();
  return endpoint;
}

SocketEndpoint::Ptr SocketEndpoint::connect(EventLoop& loop, const SocketAddress& address) {
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(address, kConnectTimeout);
    return adopt(loop, socket);
  } catch (const Poco::Exception&) {
    return nullptr;
  }
}

void SocketEndpoint::write(std::string_view bytes) {
  if (closed_ || halfClosed_) return;
  unsent_.append(bytes);
  flush();
}

void SocketEndpoint::freeze(bool on) {
  if (closed_ || frozen_ == on) return;
  frozen_ = on;
  if (on) {
    loop_.forget(socket_);
  } else {
    watch();
    flush();
  }
}

void SocketEndpoint::halfClose() {
  if (closed_ || halfClosed_) return;
  halfClosed_ = true;
  flush();
}

void SocketEndpoint::close() {
  if (closed_) return;
  detach();
  socket_.close();
}

void SocketEndpoint::reset() {
  if (closed_) return;
  detach();
  try {
    socket_.setLinger(true, 0);
  } catch (const Poco::Exception&) {
    // The peer has reset the connection already.
  }
  socket_.close();
}

void SocketEndpoint::watch() {
  loop_.watch(socket_, pollMode(), [weak = weak_from_this()](int) {
    if (const auto self = weak.lock()) self->onReady();
  });
}

int SocketEndpoint::pollMode() const {
  return (readEnded_ ? 0 : PollSet::POLL_READ) | (unsent_.empty() ? 0 : PollSet::POLL_WRITE);
}

void SocketEndpoint::detach() {
  closed_ = true;
  if (!frozen_) loop_.forget(socket_);
  onData = nullptr;
  onEnd = nullptr;
}

void SocketEndpoint::flush() {
  if (closed_ || frozen_) return;
  while (!unsent_.empty()) {
    const auto sent = ::send(socket_.impl()->sockfd(), unsent_.data(), unsent_.size(),
                             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent <= 0) break;
    unsent_.erase(0, static_cast<std::size_t>(sent));
  }
  if (unsent_.empty() && halfClosed_ && !finSent_) {
    finSent_ = true;
    ::shutdown(socket_.impl()->sockfd(), SHUT_WR);
  }
  loop_.change(socket_, pollMode());
}

void SocketEndpoint::onReady() {
  const auto self = shared_from_this();
  flush();
  std::array<char, 65536> chunk{};
  while (!closed_ && !frozen_ && !readEnded_) {
    const auto size = ::recv(socket_.impl()->sockfd(), chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (size > 0) {
      received.append(chunk.data(), static_cast<std::size_t>(size));
      if (const auto callback = onData) callback();  // a copy: it may close this endpoint
      continue;
    }
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
    onReadEnd(size == 0 ? End::closed : End::reset);
  }
}

void SocketEndpoint::onReadEnd(End end) {
  readEnded_ = true;
  const auto callback = onEnd;  // a copy: close() clears it
  if (end == End::reset) {
    close();
  } else {
    loop_.change(socket_, pollMode());
  }
  if (callback) callback(end);
}

}  // namespace merlingauge::test
