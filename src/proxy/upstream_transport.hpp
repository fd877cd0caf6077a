// upstream_transport.hpp: how a chosen instance is reached, the one seam between mesh and gateway.
#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include <optional>
#include <string>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "membership/instance_registry.hpp"
#include "proxy/attempt_planner.hpp"

namespace merlingauge::proxy {

/// What one attempt tells the other side about itself.
struct AttemptContext {
  InstanceId instance;
  int priority = 0;            ///< of the route; 0 is the highest
  bool mayQueue = false;       ///< it may wait for a slot there
  bool nonIdempotent = false;  ///< it must not be executed twice
  Duration timeToTarget{};     ///< to the route's target latency; negative: missed already
};

/// What the head of a response says.
struct ResponseInfo {
  std::optional<AttemptOutcome> rejection;  ///< set: this is no response for the caller
  std::optional<double> reportedLoad;       ///< running and queued requests at the instance
  bool loadIncludesThisRequest = false;     ///< the request it responds to is still counted in
  bool instanceGone = false;                ///< another instance has that address now
  bool success = true;                      ///< not a failure of the instance's own
};

/// Stateless; lives as long as the egress. Everything else of the path is shared by both.
class UpstreamTransport {
 public:
  virtual ~UpstreamTransport() = default;
  /// Where to connect to. Throws Poco::Exception if the instance's address is no address.
  [[nodiscard]] virtual Poco::Net::SocketAddress address(
      const membership::Instance& server) const = 0;
  /// To whom kept connections belong: this incarnation of the instance; empty: the node there.
  [[nodiscard]] virtual std::string connectionOwner(const InstanceId& id) const = 0;
  virtual void addHeaders(const AttemptContext& context, Poco::Net::HTTPRequest& request) const = 0;
  [[nodiscard]] virtual ResponseInfo readResponse(
      const Poco::Net::HTTPResponse& response) const = 0;
  /// The other side says at once, by an interim response, that it has the request.
  [[nodiscard]] virtual bool sendsInterimResponse() const = 0;
};

}  // namespace merlingauge::proxy
