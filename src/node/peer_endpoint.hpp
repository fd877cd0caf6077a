// peer_endpoint: takes the messages of other nodes and hands them to the part they are for.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/time.hpp"
#include "control/register_service.hpp"
#include "event/event_loop.hpp"
#include "gossip/gossip_service.hpp"
#include "http/server_exchange.hpp"
#include "rpc/peer_rpc.hpp"

namespace merlingauge::node {

/// The boundary at which messages of peers are decoded: malformed ones, as of another version of
/// this program, are rejected here with an error response. Event-loop thread only; all references
/// must outlive it and the exchanges it has been given.
class PeerEndpoint {
 public:
  PeerEndpoint(const event::EventLoop& loop, rpc::PeerRpc& rpc, gossip::GossipService& gossip,
               control::RegisterService& registerService);
  /// Answers one message, at once or later (a long poll).
  void handle(const http::ServerExchange::Ptr& exchange);

 private:
  using Reply = std::function<void(const std::string& json)>;
  void handleBody(const http::ServerExchange::Ptr& exchange, const std::string& body);
  void dispatch(const http::ServerExchange::Ptr& exchange, nlohmann::json message,
                const Reply& reply);
  void handleRegisterRequest(const http::ServerExchange::Ptr& exchange,
                             const nlohmann::json& message, const Reply& reply);
  void logIncompatible(const std::string& path, const std::string& reason);

  const event::EventLoop& loop_;
  rpc::PeerRpc& rpc_;
  gossip::GossipService& gossip_;
  control::RegisterService& registerService_;
  std::optional<TimePoint> incompatibleLoggedAt_;  // when such a message was last logged
};

}  // namespace merlingauge::node
