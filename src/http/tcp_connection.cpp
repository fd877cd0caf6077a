#include "http/tcp_connection.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace merlingauge::http {

using Poco::Net::PollSet;

namespace {
constexpr int kSilentPeerMs = 2000;
constexpr std::size_t kReadChunk = 16384;
constexpr Duration kLinger = std::chrono::seconds(1);
}  // namespace

TcpConnection::TcpConnection(event::EventLoop& loop, const Poco::Net::StreamSocket& socket,
                             State state)
    : loop_(loop), socket_(socket), state_(state) {}

TcpConnection::~TcpConnection() {
  if (state_ != State::closed) {
    loop_.cancel(timer_);
    loop_.forget(socket_);
  }
}

TcpConnection::Ptr TcpConnection::connect(event::EventLoop& loop,
                                          const Poco::Net::SocketAddress& to, Duration connectLimit,
                                          int userTimeoutMs) {
  Poco::Net::StreamSocket socket;
  bool failed = false;
  try {
    socket.connectNB(to);
  } catch (const Poco::Exception&) {
    failed = true;
  }
  Ptr connection(new TcpConnection(loop, socket, State::connecting));
  if (failed) {
    loop.defer([connection] { connection->ended(EndReason::connectFailed); });
    return connection;
  }
  connection->attach(userTimeoutMs);
  connection->timer_ = loop.after(connectLimit, [weak = std::weak_ptr<TcpConnection>(connection)] {
    if (const auto self = weak.lock()) {
      self->timer_ = 0;
      self->ended(EndReason::connectFailed);
    }
  });
  return connection;
}

TcpConnection::Ptr TcpConnection::adopt(event::EventLoop& loop,
                                        const Poco::Net::StreamSocket& socket) {
  Ptr connection(new TcpConnection(loop, socket, State::open));
  connection->attach(0);
  return connection;
}

void TcpConnection::attach(int userTimeoutMs) {
  try {
    socket_.setBlocking(false);
    socket_.setNoDelay(true);
    socket_.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
                      userTimeoutMs > 0 ? userTimeoutMs : kSilentPeerMs);
  } catch (const Poco::Exception&) {
    // Without these the connection is slower to notice a silent peer, not wrong.
  }
  const int mode = state_ == State::connecting ? PollSet::POLL_WRITE | PollSet::POLL_ERROR
                                               : PollSet::POLL_READ | PollSet::POLL_ERROR;
  loop_.watch(socket_, mode, [weak = weak_from_this()](int m) {
    if (const auto self = weak.lock()) self->ready(m);
  });
}

void TcpConnection::updateInterest() {
  if (state_ == State::closed) return;
  int mode = PollSet::POLL_ERROR;
  if (state_ == State::connecting || unsentBytes() > 0) mode |= PollSet::POLL_WRITE;
  if (state_ == State::closing || (state_ == State::open && reading_)) {
    mode |= PollSet::POLL_READ;
  }
  loop_.change(socket_, mode);
}

void TcpConnection::ready(int mode) {
  const auto hold = shared_from_this();
  if (state_ == State::connecting) {
    int error = 0;
    try {
      error = socket_.impl()->socketError();
    } catch (const Poco::Exception&) {
      error = EIO;
    }
    if (error != 0) {
      ended(EndReason::connectFailed);
      return;
    }
    if ((mode & PollSet::POLL_WRITE) == 0) return;
    loop_.cancel(timer_);
    timer_ = 0;
    state_ = State::open;
    if (onOpen) onOpen();
    if (state_ == State::open) {
      flush();
      updateInterest();
    }
    return;
  }
  if ((mode & PollSet::POLL_READ) != 0 || (mode & PollSet::POLL_ERROR) != 0) readAvailable();
  if (state_ == State::closed) return;
  if ((mode & PollSet::POLL_WRITE) != 0) flush();
}

void TcpConnection::readAvailable() {
  static thread_local std::array<char, kReadChunk> chunk;
  int got = 0;
  try {
    got = socket_.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
  } catch (const Poco::Exception&) {
    ended(EndReason::reset);
    return;
  }
  if (got < 0) return;
  if (got == 0) {
    ended(EndReason::closed);
    return;
  }
  if (state_ == State::closing) return;  // whatever comes now belongs to nobody
  input.append(chunk.data(), static_cast<std::size_t>(got));
  if (onData) onData();
}

bool TcpConnection::isQuiet() {
  if (state_ != State::open || !input.empty()) return false;
  char byte = 0;
  try {
    return socket_.receiveBytes(&byte, 1, MSG_PEEK) < 0;
  } catch (const Poco::Exception&) {
    return false;
  }
}

bool TcpConnection::closedByPeer() {
  if (state_ != State::open) return true;
  char byte = 0;
  try {
    return socket_.receiveBytes(&byte, 1, MSG_PEEK) == 0;
  } catch (const Poco::Exception&) {
    return true;
  }
}

void TcpConnection::write(std::string_view bytes) {
  if (state_ == State::closed || state_ == State::closing) return;
  output_.append(bytes);
  scheduleFlush();
}

void TcpConnection::scheduleFlush() {
  if (flushScheduled_ || state_ == State::connecting) return;
  flushScheduled_ = true;
  loop_.defer([self = shared_from_this()] {
    self->flushScheduled_ = false;
    if (self->state_ != State::closed) self->flush();
  });
}

void TcpConnection::flush() {
  const auto hold = shared_from_this();
  const bool had = unsentBytes() > 0;
  if (had) {
    int sent = 0;
    try {
      sent = socket_.sendBytes(output_.data() + sentBytes_, static_cast<int>(unsentBytes()));
    } catch (const Poco::Exception& problem) {
      // Poco throws here even where the socket is only full for now.
      if (problem.code() != EAGAIN && problem.code() != EWOULDBLOCK) {
        ended(EndReason::reset);
        return;
      }
    }
    if (sent > 0) sentBytes_ += static_cast<std::size_t>(sent);
  }
  if (unsentBytes() == 0) {
    output_.clear();
    if (output_.capacity() > 4 * kReadChunk) output_.shrink_to_fit();
    sentBytes_ = 0;
    if (state_ == State::closing && !shut_) {
      shut_ = true;
      try {
        socket_.shutdownSend();
      } catch (const Poco::Exception&) {
        ended(EndReason::reset);
        return;
      }
    }
  } else if (sentBytes_ > kReadChunk) {
    output_.erase(0, sentBytes_);
    sentBytes_ = 0;
  }
  updateInterest();
  if (had && unsentBytes() == 0 && state_ == State::open && onFlushed) onFlushed();
}

void TcpConnection::enableReading(bool on) {
  if (reading_ == on) return;
  reading_ = on;
  updateInterest();
}

void TcpConnection::closeAfterFlush() {
  if (state_ == State::closed || state_ == State::closing) return;
  if (state_ == State::connecting) {
    close();
    return;
  }
  state_ = State::closing;
  releaseCallbacks();
  timer_ = loop_.after(kLinger, [self = shared_from_this()] { self->close(); });
  scheduleFlush();
  updateInterest();
}

void TcpConnection::close() {
  if (state_ == State::closed) return;
  state_ = State::closed;
  loop_.cancel(timer_);
  timer_ = 0;
  loop_.forget(socket_);
  try {
    socket_.close();
  } catch (const Poco::Exception&) {
    // It is gone either way.
  }
  releaseCallbacks();
}

// The callbacks may be running right now: they are let go at the end of the turn.
void TcpConnection::releaseCallbacks() {
  if (!onOpen && !onData && !onFlushed && !onEnd) return;
  loop_.defer([a = std::move(onOpen), b = std::move(onData), c = std::move(onFlushed),
               d = std::move(onEnd)] {});
  onOpen = nullptr;
  onData = nullptr;
  onFlushed = nullptr;
  onEnd = nullptr;
}

void TcpConnection::ended(EndReason end) {
  if (state_ == State::closed) return;
  const auto hold = shared_from_this();
  const auto tell = onEnd;
  close();
  if (tell) tell(end);
}

}  // namespace merlingauge::http
