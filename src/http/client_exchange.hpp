// client_exchange: the client side of HTTP/1.1: one request to one address and its answer.
#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.hpp"
#include "event/event_loop.hpp"
#include "http/body_framing.hpp"
#include "http/message_end.hpp"
#include "http/tcp_connection.hpp"

namespace merlingauge::http {

class ConnectionPool;

/// Begun by ConnectionPool::startExchange(). Ends once: by onComplete, by onFailure, or by cancel()
/// of its owner, and by nothing else.
///
/// Ownership: whoever began it holds the lasting reference. Its connection refers to it weakly, so
/// letting go of it without cancel() silences it. Until its end it is the one owner of its
/// connection; then the pool gets the connection back or it is closed. The pool must outlive it.
/// Thread: the event-loop thread only.
///
/// Two invariants (docs/design.md, "What holds on every connection") rest on this class:
/// - an answer reaches exactly the caller of its request: parseHead() takes only an answer that
///   repeats the Attempt-Id, complete() keeps only a connection that is in step;
/// - a request that may not be repeated is offered to at most one server: this class never sends a
///   request again, and `Failure` tells what is proven, so that its owner can decide.
class ClientExchange : public std::enable_shared_from_this<ClientExchange> {
 public:
  using Ptr = std::shared_ptr<ClientExchange>;

  /// Why there is no complete answer. Only notSent proves that the server has not seen the request.
  enum class Failure : std::uint8_t {
    notSent,          ///< no connection came up: nothing has left this machine
    staleConnection,  ///< a kept connection was closed before any answer: it may have been read
    noResponse,       ///< sent, and no complete head of an answer came
    truncated,        ///< the answer began and did not end
    invalidResponse,  ///< what came is no answer, or one to another request
  };

  // Set by the owner, before it returns to the event loop. They often hold the owner: all are
  // released at the end of the turn in which the exchange ends.

  /// The head of the final answer; once, before onBody.
  std::function<void(Poco::Net::HTTPResponse&, const BodyFraming&)> onResponseHead;
  /// Body bytes; takes what it wants from the front, the rest is offered again with the next.
  std::function<void(std::string&)> onBody;
  /// An interim (1xx) answer: the server is working on it.
  std::function<void()> onInterimResponse;
  /// The answer is complete.
  std::function<void()> onComplete;
  /// There will be no complete answer.
  std::function<void(Failure)> onFailure;
  /// Everything sent so far has left: more may be sent (back-pressure).
  std::function<void()> onFlushed;

  /// Sends a piece of the request's body.
  void sendBody(std::string_view bytes);
  /// Ends the request's body; once, after the last sendBody().
  void endBody();
  /// Ends the exchange and its connection; no callback is called any more.
  void cancel();
  /// Stops or resumes reading the answer (back-pressure).
  void pauseReading(bool paused);

  /// How the answer was framed and how it ended; nothing where no head of it has come.
  [[nodiscard]] std::optional<MessageSummary> responseSummary() const;
  [[nodiscard]] std::size_t unsentBytes() const {
    return connection_ ? connection_->unsentBytes() : 0;
  }
  /// Whether the connection is up, so that bytes may have reached the server.
  [[nodiscard]] bool maybeSent() const { return maybeSent_; }
  /// How long the connection had been idle before this exchange; nothing for a new one.
  [[nodiscard]] std::optional<Duration> connectionIdleTime() const { return connectionIdleTime_; }

 private:
  friend class ConnectionPool;  // makes and begins it

  ClientExchange(ConnectionPool& pool, event::EventLoop& loop, std::string poolKey);
  void begin(TcpConnection::Ptr connection, const Poco::Net::HTTPRequest& request,
             FramingKind framingKind, bool reused);
  void setConnectionCallbacks();
  void refuseToSend();
  void onData();
  void onConnectionEnd(TcpConnection::EndReason reason);
  /// Takes one head, interim or final, from the input. False where there is nothing more to take:
  /// the head is incomplete, or the exchange has ended.
  bool readHead();
  /// nullopt where the bytes are no answer, or one to another request.
  std::optional<BodyFraming> parseHead(std::string_view head,
                                       Poco::Net::HTTPResponse& response) const;
  void beginResponse(Poco::Net::HTTPResponse& response, const BodyFraming& framing);
  void readBody();
  [[nodiscard]] bool isConnectionInStep() const;
  void complete(MessageEnd responseEnd);
  void fail(Failure failure, MessageEnd responseEnd);
  void release();

  ConnectionPool& pool_;
  event::EventLoop& loop_;
  std::string poolKey_;
  std::string attemptId_;          // the answer must repeat it; "" where the request has none
  TcpConnection::Ptr connection_;  // until the end of the exchange
  FramingKind requestFramingKind_ = FramingKind::none;
  BodyReader responseReader_;
  MessageEnd responseEnd_ = MessageEnd::abandoned;
  std::string undeliveredBody_;  // read, and left in place by onBody
  bool isHeadRequest_ = false;
  bool reused_ = false;  // the connection has served an exchange before
  bool maybeSent_ = false;
  bool receivedBytes_ = false;    // of any kind, also of an interim answer
  bool receivedHead_ = false;     // of the final answer
  bool requestComplete_ = false;  // the request is in the connection's output, to its last byte
  bool serverKeepsAlive_ = true;
  bool over_ = false;
  std::optional<Duration> keepAliveTimeout_;  // as the server announces it
  std::optional<Duration> connectionIdleTime_;
};

}  // namespace merlingauge::http
