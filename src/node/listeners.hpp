// listeners: the sockets that this node opens, what serves each of them, and their limits.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config/route_table.hpp"
#include "control/control_api.hpp"
#include "event/event_loop.hpp"
#include "http/http_listener.hpp"
#include "node/peer_endpoint.hpp"
#include "node/settings.hpp"
#include "proxy/egress.hpp"
#include "proxy/ingress.hpp"

namespace merlingauge::node {

/// What serves the listeners. All of it must outlive them.
struct ListenerHandlers {
  proxy::Egress* egress;    ///< null where the settings name no address for it
  proxy::Ingress* ingress;  ///< the same
  control::ControlApi& controlApi;
  PeerEndpoint& peerEndpoint;
  /// Shared by the connections of all listeners.
  std::shared_ptr<http::ResponseInvariantCounters> invariants;
};

/// Opens the listeners that the settings name and owns them. Event-loop thread only.
class Listeners {
 public:
  /// A control call carries at most a whole configuration: far above what any store here holds.
  static constexpr std::size_t kMaxControlBodyBytes = 8U << 20;

  /// Throws Poco::Exception where an address can't be opened.
  Listeners(event::EventLoop& loop, const Settings& settings, const ListenerHandlers& handlers);

  /// Responses to callers and to other nodes' requests carry Connection: close from now on.
  void drain();
  /// Those that are open, by the names of their metrics.
  [[nodiscard]] std::vector<std::pair<const char*, const http::HttpListener*>> opened() const;
  /// Whether a caller or another node is owed bytes of a response that have not left this process.
  [[nodiscard]] bool hasUnacknowledgedResponses() const;
  /// Limits for callers, from the configuration.
  void applyClientLimits(const config::ClientLimits& limits);

 private:
  using Serve = std::function<void(const http::ServerExchange::Ptr&)>;
  std::unique_ptr<http::HttpListener> open(const std::string& address, std::size_t maxConnections,
                                           Serve serve);
  void openProxyListeners(const Settings& settings, const ListenerHandlers& handlers);
  void openControlListeners(const Settings& settings, control::ControlApi& controlApi);
  void openPeerListener(const Settings& settings, PeerEndpoint& peerEndpoint);

  event::EventLoop& loop_;
  std::shared_ptr<http::ResponseInvariantCounters> invariants_;
  std::size_t connectionBudget_;                   // over all listeners
  std::unique_ptr<http::HttpListener> egress_;     // requests of callers: egress or frontend
  std::unique_ptr<http::HttpListener> ingress_;    // requests of other nodes for the server here
  std::unique_ptr<http::HttpListener> readiness_;  // the control API, of an edge
  std::unique_ptr<http::HttpListener> control_;    // the control API
  std::unique_ptr<http::HttpListener> peer_;       // messages of other nodes
};

}  // namespace merlingauge::node
