// socket_endpoint.hpp: one end of a TCP connection in a test, which can freeze, reset and half
// close.
#pragma once

#include <Poco/Net/PollSet.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "event/event_loop.hpp"

namespace merlingauge::test {

using event::EventLoop;
using Poco::Net::SocketAddress;

/// One end of a connection, without any of the program's own error handling. Event-loop thread.
class SocketEndpoint : public std::enable_shared_from_this<SocketEndpoint> {
 public:
  using Ptr = std::shared_ptr<SocketEndpoint>;
  /// How the peer ended its direction.
  enum class End : std::uint8_t { closed, reset };
  /// Called when bytes were added to `received`; may close this endpoint.
  std::function<void()> onData;
  /// Called once, when the peer has closed its direction or reset the connection.
  std::function<void(End)> onEnd;
  /// Bytes that were read and not yet consumed by the owner.
  std::string received;

  /// Wraps a connected socket.
  static Ptr adopt(EventLoop& loop, const Poco::Net::StreamSocket& socket);
  /// Null where nobody listens or the listener's queue is full; that blocks for 0.2 s.
  static Ptr connect(EventLoop& loop, const SocketAddress& address);
  ~SocketEndpoint() { reset(); }
  SocketEndpoint(const SocketEndpoint&) = delete;
  SocketEndpoint& operator=(const SocketEndpoint&) = delete;

  void write(std::string_view bytes);
  /// While frozen it neither reads nor writes; the kernel goes on accepting bytes for it.
  void freeze(bool on);
  /// Sends FIN once everything is written; reads on.
  void halfClose();
  void close();
  /// Closes with RST.
  void reset();
  [[nodiscard]] bool isClosed() const { return closed_; }

 private:
  SocketEndpoint(EventLoop& loop, const Poco::Net::StreamSocket& socket)
      : loop_(loop), socket_(socket) {}
  void watch();
  [[nodiscard]] int pollMode() const;
  void detach();
  void flush();
  void onReady();
  void onReadEnd(End end);

  EventLoop& loop_;
  Poco::Net::StreamSocket socket_;
  std::string unsent_;
  bool frozen_ = false;
  bool halfClosed_ = false;
  bool finSent_ = false;
  bool readEnded_ = false;
  bool closed_ = false;
};

}  // namespace merlingauge::test
