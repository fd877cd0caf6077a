// peer_rpc: JSON messages to other nodes, as HTTP posts to their internal port.
#pragma once

#include <cstddef>
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
#include "http/connection_pool.hpp"

namespace merlingauge::rpc {

/// What this node has sent to other nodes and received from them. Bytes are those of the bodies.
struct PeerTraffic {
  std::uint64_t requestsSent = 0;
  std::uint64_t requestBytesSent = 0;
  std::uint64_t responseBytesReceived = 0;
  std::uint64_t requestsReceived = 0;
  std::uint64_t requestBytesReceived = 0;
  std::uint64_t responseBytesSent = 0;
};

/// Sends requests over a pool of connections. Calls that are still in flight when it is destroyed
/// are cancelled, and their callbacks are not called. Event-loop thread.
class PeerRpc {
 public:
  /// Nothing where no response with status 200 and a JSON body came in time.
  using ResponseCallback = std::function<void(std::optional<nlohmann::json>)>;
  /// `port`: the internal port, the same on all nodes. The loop must outlive this object.
  /// `invariants` counts refused responses; may be null.
  PeerRpc(event::EventLoop& loop, std::uint16_t port,
          std::shared_ptr<http::ResponseInvariantCounters> invariants = nullptr);
  ~PeerRpc();
  PeerRpc(const PeerRpc&) = delete;
  PeerRpc& operator=(const PeerRpc&) = delete;
  PeerRpc(PeerRpc&&) = delete;
  PeerRpc& operator=(PeerRpc&&) = delete;

  /// Posts a message to another node. The callback is called exactly once, at the latest after
  /// `timeout`.
  void call(const NodeId& recipient, const std::string& path, const nlohmann::json& message,
            Duration timeout, ResponseCallback onResponse);

  /// Counts a request of another node, and the response that it was given.
  void countRequest(std::size_t bodyBytes) {
    ++traffic_.requestsReceived;
    traffic_.requestBytesReceived += bodyBytes;
  }
  void countResponse(std::size_t bodyBytes) { traffic_.responseBytesSent += bodyBytes; }
  [[nodiscard]] const PeerTraffic& traffic() const { return traffic_; }

 private:
  struct PendingCall;
  using CallId = std::uint64_t;
  enum class CallResult : std::uint8_t { complete, failed };

  void watchExchange(CallId id, const std::shared_ptr<PendingCall>& call);
  void finish(CallId id, CallResult result);
  std::optional<nlohmann::json> decodeResponse(const PendingCall& call);

  event::EventLoop& loop_;
  std::uint16_t port_;
  http::ConnectionPool pool_;
  std::map<CallId, std::shared_ptr<PendingCall>> pendingCalls_;
  CallId lastCallId_ = 0;
  PeerTraffic traffic_;
};

}  // namespace merlingauge::rpc
