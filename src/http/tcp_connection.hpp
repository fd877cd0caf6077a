// rope: one TCP connection on the loop, non-blocking, with an output buffer that is flushed once
// a turn and a reader that can be paused.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.hpp"
#include "event/event_loop.hpp"

namespace merlingauge::http {

class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  using Ptr = std::shared_ptr<TcpConnection>;
  enum class EndReason : std::uint8_t { closed, reset, connectFailed };

  static Ptr connect(event::EventLoop& loop, const Poco::Net::SocketAddress& to,
                     Duration connectLimit, int userTimeoutMs = 0);
  static Ptr adopt(event::EventLoop& loop, const Poco::Net::StreamSocket& socket);
  ~TcpConnection();

  std::function<void()> onOpen;
  std::function<void()> onData;     // new bytes in `in`
  std::function<void()> onFlushed;  // all that was written has left
  std::function<void(EndReason)> onEnd;
  std::string input;

  void write(std::string_view bytes);
  void closeAfterFlush();  // close once everything is flushed; nothing more is read for the owner
  void close();            // close now
  void enableReading(bool on);
  // Looks at the socket itself: is it still quiet and open?
  [[nodiscard]] bool isQuiet();
  // Looks at the socket itself: has the other side closed behind what it sent?
  [[nodiscard]] bool closedByPeer();

  [[nodiscard]] bool isOpen() const { return state_ == State::open; }
  [[nodiscard]] bool isClosed() const { return state_ == State::closed; }
  [[nodiscard]] std::size_t unsentBytes() const { return output_.size() - sentBytes_; }

  TimePoint idleSince;
  int exchangesServed = 0;

 private:
  enum class State : std::uint8_t { connecting, open, closing, closed };
  TcpConnection(event::EventLoop& loop, const Poco::Net::StreamSocket& socket, State state);
  void attach(int userTimeoutMs);
  void ready(int mode);
  void readAvailable();
  void flush();
  void scheduleFlush();
  void updateInterest();
  void ended(EndReason end);
  void releaseCallbacks();

  event::EventLoop& loop_;
  Poco::Net::StreamSocket socket_;
  State state_;
  std::string output_;
  std::size_t sentBytes_ = 0;
  bool reading_ = true;
  bool flushScheduled_ = false;
  bool shut_ = false;
  event::EventLoop::TimerId timer_ = 0;
};

}  // namespace merlingauge::http
