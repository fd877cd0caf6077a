#include "proxy/ingress.hpp"

#include <memory>
#include <utility>

#include "base/errors.hpp"
#include "proxy/ingress_request.hpp"
#include "proxy/peer_headers.hpp"
#include "proxy/service_headers.hpp"

namespace merlingauge::proxy {

using http::ServerExchange;

Ingress::Ingress(event::EventLoop& loop, http::ConnectionPool& pool, LocalInstances& instances,
                 const IngressOptions& options)
    : state_{loop, pool, instances, options, InstanceGates(loop, options.drainTimeout), {}, 0, {}} {
}

void Ingress::onInstanceUpdate(const membership::Instance& instance, TimePoint now) {
  if (instance.address == state_.options.appAddress) state_.gates.onInstanceUpdate(instance, now);
}

bool Ingress::isOpen(const InstanceId& id) const {
  if (rejecting_) return false;
  const auto instance = state_.instances.findInstance(id);
  return instance && instance->address == state_.options.appAddress &&
         instance->status != membership::Instance::Status::gone &&
         state_.gates.isOpen(id, state_.loop.now());
}

void Ingress::handle(const ServerExchange::Ptr& exchange) {
  const InstanceId id(exchange->request.get(service_headers::kExpectedInstance, ""));
  if (!isOpen(id)) {
    ++state_.stats.unavailable;
    const auto& response = responseFor(ErrorKind::noEndpoint);
    exchange->respond(response.status, response.reason, "", "",
                      {{peer_headers::kRejected, peer_headers::kUnavailable}});
    return;
  }
  std::make_shared<IngressRequest>(state_, exchange, id)->start();
}

}  // namespace merlingauge::proxy
