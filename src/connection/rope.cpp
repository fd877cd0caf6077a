#include "connection/rope.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace merlin::saddle {

using Poco::Net::PollSet;

namespace {
constexpr int kSilentPeerMs = 2000;
constexpr std::size_t kReadChunk = 16384;
constexpr Span kLinger = std::chrono::seconds(1);
}  // namespace

Rope::Rope(hut::Bell& bell, const Poco::Net::StreamSocket& socket, State state)
    : bell_(bell), socket_(socket), state_(state) {}

Rope::~Rope() {
  if (state_ != State::gone) {
    bell_.cancel(timer_);
    bell_.forget(socket_);
  }
}

Rope::Ptr Rope::dial(hut::Bell& bell, const Poco::Net::SocketAddress& to, Span connectLimit,
                     int silentPeerMs) {
  Poco::Net::StreamSocket socket;
  bool failed = false;
  try {
    socket.connectNB(to);
  } catch (const Poco::Exception&) {
    failed = true;
  }
  Ptr rope(new Rope(bell, socket, State::dialling));
  if (failed) {
    bell.later([rope] { rope->ended(End::connectFailed); });
    return rope;
  }
  rope->join(silentPeerMs);
  rope->timer_ = bell.after(connectLimit, [weak = std::weak_ptr<Rope>(rope)] {
    if (const auto self = weak.lock()) {
      self->timer_ = 0;
      self->ended(End::connectFailed);
    }
  });
  return rope;
}

Rope::Ptr Rope::take(hut::Bell& bell, const Poco::Net::StreamSocket& socket) {
  Ptr rope(new Rope(bell, socket, State::open));
  rope->join(0);
  return rope;
}

void Rope::join(int silentPeerMs) {
  try {
    socket_.setBlocking(false);
    socket_.setNoDelay(true);
    socket_.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
                      silentPeerMs > 0 ? silentPeerMs : kSilentPeerMs);
  } catch (const Poco::Exception&) {
    // Without these the connection is slower to notice a silent peer, not wrong.
  }
  const int mode = state_ == State::dialling ? PollSet::POLL_WRITE | PollSet::POLL_ERROR
                                             : PollSet::POLL_READ | PollSet::POLL_ERROR;
  bell_.watch(socket_, mode, [weak = weak_from_this()](int m) {
    if (const auto self = weak.lock()) self->ready(m);
  });
}

void Rope::setMode() {
  if (state_ == State::gone) return;
  int mode = PollSet::POLL_ERROR;
  if (state_ == State::dialling || unsent() > 0) mode |= PollSet::POLL_WRITE;
  if (state_ == State::finishing || (state_ == State::open && reading_)) {
    mode |= PollSet::POLL_READ;
  }
  bell_.change(socket_, mode);
}

void Rope::ready(int mode) {
  const auto hold = shared_from_this();
  if (state_ == State::dialling) {
    int error = 0;
    try {
      error = socket_.impl()->socketError();
    } catch (const Poco::Exception&) {
      error = EIO;
    }
    if (error != 0) {
      ended(End::connectFailed);
      return;
    }
    if ((mode & PollSet::POLL_WRITE) == 0) return;
    bell_.cancel(timer_);
    timer_ = 0;
    state_ = State::open;
    if (onOpen) onOpen();
    if (state_ == State::open) {
      flush();
      setMode();
    }
    return;
  }
  if ((mode & PollSet::POLL_READ) != 0 || (mode & PollSet::POLL_ERROR) != 0) readSome();
  if (state_ == State::gone) return;
  if ((mode & PollSet::POLL_WRITE) != 0) flush();
}

void Rope::readSome() {
  static thread_local std::array<char, kReadChunk> chunk;
  int got = 0;
  try {
    got = socket_.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
  } catch (const Poco::Exception&) {
    ended(End::reset);
    return;
  }
  if (got < 0) return;
  if (got == 0) {
    ended(End::closed);
    return;
  }
  if (state_ == State::finishing) return;  // whatever comes now belongs to nobody
  in.append(chunk.data(), static_cast<std::size_t>(got));
  if (onData) onData();
}

bool Rope::quiet() {
  if (state_ != State::open || !in.empty()) return false;
  char byte = 0;
  try {
    return socket_.receiveBytes(&byte, 1, MSG_PEEK) < 0;
  } catch (const Poco::Exception&) {
    return false;
  }
}

bool Rope::closedByPeer() {
  if (state_ != State::open) return true;
  char byte = 0;
  try {
    return socket_.receiveBytes(&byte, 1, MSG_PEEK) == 0;
  } catch (const Poco::Exception&) {
    return true;
  }
}

void Rope::write(std::string_view bytes) {
  if (state_ == State::gone || state_ == State::finishing) return;
  out_.append(bytes);
  scheduleFlush();
}

void Rope::scheduleFlush() {
  if (flushPlanned_ || state_ == State::dialling) return;
  flushPlanned_ = true;
  bell_.later([self = shared_from_this()] {
    self->flushPlanned_ = false;
    if (self->state_ != State::gone) self->flush();
  });
}

void Rope::flush() {
  const auto hold = shared_from_this();
  const bool had = unsent() > 0;
  if (had) {
    int sent = 0;
    try {
      sent = socket_.sendBytes(out_.data() + sent_, static_cast<int>(unsent()));
    } catch (const Poco::Exception& problem) {
      // Poco throws here even where the socket is only full for now.
      if (problem.code() != EAGAIN && problem.code() != EWOULDBLOCK) {
        ended(End::reset);
        return;
      }
    }
    if (sent > 0) sent_ += static_cast<std::size_t>(sent);
  }
  if (unsent() == 0) {
    out_.clear();
    if (out_.capacity() > 4 * kReadChunk) out_.shrink_to_fit();
    sent_ = 0;
    if (state_ == State::finishing && !shut_) {
      shut_ = true;
      try {
        socket_.shutdownSend();
      } catch (const Poco::Exception&) {
        ended(End::reset);
        return;
      }
    }
  } else if (sent_ > kReadChunk) {
    out_.erase(0, sent_);
    sent_ = 0;
  }
  setMode();
  if (had && unsent() == 0 && state_ == State::open && onDrain) onDrain();
}

void Rope::read(bool on) {
  if (reading_ == on) return;
  reading_ = on;
  setMode();
}

void Rope::finish() {
  if (state_ == State::gone || state_ == State::finishing) return;
  if (state_ == State::dialling) {
    drop();
    return;
  }
  state_ = State::finishing;
  releaseCallbacks();
  timer_ = bell_.after(kLinger, [self = shared_from_this()] { self->drop(); });
  scheduleFlush();
  setMode();
}

void Rope::drop() {
  if (state_ == State::gone) return;
  state_ = State::gone;
  bell_.cancel(timer_);
  timer_ = 0;
  bell_.forget(socket_);
  try {
    socket_.close();
  } catch (const Poco::Exception&) {
    // It is gone either way.
  }
  releaseCallbacks();
}

// The callbacks may be running right now: they are let go at the end of the turn.
void Rope::releaseCallbacks() {
  if (!onOpen && !onData && !onDrain && !onEnd) return;
  bell_.later([a = std::move(onOpen), b = std::move(onData), c = std::move(onDrain),
               d = std::move(onEnd)] {});
  onOpen = nullptr;
  onData = nullptr;
  onDrain = nullptr;
  onEnd = nullptr;
}

void Rope::ended(End end) {
  if (state_ == State::gone) return;
  const auto hold = shared_from_this();
  const auto tell = onEnd;
  drop();
  if (tell) tell(end);
}

}  // namespace merlin::saddle
