// call: the client side of HTTP. A Call is one request to one address and its answer;
// ConnectionPool keeps the connections between calls.
#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "http/message_framing.hpp"
#include "http/tcp_connection.hpp"

namespace merlingauge::http {

class ConnectionPool;

class ClientExchange : public std::enable_shared_from_this<ClientExchange> {
 public:
  using Ptr = std::shared_ptr<ClientExchange>;
  enum class Failure : std::uint8_t {
    notSent,          // no connection came up: nothing has left this machine
    staleConnection,  // a kept connection was closed before any answer: it may have been read
    noResponse,       // sent, and no whole answer head came
    truncated,        // the answer began and did not end
    invalidResponse,  // what came is no answer, or one to another request
  };

  std::function<void(Poco::Net::HTTPResponse&, const BodyFraming&)> onResponseHead;
  std::function<void(std::string&)> onBody;  // takes what it wants from the front
  std::function<void()> onInterimResponse;
  std::function<void()> onComplete;
  std::function<void(Failure)> onFailure;
  std::function<void()> onFlushed;

  void sendBody(std::string_view bytes);
  void endBody();
  void cancel();
  void pauseReading(bool on);
  [[nodiscard]] std::size_t unsentBytes() const {
    return connection_ ? connection_->unsentBytes() : 0;
  }
  // The connection is up, so bytes may have reached the other side.
  [[nodiscard]] bool maybeSent() const { return maybeSent_; }
  // How long the connection had lain idle before this call; negative for a new one.
  [[nodiscard]] Duration connectionIdleTime() const { return connectionIdleTime_; }

 private:
  friend class ConnectionPool;
  ClientExchange(ConnectionPool& pool, event::EventLoop& loop, std::string key);
  void begin(TcpConnection::Ptr connection, const Poco::Net::HTTPRequest& request, FramingKind kind,
             bool reused);
  void data();
  void ended(TcpConnection::EndReason end);
  void done();
  void fail(Failure failure);
  void release();

  ConnectionPool& pool_;
  event::EventLoop& loop_;
  std::string key_;
  std::string attemptId_;  // the answer must repeat it
  TcpConnection::Ptr connection_;
  FramingKind framingKind_ = FramingKind::none;
  BodyReader reader_;
  std::string unparsed_;
  bool isHeadRequest_ = false;
  bool reused_ = false;
  bool maybeSent_ = false;
  bool gotBytes_ = false;
  bool gotHead_ = false;
  bool sentAll_ = false;
  bool keepAlive_ = true;
  bool over_ = false;
  int keepAliveSeconds_ = -1;
  Duration connectionIdleTime_{-1};
};

// Kept connections by address.
class ConnectionPool {
 public:
  struct Options {
    Duration connectTimeout = std::chrono::milliseconds(800);
    Duration idleTimeout = std::chrono::seconds(20);
    std::size_t maxIdlePerAddress = 64;
    int userTimeoutMs = 0;  // after so long without a sign of the other kernel it ends; 0: as usual
  };
  ConnectionPool(event::EventLoop& loop, Options config) : loop_(loop), options_(config) {}

  // `freshness`: a kept connection idle for longer isn't used for this call, but gives way to a
  // new one. `life` is whom the connection belongs to: it serves nobody else at that address.
  ClientExchange::Ptr startExchange(const Poco::Net::SocketAddress& to,
                                    const Poco::Net::HTTPRequest& request, FramingKind kind,
                                    Duration freshness, const std::string& incarnation = "");
  [[nodiscard]] std::uint64_t connectionsOpened() const { return connectionsOpened_; }

 private:
  friend class ClientExchange;
  struct IdleConnection {
    TcpConnection::Ptr connection;
    TimePoint expiresAt;
  };
  void put(const std::string& key, const TcpConnection::Ptr& connection, int keepSeconds);
  TcpConnection::Ptr take(const std::string& key, Duration freshness);
  void sweep();
  void scheduleSweep();

  event::EventLoop& loop_;
  Options options_;
  std::unordered_map<std::string, std::vector<IdleConnection>> idle_;
  std::uint64_t connectionsOpened_ = 0;
  bool sweeping_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace merlingauge::http
