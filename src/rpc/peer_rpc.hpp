// wire: JSON messages between the nodes, as HTTP posts to their internal port.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "event/event_loop.hpp"
#include "http/client_exchange.hpp"
#include "http/server_connection.hpp"

namespace merlingauge::rpc {

// What this node has said to other nodes and heard from them, without heads.
struct PeerTraffic {
  std::uint64_t requestsSent = 0;  // calls of its own, and bytes either way
  std::uint64_t requestBytesSent = 0;
  std::uint64_t responseBytesReceived = 0;
  std::uint64_t requestsReceived = 0;  // calls of others
  std::uint64_t requestBytesReceived = 0;
  std::uint64_t responseBytesSent = 0;
};

class PeerRpc {
 public:
  using ResponseCallback = std::function<void(std::optional<nlohmann::json>)>;
  PeerRpc(event::EventLoop& loop, std::uint16_t port);
  ~PeerRpc();
  PeerRpc(const PeerRpc&) = delete;
  PeerRpc& operator=(const PeerRpc&) = delete;
  void call(const NodeId& to, const std::string& path, const nlohmann::json& body, Duration limit,
            ResponseCallback answer);
  // Hands a caller's request on to another address and its answer back.
  struct RawResponse {
    int status = 0;
    std::string reason;
    std::string type;
    std::string body;
  };
  void forward(const Poco::Net::SocketAddress& to, const Poco::Net::HTTPRequest& request,
               const std::string& body, Duration limit,
               std::function<void(std::optional<RawResponse>)> answer);
  // A call of another node's, and what it was answered.
  void countRequest(std::size_t bytes) {
    ++traffic_.requestsReceived;
    traffic_.requestBytesReceived += bytes;
  }
  void countResponse(std::size_t bytes) { traffic_.responseBytesSent += bytes; }
  [[nodiscard]] const PeerTraffic& traffic() const { return traffic_; }

 private:
  struct PendingCall;
  void finish(std::uint64_t id, bool ok);
  event::EventLoop& loop_;
  std::uint16_t port_;
  http::ConnectionPool pool_;
  std::map<std::uint64_t, std::shared_ptr<PendingCall>> pending_;
  std::uint64_t lastId_ = 0;
  PeerTraffic traffic_;
};

// Collects the whole body of a visit, then calls `then`.
void whenBodyComplete(const http::ServerExchange::Ptr& exchange,
                      std::function<void(const std::string&)> then);

}  // namespace merlingauge::rpc
