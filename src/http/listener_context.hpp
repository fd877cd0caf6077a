// listener_context: what all connections of one listener share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "base/errors.hpp"
#include "base/time.hpp"
#include "http/message_head.hpp"
#include "http/response_invariants.hpp"

namespace merlingauge::http {

class ServerExchange;

/// How the responses on a listener ended, since the start of the process.
struct ResponseEndCounts {
  std::uint64_t whole = 0;       ///< ended in order
  std::uint64_t partial = 0;     ///< ended half-way by this node
  std::uint64_t callerGone = 0;  ///< the caller left before its response was whole
};

/// What a connection takes from its caller. Each may change while the listener runs; a request is
/// checked by the limits in force when its bytes come.
struct ConnectionLimits {
  /// Of a request's head. The defaults are what an operator gets who configures none.
  std::size_t maxHeadBytes = 16384;
  std::size_t maxHeaderFields = kMaxHeaderFields;
  /// Of a request's body.
  std::uint64_t maxBodyBytes = 64ULL << 20;
  /// From the first byte of a head (of the first one: from the connection) to its last.
  Duration headerTimeout = std::chrono::seconds(5);
  /// Between the last answer and the next request.
  Duration idleTimeout = std::chrono::seconds(60);
};

/// Shared by the HttpListener and its ServerConnections; the last of them ends it. The callbacks
/// are set once, by whoever opens the listener, before the loop turns, and stay for good; what they
/// refer to must outlive the connections. Thread: the event-loop thread only.
struct ListenerContext {
  ConnectionLimits limits;
  /// Never null. A node shares one between all its listeners.
  std::shared_ptr<ResponseInvariantCounters> invariants =
      std::make_shared<ResponseInvariantCounters>();
  ResponseEndCounts responseEnds;
  /// Connections that are closing and still have output that has not left this process.
  std::size_t closingWithOutput = 0;
  /// Graceful shutdown: the last answer of each connection carries `Connection: close`.
  bool draining = false;
  /// A caller that ends its output behind a whole request still gets its answer. Unset: it counts
  /// as gone, and its request as cancelled.
  bool answersAfterHalfClose = false;
  /// A request whose turn it is, as soon as its head is there. The receiver keeps the exchange, or
  /// answers it at once.
  std::function<void(const std::shared_ptr<ServerExchange>&)> onExchange;
  /// A request that was answered here, since it is malformed, too large or too slow. May be unset.
  std::function<void(ErrorKind)> onRejected;
  /// Whether a request may be handed out before those ahead of it on its connection are answered.
  /// True only for what may be repeated: its caller may close and send it again. Unset: never.
  std::function<bool(const ServerExchange&)> mayPipeline;
};

}  // namespace merlingauge::http
