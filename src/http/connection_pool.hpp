// connection_pool: connections to servers and other nodes, kept between client exchanges.
#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketAddress.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.hpp"
#include "event/event_loop.hpp"
#include "event/timer.hpp"
#include "http/body_framing.hpp"
#include "http/client_exchange.hpp"
#include "http/message_head.hpp"
#include "http/response_invariants.hpp"
#include "http/tcp_connection.hpp"

namespace merlingauge::http {

/// Owns the idle connections, and only these: startExchange() hands one over to the exchange, which
/// gives it back by giveBack() once its answer is complete. Lives as long as the process; must
/// outlive its exchanges. Thread: the event-loop thread only.
class ConnectionPool {
 public:
  struct Options {
    /// How long a new connection may take to come up.
    Duration connectTimeout = std::chrono::milliseconds(800);
    /// How long an idle connection is kept.
    Duration idleTimeout = std::chrono::seconds(20);
    /// The oldest idle connection of an address is closed for one more.
    std::size_t maxIdlePerAddress = 64;
    /// See TcpConnection::connect.
    std::chrono::milliseconds silenceTimeout{0};
    /// Whether the end of the connection may complete an answer. Other nodes always give a length
    /// or chunks: from them such an answer is refused, since their process may have ended half-way.
    bool answersMayEndByClose = true;
    /// The answers come from other nodes, which add to the heads that they have taken.
    bool answersAreOfNodes = false;
    /// Counts such refusals; may be null.
    std::shared_ptr<ResponseInvariantCounters> invariants;
  };

  ConnectionPool(event::EventLoop& loop, Options options);
  /// Whether an answer with this framing is taken, by `answersMayEndByClose`.
  [[nodiscard]] bool acceptsFraming(const BodyFraming& framing, const std::string& attemptId) const;
  /// What a head of an answer may have.
  struct ResponseLimits {
    std::size_t maxHeadBytes = 65536;
    std::size_t maxHeaderFields = kMaxHeaderFields;
  };
  [[nodiscard]] ResponseLimits responseLimits() const;
  /// Whether a request may be sent whose head is writable or not (serializeHead). Counts a refusal.
  [[nodiscard]] bool acceptsRequestHead(bool writable, const std::string& attemptId) const;

  /// Begins an exchange with the server at `to`, on an idle connection or a new one. `maxIdleTime`:
  /// a connection idle for longer isn't used for this exchange, but gives way to a new one.
  /// `incarnation`: whom the connection belongs to; it serves no other process at that address. ""
  /// for whoever is there.
  ClientExchange::Ptr startExchange(const Poco::Net::SocketAddress& to,
                                    const Poco::Net::HTTPRequest& request, FramingKind framingKind,
                                    Duration maxIdleTime, const std::string& incarnation = "");

  /// Connections opened since the start; for the status report.
  [[nodiscard]] std::uint64_t connectionsOpened() const { return connectionsOpened_; }

 private:
  friend class ClientExchange;  // gives its connection back

  struct IdleConnection {
    TcpConnection::Ptr connection;
    TimePoint expiresAt;
  };
  /// The idle connections of one address and incarnation, the oldest first.
  using IdleConnections = std::vector<IdleConnection>;

  /// Keeps a connection that is in step: its answer was complete, the request is all out, and
  /// nothing lies behind the answer. `peerTimeout`: how long the server said that it keeps it.
  void giveBack(const std::string& key, const TcpConnection::Ptr& connection,
                std::optional<Duration> peerTimeout);
  /// An idle connection that is still quiet, or nullptr.
  TcpConnection::Ptr takeIdle(const std::string& key, Duration maxIdleTime);
  /// Anything that comes on an idle connection, its end or stray bytes, closes it.
  void closeOnAnyInput(const TcpConnection::Ptr& connection);
  static void closeOldest(IdleConnections& connections);
  void closeExpired();
  void scheduleSweep();

  event::EventLoop& loop_;
  Options options_;
  std::unordered_map<std::string, IdleConnections> idle_;  // by address and incarnation
  std::uint64_t connectionsOpened_ = 0;
  bool sweepScheduled_ = false;
  event::Timer sweepTimer_;
};

}  // namespace merlingauge::http
