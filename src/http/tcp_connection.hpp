// tcp_connection: one non-blocking TCP connection on the event loop, with an output buffer that is
// flushed once a turn and a reader that can be paused.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.hpp"
#include "event/event_loop.hpp"
#include "event/timer.hpp"
#include "http/peer_monitor.hpp"

namespace merlingauge::http {

/// Ownership: whoever uses the connection holds the one lasting reference: a ClientExchange while
/// it runs, then the ConnectionPool; a ServerConnection for connections accepted. The event loop
/// refers to it weakly, except behind closeAfterFlush() and abortAfterFlush(), when it keeps the
/// connection until the output is acknowledged, or the other side is gone or has read nothing for
/// too long. The socket is closed by close() or with the object.
///
/// A peer that reads nothing for a while but whose kernel acknowledges is not gone: while output
/// waits, a PeerMonitor tells the two apart.
///
/// What the peer's kernel reports at the end (tests/http/connection_end_test.cpp): an orderly end
/// (FIN) after close(), after closeAfterFlush(), and after the end of the process, unless received
/// bytes are unread; an error (RST) after abortAfterFlush() and, while setAbortiveClose(true)
/// holds, after every other end too. Thread: the event-loop thread only.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  using Ptr = std::shared_ptr<TcpConnection>;

  /// Why onEnd is called.
  enum class EndReason : std::uint8_t {
    closed,         ///< the other side ended it in an orderly way
    reset,          ///< it broke
    connectFailed,  ///< it never came up
  };

  /// A connection that is being opened; onOpen or onEnd tells what becomes of it, never before this
  /// turn of the loop is over. `silenceTimeout`: a peer whose kernel has acknowledged nothing for
  /// so long, with output waiting for it, ends the connection; 0 for the default.
  static Ptr connect(event::EventLoop& loop, const Poco::Net::SocketAddress& to,
                     Duration connectTimeout,
                     std::chrono::milliseconds silenceTimeout = kDefaultSilenceTimeout);
  /// A connection that was accepted.
  static Ptr adopt(event::EventLoop& loop, const Poco::Net::StreamSocket& socket);
  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  // Set by the owner of the connection. All are released when it closes, at the end of the turn,
  // since one of them may be running then.
  std::function<void()> onOpen;          ///< once, when a connect() has succeeded
  std::function<void()> onData;          ///< new bytes in `input`
  std::function<void()> onFlushed;       ///< all that was written has left
  std::function<void(EndReason)> onEnd;  ///< once, when it ended without close() of the owner
  /// Once, where set, when the other side has ended its output: true keeps the connection for what
  /// it is still to be sent (TCP half-close). Otherwise, and by default, that ends the connection.
  std::function<bool()> onInputEnd;
  /// Once, behind closeAfterFlush() or abortAfterFlush(): everything written was acknowledged by
  /// the other side's kernel, or was given up. The only one that stays set while the connection
  /// closes.
  std::function<void()> onDrained;

  /// Received bytes that the owner has not taken yet; the owner erases what it takes.
  std::string input;
  /// Set by the ConnectionPool when it takes the connection in.
  TimePoint idleSince;

  /// Buffers bytes; they leave at the end of this turn of the loop. Nothing happens once closing.
  void write(std::string_view bytes);
  /// Closes once everything is flushed; nothing more is read for the owner, who may let go of it.
  void closeAfterFlush();
  /// Resets the connection once the other side's kernel has acknowledged everything written, so
  /// that it reads all of that and then an error. Otherwise as closeAfterFlush().
  void abortAfterFlush();
  /// While set, the connection ends with a reset however it ends, with the process too: for output
  /// that an orderly end would complete. closeAfterFlush() takes it back once everything has left.
  void setAbortiveClose(bool enabled);
  /// Closes now and drops what is not sent. onEnd is not called.
  void close();
  /// Pauses or resumes reading (back-pressure).
  void enableReading(bool enabled);
  /// Looks at the socket itself: open, and nothing has come on it?
  [[nodiscard]] bool isQuiet();
  /// Looks at the socket itself: has the other side closed behind what it sent?
  [[nodiscard]] bool closedByPeer();

  [[nodiscard]] bool isOpen() const { return state_ == State::open; }
  [[nodiscard]] bool isAbortive() const { return abortive_; }
  [[nodiscard]] bool isClosed() const { return state_ == State::closed; }
  [[nodiscard]] std::size_t unsentBytes() const { return output_.size() - sentBytes_; }
  /// Looks at the socket itself: is there output that the other side's kernel has not acknowledged?
  [[nodiscard]] bool hasUnacknowledgedOutput() const;
  /// Is there such output, and has the other side taken some of it in the last `span`?
  [[nodiscard]] bool peerTakesOutputWithin(Duration span) const;

 private:
  /// A kernel that acknowledges nothing for so long is gone with its machine or link: a live one
  /// acknowledges within a round trip, also when the process behind it stands still.
  static constexpr std::chrono::milliseconds kDefaultSilenceTimeout{2000};

  enum class State : std::uint8_t {
    connecting,  ///< the kernel is connecting
    open,        ///< bytes go both ways
    closing,     ///< what is buffered leaves, what comes is dropped
    closed,      ///< the socket is closed
  };

  TcpConnection(event::EventLoop& loop, const Poco::Net::StreamSocket& socket, State state,
                std::chrono::milliseconds silenceTimeout);
  void attach();
  void onReady(int mode);
  void finishConnect(int mode);
  void readAvailable();
  void flush();
  /// False where the connection ended by it.
  bool sendBuffered();
  bool shutdownSending();
  void beginClosing();
  /// A closing connection with nothing left to send ends, by FIN or by RST.
  bool endOutput();
  /// Of a closing connection, once everything has left this process: looks again until everything
  /// is acknowledged.
  void awaitAcknowledgement(Duration nextCheckAfter);
  void reportDrained();
  void startLingerTimer();
  void onLingerTimeout();
  /// Output was handed to the kernel: looks after the peer until it is acknowledged.
  void watchPeer();
  void schedulePeerCheck(Duration wait);
  void checkPeer();
  /// The result of a one-byte look into the socket: below 0 where nothing has come, 0 for an
  /// orderly end; nullopt where the connection is broken.
  std::optional<int> peek();
  void scheduleFlush();
  /// Asks the loop for what this state can use.
  void updateInterest();
  void end(EndReason reason);
  void releaseCallbacks();

  event::EventLoop& loop_;
  Poco::Net::StreamSocket socket_;
  State state_;
  std::string output_;
  std::size_t sentBytes_ = 0;  // at the front of output_
  bool readingEnabled_ = true;
  bool flushScheduled_ = false;
  bool sendingShutDown_ = false;
  bool inputEnded_ = false;        // onInputEnd has kept the connection
  bool broken_ = false;            // a look at the socket has taken its error
  bool abortive_ = false;          // the socket's option, as set by setAbortiveClose()
  bool abortsAfterFlush_ = false;  // only in State::closing
  bool peerRests_ = false;         // and is not gone, by the last check
  bool peerWatched_ = false;       // a check is due
  TimePoint closingSince_;
  PeerMonitor peer_;
  event::Timer peerTimer_;             // of the next check of the peer
  event::Timer timer_;                 // of the connect, later of the linger
  event::Timer acknowledgementTimer_;  // of awaitAcknowledgement()
};

}  // namespace merlingauge::http
