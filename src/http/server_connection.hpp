// server_connection: one connection of a caller and the requests on it, in their order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "base/errors.hpp"
#include "base/time.hpp"
#include "event/event_loop.hpp"
#include "event/timer.hpp"
#include "http/body_framing.hpp"
#include "http/listener_context.hpp"
#include "http/server_exchange.hpp"
#include "http/tcp_connection.hpp"

namespace merlingauge::http {

/// Reads requests, hands them out in turn, or earlier where ListenerContext::mayPipeline allows it,
/// and puts the answers on the wire in the order of the requests.
///
/// Ownership: its HttpListener holds it until it ends; it holds its TcpConnection (which refers to
/// it weakly), its exchanges until their answers have ended, and a share of the ListenerContext.
/// Ends by the caller's close, by an answer that closes, by a timeout, or by close(); then it calls
/// `onClosed` once. Thread: the event-loop thread only.
///
/// Two invariants (docs/design.md, "What holds on every connection") rest on this class:
/// - an answer reaches exactly the caller of its request: exchanges_ keeps the order of the
///   requests, and only the front writes to the connection (isFront);
/// - a request that may not be repeated is offered to at most one server: it is handed out only at
///   the front (beginExchange), and what lies behind an answer that closes is dropped unread.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using Ptr = std::shared_ptr<ServerConnection>;

  ServerConnection(event::EventLoop& loop, TcpConnection::Ptr connection,
                   std::shared_ptr<ListenerContext> context);

  /// Begins to read. `onClosed` is called once, when the connection has ended.
  void start(std::function<void()> onClosed);
  /// Ends the connection now; requests without a complete answer hear onClientGone.
  void close();
  /// Output that this process, or its kernel, still has to bring to the caller's machine.
  [[nodiscard]] bool hasUnacknowledgedOutput() const {
    return connection_->hasUnacknowledgedOutput();
  }
  /// No request is running, waiting, or on its way in.
  [[nodiscard]] bool isIdle() const { return exchanges_.empty() && connection_->input.empty(); }

 private:
  friend class ServerExchange;  // writes its answer by way of the following

  /// Whether it is this exchange's turn to be answered.
  [[nodiscard]] bool isFront(const ServerExchange& exchange) const;
  /// Whether no other request has come behind it.
  [[nodiscard]] bool isLast(const ServerExchange& exchange) const;
  [[nodiscard]] bool isDraining() const { return context_->draining; }
  [[nodiscard]] std::size_t unsentBytes() const { return connection_->unsentBytes(); }
  [[nodiscard]] bool closedByPeer() const { return connection_->closedByPeer(); }
  void write(std::string_view bytes) { connection_->write(bytes); }
  [[nodiscard]] ResponseInvariantCounters& invariants() const { return *context_->invariants; }
  void countEnd(const ServerExchange& exchange) const;
  /// The answer under way ends by the close: until it is complete, every other end is a reset.
  void setAbortiveClose() { connection_->setAbortiveClose(true); }
  /// Reads on only while less than the limit of a request's body is buffered.
  void limitReading(std::size_t bufferedBytes);
  /// The answer whose turn it was has ended: on to those that wait behind it.
  void onFrontFinished();

  /// What a piece of a body left.
  struct BodyProgress {
    bool complete = false;
    std::optional<ErrorKind> error;
  };

  void advance();
  /// The caller has ended its output: whether it is still owed answers.
  [[nodiscard]] bool onInputEnd();
  /// False where the input holds no further request for now, or the last one was rejected.
  bool beginExchange();
  /// Bytes of the head at the front of the input; nullopt where it is incomplete or was rejected.
  std::optional<std::size_t> findCompleteHead();
  /// Takes the head at the front of the input; nullptr where it was rejected.
  ServerExchange::Ptr parseExchange(std::size_t headSize);
  void enqueue(const ServerExchange::Ptr& exchange);
  void dispatch(const ServerExchange::Ptr& exchange);
  BodyProgress readBody(ServerExchange& exchange);
  void continueBody();
  void reject(ErrorKind kind);
  void closeAfterAnswer();
  void closeAfterPartialAnswer(const ServerExchange& exchange);
  void leaveConnection();
  void beginNextAnswer();
  void abandonExchanges();
  /// Before the connection ends by close().
  void checkPartialAnswer() const;
  [[nodiscard]] bool mayBeginNext() const;
  void expectHead();
  void startTimer(Duration wait);
  void onTimeout();

  event::EventLoop& loop_;
  TcpConnection::Ptr connection_;
  std::shared_ptr<ListenerContext> context_;
  /// In the order of their requests; the body of the last may still be coming.
  std::deque<ServerExchange::Ptr> exchanges_;
  BodyReader bodyReader_;            // of the last exchange
  std::uint64_t bodyBytesRead_ = 0;  // of the last exchange
  std::function<void()> onClosed_;
  event::Timer timer_;          // runs only while there is no exchange
  bool expectingHead_ = false;  // it limits the arrival of a head, not an idle connection
  bool advancing_ = false;
  bool over_ = false;
};

}  // namespace merlingauge::http
