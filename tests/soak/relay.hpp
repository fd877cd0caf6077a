// relay.hpp: stands between two parts of a path and cuts, resets, half-closes, delays and loses.
#pragma once

#include <memory>
#include <vector>

#include "loopback/socket_listener.hpp"

namespace merlingauge::test {

/// Relays every connection on `listen` to `upstream`. Event-loop thread.
///
/// An answer without a length says by a FIN that it is whole: only its server can say so, and no
/// failure of a network does. Where a fault would end such an answer by FIN, it is reset.
class SoakRelay {
 public:
  SoakRelay(EventLoop& loop, const SocketAddress& listen, const SocketAddress& upstream);

  /// Relays nothing, and says nothing of it, until thawed.
  void freeze(bool on);
  /// Drops what comes from upstream; at the end those connections are reset.
  void loseResponses(bool on);
  void resetAll();
  /// FIN to both sides, wherever their messages stand.
  void closeAll();
  /// FIN towards the callers only; what still comes for them is dropped.
  void halfCloseAll();

 private:
  struct Connection {
    SocketEndpoint::Ptr downstream;
    SocketEndpoint::Ptr upstream;
    bool incomplete = false;  // bytes of it were dropped
    bool unframed = false;    // carries an answer without a length
    int ends = 0;
  };
  void onAccept(const SocketEndpoint::Ptr& downstream);
  static void onEnd(Connection& connection, SocketEndpoint& other, SocketEndpoint::End end);
  void forgetClosed();
  static void reset(Connection& connection);

  EventLoop& loop_;
  SocketAddress upstreamAddress_;
  std::vector<std::shared_ptr<Connection>> connections_;
  bool losing_ = false;
  SocketListener listener_;
};

}  // namespace merlingauge::test
