// guest: the server side of HTTP. One Guest is one connection of a caller, one Visit one request
// on it and its answer. Requests that come before earlier ones are answered may run at once, if
// whoever serves them allows it; answers keep the order of the requests.
#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/errors.hpp"
#include "http/message_framing.hpp"
#include "http/tcp_connection.hpp"

namespace merlingauge::http {

struct ConnectionLimits {
  std::size_t maxHeadBytes = 16384;
  std::uint64_t maxBodyBytes = 64ULL << 20;
  Duration headerTimeout = std::chrono::seconds(5);
  Duration idleTimeout = std::chrono::seconds(60);
};

class ServerConnection;

class ServerExchange : public std::enable_shared_from_this<ServerExchange> {
 public:
  using Ptr = std::shared_ptr<ServerExchange>;
  using ExtraHeaders = std::vector<std::pair<std::string, std::string>>;

  Poco::Net::HTTPRequest request;
  BodyFraming requestFraming;
  TimePoint startedAt;
  std::string receivedBody;   // received, not yet taken by the owner
  bool bodyComplete = false;  // the whole body has come

  std::function<void()> onBody;        // more body, or its end
  std::function<void()> onClientGone;  // the caller left before the answer was whole
  std::function<void()> onFlushed;

  // A streamed answer: head, pieces, end. `cut` ends it so that it can't look whole.
  void sendHead(Poco::Net::HTTPResponse& response, const BodyFraming& answerPlan);
  void sendBody(std::string_view bytes);
  void endResponse();
  void abortResponse();
  // An answer in one go.
  void respond(int status, const std::string& reason, std::string_view text,
               const std::string& type, const ExtraHeaders& extra = {});
  void respondError(ErrorKind kind, const std::string& detail = "", const ExtraHeaders& extra = {});
  // An interim answer: taken, and being worked on.
  void sendProcessing();
  // The caller has closed its connection, and the loop hasn't come to it yet. A process that stood
  // still finds the request and its end in the socket together.
  [[nodiscard]] bool clientHasClosed() const;
  void bodyConsumed(std::size_t held);  // back-pressure: the owner still holds this much

  [[nodiscard]] bool headSent() const { return headSent_; }
  [[nodiscard]] bool isOver() const { return over_; }
  [[nodiscard]] std::size_t unsentBytes() const;

 private:
  friend class ServerConnection;
  void write(std::string_view bytes);
  std::weak_ptr<ServerConnection> connection_;
  std::string heldOutput_;  // written before it is this answer's turn
  bool started_ = false;    // handed to whoever serves it
  bool aborted_ = false;
  BodyFraming responseFraming_;
  bool headSent_ = false;
  bool over_ = false;
  bool closeAfterResponse_ = false;
  bool isHeadRequest_ = false;
};

// What all guests of one listener share.
struct ListenerContext {
  ConnectionLimits limits;
  bool draining = false;  // answers carry Connection: close
  std::function<void(const ServerExchange::Ptr&)> onExchange;
  std::function<void(ErrorKind)> onRejected;
  // May this one run before those ahead of it on its connection are answered? Unset: never.
  std::function<bool(const ServerExchange&)> mayPipeline;
  int activeExchanges = 0;  // being served now
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using Ptr = std::shared_ptr<ServerConnection>;
  ServerConnection(event::EventLoop& loop, TcpConnection::Ptr connection,
                   std::shared_ptr<ListenerContext> reception);
  void start(std::function<void()> onGone);
  void close();
  [[nodiscard]] bool isIdle() const { return exchanges_.empty() && connection_->input.empty(); }

 private:
  friend class ServerExchange;
  void advance();
  bool beginExchange();
  void feedBody();
  void reject(ErrorKind kind);
  void exchangeOver();
  void abandonExchanges();
  void begun(const ServerExchange::Ptr& exchange);
  [[nodiscard]] bool isFront(const ServerExchange* exchange) const;
  [[nodiscard]] bool mayReadOn() const;
  void armTimer(Duration wait, bool inHead);
  void ended();

  event::EventLoop& loop_;
  TcpConnection::Ptr connection_;
  std::shared_ptr<ListenerContext> listener_;
  std::deque<ServerExchange::Ptr>
      exchanges_;  // in the order of their requests; the last may still be coming
  BodyReader reader_;
  std::uint64_t bodyBytesSeen_ = 0;
  std::function<void()> onClosed_;
  event::EventLoop::TimerId timer_ = 0;
  bool inHead_ = false;
  bool advancing_ = false;
  bool over_ = false;
};

// A listening socket with its guests.
class HttpListener {
 public:
  HttpListener(event::EventLoop& loop, const Poco::Net::SocketAddress& at, std::size_t maxGuests);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;
  std::shared_ptr<ListenerContext> context = std::make_shared<ListenerContext>();
  void closeIdleConnections();
  void stopAccepting();  // no new connections
  [[nodiscard]] std::size_t connectionCount() const { return connections_.size(); }

 private:
  void acceptConnections();
  event::EventLoop& loop_;
  Poco::Net::ServerSocket socket_;
  std::size_t maxConnections_;
  std::map<ServerConnection*, ServerConnection::Ptr> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool accepting_ = true;
};

}  // namespace merlingauge::http
