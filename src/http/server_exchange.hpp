// server_exchange: the server side of HTTP/1.1: one request of a caller and its answer.
#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/errors.hpp"
#include "base/time.hpp"
#include "http/body_framing.hpp"
#include "http/message_end.hpp"
#include "http/response_invariants.hpp"

namespace merlingauge::http {

class ServerConnection;

/// Handed to ListenerContext::onExchange. Its answer is a head, pieces of a body and an end, or
/// respond() in one go. All calls that come too late (the answer has ended, or the caller has left)
/// do nothing.
///
/// Ownership: its ServerConnection holds it until the answer has ended, and so may whoever serves
/// it; it refers to the connection weakly. Thread: the event-loop thread only.
///
/// An answer reaches exactly the caller of its request: what is written before it is this
/// exchange's turn stays in heldOutput_, and an answer that is cut short can't look complete: it
/// has a length or chunks, whose end is missing, or, to a caller of HTTP/1.0 that can't be told the
/// length, its connection is reset.
class ServerExchange : public std::enable_shared_from_this<ServerExchange> {
 public:
  using Ptr = std::shared_ptr<ServerExchange>;
  /// Names and values.
  using ExtraHeaders = std::vector<std::pair<std::string, std::string>>;

  Poco::Net::HTTPRequest request;
  BodyFraming requestFraming;
  /// When the head was complete.
  TimePoint startedAt;
  /// Bytes of the body that whoever serves the exchange has not taken yet; it erases what it takes.
  std::string receivedBody;
  /// The body is complete; what is not in receivedBody was taken.
  bool bodyComplete = false;

  // Set by whoever serves the exchange, and often holding it: whoever sets them releases them when
  // its work for the exchange ends, also after onClientGone.

  /// More of the body, or its end.
  std::function<void()> onBody;
  /// The caller left before the answer was complete; once, and no other callback follows.
  std::function<void()> onClientGone;
  /// Everything written so far has left: more may be written (back-pressure).
  std::function<void()> onFlushed;

  /// Begins a streamed answer; sets the headers of the framing and the connection in `response`. A
  /// body whose length isn't known goes in chunks, however `framing` says it came.
  void sendHead(Poco::Net::HTTPResponse& response, const BodyFraming& framing);
  /// Sends a piece of the body.
  void sendBody(std::string_view bytes);
  /// Ends the answer in order.
  void endResponse();
  /// Ends an answer that was relayed from `source`, in order if that ended whole.
  void endRelayedResponse(const MessageSummary& source);
  /// Checks one of the process's invariants for this answer; returns `holds`.
  bool check(ResponseInvariant invariant, bool holds);
  /// Ends the answer half-way, and the connection with it, so that it can't look complete.
  void abortResponse();
  /// A complete answer in one go.
  void respond(int status, const std::string& reason, std::string_view body,
               const std::string& contentType, const ExtraHeaders& extra = {});
  /// The answer for an error of this node. `detail` is appended to its text.
  void respondError(ErrorKind kind, const std::string& detail = "", const ExtraHeaders& extra = {});
  /// An interim answer (100): the body may come. Interim answers wait for this exchange's turn like
  /// the final one; a caller of HTTP/1.0 gets none.
  void sendContinue();
  /// An interim answer (102): the request is being worked on.
  void sendProcessing();
  /// Whether the caller has closed its connection, and the loop hasn't come to it yet. A process
  /// that stood still finds the request and its end in the socket together.
  [[nodiscard]] bool clientHasClosed() const;
  /// Back-pressure: whoever serves the exchange still holds so many bytes of the body. Reading goes
  /// on once they and receivedBody are few enough.
  void bodyConsumed(std::size_t heldBytes);

  [[nodiscard]] bool headSent() const { return headSent_; }
  /// The answer has ended, or the caller has left.
  [[nodiscard]] bool isOver() const { return over_; }
  [[nodiscard]] std::size_t unsentBytes() const;

 private:
  friend class ServerConnection;  // keeps the order of the answers

  void write(std::string_view bytes);
  [[nodiscard]] bool mustCloseAfter(const ServerConnection& connection) const;
  [[nodiscard]] bool hasFramingHeaders(int status) const;
  [[nodiscard]] bool isHttp10() const;
  [[nodiscard]] bool hasDeclaredLength() const;
  [[nodiscard]] std::string describeForLog() const;
  /// The end of the connection completes the answer.
  [[nodiscard]] bool endsByClose() const {
    return responseFraming_.kind == FramingKind::untilClose;
  }
  void sendInterim(std::string_view statusLine);
  void finish();

  std::weak_ptr<ServerConnection> connection_;
  std::string heldOutput_;   // written before it is this answer's turn
  bool dispatched_ = false;  // handed to whoever serves it
  bool aborted_ = false;
  BodyFraming responseFraming_;
  std::uint64_t bodyBytesSent_ = 0;
  bool headSent_ = false;
  bool over_ = false;
  bool closeAfterResponse_ = false;
  bool isHeadRequest_ = false;
};

}  // namespace merlingauge::http
