// socket_listener.cpp: a listening address in a test.
#include "loopback/socket_listener.hpp"

#include <Poco/Exception.h>

#include <utility>

namespace merlingauge::test {
namespace {

// Above the connections that one case opens at the same time.
constexpr int kListenBacklog = 64;

}  // namespace

SocketListener::SocketListener(EventLoop& loop, const SocketAddress& address,
                               AcceptCallback onAccept)
    : loop_(loop), address_(address), onAccept_(std::move(onAccept)) {
  open();
}

void SocketListener::open() {
  if (open_) return;
  open_ = true;
  socket_ = Poco::Net::ServerSocket();
  socket_.bind(address_, true, false);
  socket_.listen(kListenBacklog);
  socket_.setBlocking(false);
  freeze(false);
}

void SocketListener::close() {
  if (!open_) return;
  open_ = false;
  loop_.forget(socket_);
  socket_.close();
}

void SocketListener::freeze(bool on) {
  if (!open_) return;
  if (on) {
    loop_.forget(socket_);
    return;
  }
  loop_.watch(socket_, Poco::Net::PollSet::POLL_READ, [this](int) { accept(); });
}

void SocketListener::accept() {
  try {
    onAccept_(SocketEndpoint::adopt(loop_, socket_.acceptConnection()));
  } catch (const Poco::Exception&) {
    // The peer has left before its connection was accepted.
  }
}

}  // namespace merlingauge::test
