#include "http/tcp_connection.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace merlingauge::http {

using Poco::Net::PollSet;

namespace {
// One read a turn of the loop and connection, so that a fast sender can't starve the others.
constexpr std::size_t kReadChunkBytes = 16384;
// An output buffer that grew beyond this gives its memory back when it is empty.
constexpr std::size_t kRetainedOutputBytes = 4 * kReadChunkBytes;
// A connection that closes is given up so long after everything is acknowledged. So it is once
// nothing has left it for so long, where the kernel doesn't tell whether the peer only rests.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
constexpr Duration kMaxClosingTime = std::chrono::seconds(10);
// While the peer's kernel acknowledges: without any progress, and however slowly it reads.
constexpr Duration kMaxRestWhileClosing = std::chrono::seconds(7);
constexpr Duration kMaxClosingTimeOfReader = std::chrono::seconds(60);
// When a connection that closes first asks the kernel what is still unacknowledged: about a round
// trip between zones.
constexpr Duration kAcknowledgedCheckInterval = std::chrono::milliseconds(2);

bool isTransient(const Poco::Exception& error) {
  return error.code() == EAGAIN || error.code() == EWOULDBLOCK;
}
}  // namespace

TcpConnection::TcpConnection(event::EventLoop& loop, const Poco::Net::StreamSocket& socket,
                             State state, std::chrono::milliseconds silenceTimeout)
    : loop_(loop),
      socket_(socket),
      state_(state),
      peer_(socket, silenceTimeout.count() > 0 ? silenceTimeout : kDefaultSilenceTimeout),
      peerTimer_(loop),
      timer_(loop),
      acknowledgementTimer_(loop) {}

TcpConnection::~TcpConnection() {
  if (state_ != State::closed) loop_.forget(socket_);
}

TcpConnection::Ptr TcpConnection::connect(event::EventLoop& loop,
                                          const Poco::Net::SocketAddress& to,
                                          Duration connectTimeout,
                                          std::chrono::milliseconds silenceTimeout) {
  Poco::Net::StreamSocket socket;
  bool failed = false;
  try {
    socket.connectNB(to);
  } catch (const Poco::Exception&) {
    failed = true;
  }
  Ptr connection(new TcpConnection(loop, socket, State::connecting, silenceTimeout));
  if (failed) {
    loop.defer([connection] { connection->end(EndReason::connectFailed); });
    return connection;
  }
  connection->attach();
  connection->timer_.start(connectTimeout, [weak = connection->weak_from_this()] {
    if (const auto self = weak.lock()) self->end(EndReason::connectFailed);
  });
  return connection;
}

TcpConnection::Ptr TcpConnection::adopt(event::EventLoop& loop,
                                        const Poco::Net::StreamSocket& socket) {
  Ptr connection(new TcpConnection(loop, socket, State::open, kDefaultSilenceTimeout));
  connection->attach();
  return connection;
}

void TcpConnection::attach() {
  try {
    socket_.setBlocking(false);
    socket_.setNoDelay(true);
  } catch (const Poco::Exception&) {
    // The connection has broken: its end is an error already.
  }
  peer_.applyTimeout();
  const int mode = state_ == State::connecting ? PollSet::POLL_WRITE | PollSet::POLL_ERROR
                                               : PollSet::POLL_READ | PollSet::POLL_ERROR;
  loop_.watch(socket_, mode, [weak = weak_from_this()](int readyMode) {
    if (const auto self = weak.lock()) self->onReady(readyMode);
  });
}

void TcpConnection::updateInterest() {
  if (state_ == State::closed) return;
  int mode = PollSet::POLL_ERROR;
  if (state_ == State::connecting || unsentBytes() > 0) mode |= PollSet::POLL_WRITE;
  const bool mayRead = state_ == State::closing || (state_ == State::open && readingEnabled_);
  if (mayRead && !inputEnded_) {
    mode |= PollSet::POLL_READ;
  }
  loop_.change(socket_, mode);
}

void TcpConnection::onReady(int mode) {
  const auto self = shared_from_this();  // a callback may let go of the connection
  if (state_ == State::connecting) {
    finishConnect(mode);
    return;
  }
  if ((mode & (PollSet::POLL_READ | PollSet::POLL_ERROR)) != 0) readAvailable();
  if (state_ == State::closed) return;
  if ((mode & PollSet::POLL_WRITE) != 0) flush();
}

void TcpConnection::finishConnect(int mode) {
  int error = 0;
  try {
    error = socket_.impl()->socketError();
  } catch (const Poco::Exception&) {
    error = EIO;
  }
  if (error != 0) {
    end(EndReason::connectFailed);
    return;
  }
  if ((mode & PollSet::POLL_WRITE) == 0) return;
  timer_.cancel();
  state_ = State::open;
  if (onOpen) onOpen();
  if (state_ != State::open) return;
  flush();
  updateInterest();
}

void TcpConnection::readAvailable() {
  static thread_local std::array<char, kReadChunkBytes> chunk;
  int received = 0;
  try {
    received = socket_.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
  } catch (const Poco::Exception&) {
    end(EndReason::reset);
    return;
  }
  if (received < 0) return;
  if (received == 0) {
    if (!broken_ && state_ == State::open && onInputEnd && onInputEnd()) {
      inputEnded_ = true;
      updateInterest();
      return;
    }
    end(broken_ ? EndReason::reset : EndReason::closed);
    return;
  }
  if (state_ == State::closing) return;  // whatever comes now belongs to nobody
  input.append(chunk.data(), static_cast<std::size_t>(received));
  if (onData) onData();
}

// The kernel reports a socket's error once: whoever reads next would take the reset for an orderly
// end, so it is kept here.
std::optional<int> TcpConnection::peek() {
  char byte = 0;
  try {
    return socket_.receiveBytes(&byte, 1, MSG_PEEK);
  } catch (const Poco::Exception&) {
    broken_ = true;
    return std::nullopt;
  }
}

bool TcpConnection::isQuiet() {
  if (state_ != State::open || !input.empty()) return false;
  const auto seen = peek();
  return seen && *seen < 0;
}

bool TcpConnection::closedByPeer() {
  if (state_ != State::open) return true;
  const auto seen = peek();
  return !seen || *seen == 0;
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
  const auto self = shared_from_this();
  const bool hadOutput = unsentBytes() > 0;
  if (hadOutput && !sendBuffered()) return;
  if (unsentBytes() == 0) {
    output_.clear();
    if (output_.capacity() > kRetainedOutputBytes) output_.shrink_to_fit();
    sentBytes_ = 0;
    if (state_ == State::closing && !endOutput()) return;
  } else if (sentBytes_ > kReadChunkBytes) {
    output_.erase(0, sentBytes_);
    sentBytes_ = 0;
  }
  updateInterest();
  if (hadOutput && unsentBytes() == 0 && state_ == State::open && onFlushed) onFlushed();
}

bool TcpConnection::sendBuffered() {
  int sent = 0;
  try {
    sent = socket_.sendBytes(output_.data() + sentBytes_, static_cast<int>(unsentBytes()));
  } catch (const Poco::Exception& error) {
    // Poco throws here even where the socket is only full for now.
    if (!isTransient(error)) {
      end(EndReason::reset);
      return false;
    }
  }
  if (sent > 0) {
    sentBytes_ += static_cast<std::size_t>(sent);
    peer_.onSent(static_cast<std::size_t>(sent));
    if (state_ == State::closing) startLingerTimer();
    watchPeer();
  }
  return true;
}

bool TcpConnection::hasUnacknowledgedOutput() const {
  if (state_ == State::closed || state_ == State::connecting) return false;
  return unsentBytes() > 0 || peer_.unacknowledgedBytes().value_or(0) > 0;
}

bool TcpConnection::peerTakesOutputWithin(Duration span) const {
  return peerRests_ && loop_.now() - peer_.lastProgressAt() < span && hasUnacknowledgedOutput();
}

void TcpConnection::watchPeer() {
  if (peerWatched_) return;
  peerWatched_ = true;
  peer_.begin(loop_.now());
  schedulePeerCheck(peer_.firstCheckAfter());
}

// At common times for all connections: one wake-up of the loop serves them all.
void TcpConnection::schedulePeerCheck(Duration wait) {
  const Duration interval = peer_.checkInterval();
  const auto due = (loop_.now() + wait).time_since_epoch();
  const Duration aligned = due + interval - due % interval;
  peerTimer_.start(aligned - loop_.now().time_since_epoch(), [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->checkPeer();
  });
}

void TcpConnection::checkPeer() {
  const auto verdict = peer_.check(loop_.now());
  peerRests_ =
      verdict == PeerMonitor::Verdict::progressing || verdict == PeerMonitor::Verdict::resting;
  switch (verdict) {
    case PeerMonitor::Verdict::unknown:
      return;  // and peerWatched_ stays: no check is worth its cost
    case PeerMonitor::Verdict::idle:
      peerWatched_ = false;
      return;
    case PeerMonitor::Verdict::gone:
      end(EndReason::reset);
      return;
    case PeerMonitor::Verdict::progressing:
    case PeerMonitor::Verdict::resting:
    case PeerMonitor::Verdict::waiting:
      schedulePeerCheck(peer_.checkInterval());
      return;
  }
}

void TcpConnection::reportDrained() {
  const auto callback = std::exchange(onDrained, nullptr);
  if (callback) callback();
}

bool TcpConnection::endOutput() {
  if (!abortsAfterFlush_) {
    // From here on an orderly end says the truth.
    setAbortiveClose(false);
    if (!shutdownSending()) return false;
  }
  awaitAcknowledgement(kAcknowledgedCheckInterval);
  return state_ != State::closed;
}

void TcpConnection::awaitAcknowledgement(Duration nextCheckAfter) {
  const auto unacknowledged = peer_.unacknowledgedBytes();
  if (unacknowledged.value_or(0) == 0) reportDrained();
  // A kernel that doesn't tell gets the time until the linger timer.
  if (!unacknowledged) return;
  if (*unacknowledged == 0) {
    if (abortsAfterFlush_) close();
    return;
  }
  acknowledgementTimer_.start(nextCheckAfter, [weak = weak_from_this(), nextCheckAfter] {
    const auto self = weak.lock();
    if (!self) return;
    self->awaitAcknowledgement(std::min(2 * nextCheckAfter, self->peer_.checkInterval()));
  });
}

void TcpConnection::setAbortiveClose(bool enabled) {
  if (abortive_ == enabled || state_ == State::closed) return;
  abortive_ = enabled;
  try {
    socket_.setLinger(enabled, 0);
  } catch (const Poco::Exception&) {
    // The connection has broken: its end is an error already.
  }
}

bool TcpConnection::shutdownSending() {
  if (sendingShutDown_) return true;
  sendingShutDown_ = true;
  try {
    socket_.shutdownSend();
  } catch (const Poco::Exception&) {
    end(EndReason::reset);
    return false;
  }
  return true;
}

void TcpConnection::enableReading(bool enabled) {
  if (readingEnabled_ == enabled) return;
  readingEnabled_ = enabled;
  updateInterest();
}

void TcpConnection::closeAfterFlush() {
  if (state_ == State::closed || state_ == State::closing) return;
  beginClosing();
}

void TcpConnection::abortAfterFlush() {
  if (state_ == State::closed || state_ == State::closing) return;
  setAbortiveClose(true);
  abortsAfterFlush_ = true;
  beginClosing();
}

void TcpConnection::beginClosing() {
  if (state_ == State::connecting) {
    close();
    return;
  }
  state_ = State::closing;
  closingSince_ = loop_.now();
  releaseCallbacks();
  startLingerTimer();
  scheduleFlush();
  updateInterest();
}

void TcpConnection::startLingerTimer() {
  const Duration left = closingSince_ + kMaxClosingTime - loop_.now();
  timer_.start(std::clamp(left, Duration(0), kLingerTimeout),
               [self = shared_from_this()] { self->onLingerTimeout(); });
}

void TcpConnection::onLingerTimeout() {
  const TimePoint now = loop_.now();
  const bool mayRest = now - peer_.lastProgressAt() < kMaxRestWhileClosing &&
                       now - closingSince_ < kMaxClosingTimeOfReader;
  if (!peerRests_ || !mayRest || !hasUnacknowledgedOutput()) {
    close();
    return;
  }
  timer_.start(kLingerTimeout, [self = shared_from_this()] { self->onLingerTimeout(); });
}

void TcpConnection::close() {
  if (state_ == State::closed) return;
  const auto self = shared_from_this();  // the timer's task may hold the last reference
  state_ = State::closed;
  timer_.cancel();
  peerTimer_.cancel();
  acknowledgementTimer_.cancel();
  loop_.forget(socket_);
  try {
    socket_.close();
  } catch (const Poco::Exception&) {
    // It is gone either way.
  }
  reportDrained();
  releaseCallbacks();
}

void TcpConnection::releaseCallbacks() {
  if (!onOpen && !onData && !onFlushed && !onEnd && !onInputEnd) return;
  // One of them may be running now.
  loop_.defer([open = std::exchange(onOpen, nullptr), data = std::exchange(onData, nullptr),
               flushed = std::exchange(onFlushed, nullptr), end = std::exchange(onEnd, nullptr),
               inputEnd = std::exchange(onInputEnd, nullptr)] {});
}

void TcpConnection::end(EndReason reason) {
  if (state_ == State::closed) return;
  const auto self = shared_from_this();
  const auto callback = onEnd;
  close();
  if (callback) callback(reason);
}

}  // namespace merlingauge::http
