// socket_listener.hpp: a listening address in a test, which can freeze, close and open again.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <functional>

#include "loopback/socket_endpoint.hpp"

namespace merlingauge::test {

/// Accepts connections on one address from its construction on. Event-loop thread.
class SocketListener {
 public:
  using AcceptCallback = std::function<void(const SocketEndpoint::Ptr&)>;
  SocketListener(EventLoop& loop, const SocketAddress& address, AcceptCallback onAccept);
  ~SocketListener() { close(); }
  SocketListener(const SocketListener&) = delete;
  SocketListener& operator=(const SocketListener&) = delete;
  void open();
  void close();
  /// While frozen nothing is accepted; the kernel goes on queueing connections.
  void freeze(bool on);

 private:
  void accept();

  EventLoop& loop_;
  SocketAddress address_;
  AcceptCallback onAccept_;
  Poco::Net::ServerSocket socket_;
  bool open_ = false;
};

}  // namespace merlingauge::test
