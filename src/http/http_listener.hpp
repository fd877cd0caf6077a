// http_listener: a listening socket and the connections accepted on it.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <cstddef>
#include <map>
#include <memory>

#include "event/event_loop.hpp"
#include "http/listener_context.hpp"
#include "http/server_connection.hpp"

namespace merlingauge::http {

/// Owns its listening socket and its connections; its end closes all of them. Lives as long as the
/// node that opens it. Thread: the event-loop thread only.
class HttpListener {
 public:
  /// Listens at once. Throws Poco::Exception where the address can't be had. A connection beyond
  /// `maxConnections` is closed as soon as it is accepted.
  HttpListener(event::EventLoop& loop, const Poco::Net::SocketAddress& address,
               std::size_t maxConnections);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Shared with the connections. Set its callbacks before the loop turns.
  std::shared_ptr<ListenerContext> context = std::make_shared<ListenerContext>();

  /// Closes the connections on which nothing is running or coming in.
  void closeIdleConnections();
  /// Closes the listening socket; the connections stay.
  void stopAccepting();
  /// Whether a caller is owed bytes that have not left this process.
  [[nodiscard]] bool hasUnacknowledgedOutput() const;
  [[nodiscard]] std::size_t connectionCount() const { return connections_.size(); }

 private:
  void acceptConnection();

  event::EventLoop& loop_;
  Poco::Net::ServerSocket socket_;
  std::size_t maxConnections_;
  std::map<ServerConnection*, ServerConnection::Ptr> connections_;
  /// False from the destructor on: a connection may end after its listener, held by a callback.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool accepting_ = true;
};

}  // namespace merlingauge::http
