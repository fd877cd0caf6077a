#include "node/listeners.hpp"

#include <Poco/Logger.h>

#include <algorithm>
#include <utility>

#include "base/errors.hpp"

namespace merlingauge::node {

using http::ServerExchange;
using Poco::Net::SocketAddress;

namespace {
// Descriptors that accepted connections must not use up: those of listeners, store, event loop and
// connections to other nodes.
constexpr int kReservedDescriptors = 264;
constexpr int kMinConnectionBudget = 64;
// Readiness is asked by a balancer or two.
constexpr std::size_t kReadinessConnections = 32;
// Few nodes pull from a sidecar or an edge. How many pull from a control node while others are down
// can't be said beforehand: it gets half of the budget, and no less than this.
constexpr std::size_t kMinPeerConnections = 256;
// A message between nodes may carry a whole configuration and the state of the registry beside it.
constexpr std::uint64_t kMaxPeerBodyBytes = 2 * Listeners::kMaxControlBodyBytes;
// Before a configuration is in force here, the egress of another node may have one.
constexpr std::size_t kMinIngressHeadBytes = 128 * 1024;

// The head that the egress sends is the caller's and the headers between nodes.
std::size_t maxIngressHeadBytes(std::size_t maxCallerHeadBytes) {
  return std::max(kMinIngressHeadBytes, maxCallerHeadBytes + http::kMaxHeadBytesOfNodes);
}
}  // namespace

Listeners::Listeners(event::EventLoop& loop, const Settings& settings,
                     const ListenerHandlers& handlers)
    : loop_(loop),
      invariants_(handlers.invariants),
      connectionBudget_(static_cast<std::size_t>(
          std::max(kMinConnectionBudget, settings.maxDescriptors - kReservedDescriptors))) {
  openProxyListeners(settings, handlers);
  openControlListeners(settings, handlers.controlApi);
  openPeerListener(settings, handlers.peerEndpoint);
}

std::unique_ptr<http::HttpListener> Listeners::open(const std::string& address,
                                                    std::size_t maxConnections, Serve serve) {
  if (address.empty()) return nullptr;
  auto listener =
      std::make_unique<http::HttpListener>(loop_, SocketAddress(address), maxConnections);
  listener->context->invariants = invariants_;
  listener->context->onExchange = std::move(serve);
  listener->context->onRejected = [](ErrorKind kind) {
    Poco::Logger::get("http").debug(std::string("rejected: ") + responseFor(kind).message);
  };
  return listener;
}

void Listeners::openProxyListeners(const Settings& settings, const ListenerHandlers& handlers) {
  // An edge has no ingress to share the descriptors with.
  const std::size_t callers = settings.isGateway() ? connectionBudget_ / 2 : connectionBudget_ / 3;
  auto* egress = handlers.egress;
  egress_ = open(settings.clientAddress(), callers,
                 [egress](const ServerExchange::Ptr& exchange) { egress->handle(exchange); });
  if (egress_) {
    egress_->context->mayPipeline = [egress](const ServerExchange& exchange) {
      return egress->mayPipeline(exchange);
    };
  }
  auto* ingress = handlers.ingress;
  ingress_ = open(settings.ingressAddress, connectionBudget_ / 3,
                  [ingress](const ServerExchange::Ptr& exchange) { ingress->handle(exchange); });
  if (!ingress_) return;
  auto& limits = ingress_->context->limits;
  limits.maxHeadBytes = maxIngressHeadBytes(limits.maxHeadBytes);
  limits.maxHeaderFields += http::kMaxFieldsOfNodes;
}

void Listeners::openControlListeners(const Settings& settings, control::ControlApi& controlApi) {
  const auto serve = [&controlApi](const ServerExchange::Ptr& exchange) {
    controlApi.handle(exchange);
  };
  readiness_ = open(settings.readinessAddress, kReadinessConnections, serve);
  control_ = open(settings.controlAddress, connectionBudget_ / 3, serve);
  if (!control_) return;
  control_->context->limits.maxBodyBytes = kMaxControlBodyBytes;
  // An acknowledgement is owed however its caller ends its request.
  control_->context->answersAfterHalfClose = true;
}

void Listeners::openPeerListener(const Settings& settings, PeerEndpoint& peerEndpoint) {
  const SocketAddress address(settings.nodeId.str(), settings.internalPort);
  const std::size_t peers = settings.isControlNode()
                                ? std::max(kMinPeerConnections, connectionBudget_ / 2)
                                : kMinPeerConnections;
  peer_ = open(address.toString(), peers, [&peerEndpoint](const ServerExchange::Ptr& exchange) {
    peerEndpoint.handle(exchange);
  });
  peer_->context->limits.maxBodyBytes = kMaxPeerBodyBytes;
}

void Listeners::drain() {
  for (auto* listener : {egress_.get(), ingress_.get()}) {
    if (listener != nullptr) listener->context->draining = true;
  }
}

std::vector<std::pair<const char*, const http::HttpListener*>> Listeners::opened() const {
  std::vector<std::pair<const char*, const http::HttpListener*>> listeners = {
      {"egress", egress_.get()},
      {"ingress", ingress_.get()},
      {"readiness", readiness_.get()},
      {"control", control_.get()},
      {"peer", peer_.get()}};
  std::erase_if(listeners, [](const auto& entry) { return entry.second == nullptr; });
  return listeners;
}

bool Listeners::hasUnacknowledgedResponses() const {
  return (egress_ && egress_->hasUnacknowledgedOutput()) ||
         (ingress_ && ingress_->hasUnacknowledgedOutput());
}

void Listeners::applyClientLimits(const config::ClientLimits& limits) {
  if (ingress_) {
    ingress_->context->limits.maxHeadBytes = maxIngressHeadBytes(limits.maxHeadBytes);
  }
  if (!egress_) return;
  auto& own = egress_->context->limits;
  own.maxHeadBytes = limits.maxHeadBytes;
  own.maxBodyBytes = limits.maxBodyBytes;
  own.headerTimeout = limits.headerTimeout;
  own.idleTimeout = limits.idleTimeout;
}

}  // namespace merlingauge::node
