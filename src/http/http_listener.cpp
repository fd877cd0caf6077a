#include "http/http_listener.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>

#include <algorithm>
#include <vector>

namespace merlingauge::http {

namespace {
// Connections that the kernel completes while the process is busy or stands still. A fleet's
// callers reconnect all at once when a node comes back.
constexpr int kListenBacklog = 512;
}  // namespace

HttpListener::HttpListener(event::EventLoop& loop, const Poco::Net::SocketAddress& address,
                           std::size_t maxConnections)
    : loop_(loop), maxConnections_(maxConnections) {
  socket_.bind(address, true, false);
  socket_.listen(kListenBacklog);
  socket_.setBlocking(false);
  loop_.watch(socket_, Poco::Net::PollSet::POLL_READ, [this](int) { acceptConnection(); });
}

HttpListener::~HttpListener() {
  *alive_ = false;
  stopAccepting();
  for (auto& [key, connection] : connections_) connection->close();
}

void HttpListener::stopAccepting() {
  if (!accepting_) return;
  accepting_ = false;
  loop_.forget(socket_);
  socket_.close();
}

// One a turn: the poll set reports the socket again while more are waiting.
void HttpListener::acceptConnection() {
  Poco::Net::StreamSocket socket;
  try {
    socket = socket_.acceptConnection();
  } catch (const Poco::Exception&) {
    return;
  }
  // Closed with the socket object: the number is bounded, and the caller sees it at once. Those
  // that close but wait for a slow reader hold a descriptor too.
  if (connections_.size() + context->closingWithOutput >= maxConnections_) return;
  auto connection =
      std::make_shared<ServerConnection>(loop_, TcpConnection::adopt(loop_, socket), context);
  auto* const key = connection.get();
  connections_.emplace(key, connection);
  connection->start([this, key, alive = alive_] {
    if (*alive) connections_.erase(key);
  });
}

bool HttpListener::hasUnacknowledgedOutput() const {
  return context->closingWithOutput > 0 ||
         std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& entry) { return entry.second->hasUnacknowledgedOutput(); });
}

void HttpListener::closeIdleConnections() {
  std::vector<ServerConnection::Ptr> idle;  // a connection that closes leaves connections_
  for (auto& [key, connection] : connections_) {
    if (connection->isIdle()) idle.push_back(connection);
  }
  for (auto& connection : idle) connection->close();
}

}  // namespace merlingauge::http
