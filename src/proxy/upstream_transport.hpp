// approach: how a chosen server is reached, the one seam between the two deployments: through the
// node beside it, or directly. All else of the path is shared.
#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include <cstdint>
#include <optional>
#include <string>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "membership/instance_registry.hpp"
#include "proxy/attempt_planner.hpp"

namespace merlingauge::proxy {

// What one try says of itself on its way.
struct AttemptContext {
  InstanceId instance;
  int priority = 0;
  bool mayQueue = false;
  bool nonIdempotent = false;
  Duration timeToTarget{};
};

// What an answer's head says.
struct ResponseInfo {
  std::optional<AttemptOutcome> rejection;  // not an answer for the caller
  std::optional<double> reportedLoad;       // jobs at the server, as told
  bool loadIncludesThisRequest = false;     // the request that it answers is still counted in
  bool instanceGone = false;                // another server is there now
  bool success = true;                      // not a failure of the server's own
};

class UpstreamTransport {
 public:
  virtual ~UpstreamTransport() = default;
  [[nodiscard]] virtual Poco::Net::SocketAddress address(
      const membership::Instance& server) const = 0;
  // The connection belongs to this life of the server; empty: to the node there.
  [[nodiscard]] virtual std::string connectionOwner(const InstanceId& id) const = 0;
  virtual void addHeaders(const AttemptContext& context, Poco::Net::HTTPRequest& request) const = 0;
  [[nodiscard]] virtual ResponseInfo readResponse(
      const Poco::Net::HTTPResponse& response) const = 0;
  // The other side says at once that it has the request.
  [[nodiscard]] virtual bool sendsInterimResponse() const = 0;
};

// Mesh: the ingress beside the server admits, queues and knows its exact load.
class MeshTransport : public UpstreamTransport {
 public:
  explicit MeshTransport(std::uint16_t port) : port_(port) {}
  [[nodiscard]] Poco::Net::SocketAddress address(const membership::Instance& server) const override;
  [[nodiscard]] std::string connectionOwner(const InstanceId&) const override { return ""; }
  void addHeaders(const AttemptContext& context, Poco::Net::HTTPRequest& request) const override;
  [[nodiscard]] ResponseInfo readResponse(const Poco::Net::HTTPResponse& response) const override;
  [[nodiscard]] bool sendsInterimResponse() const override { return true; }

 private:
  std::uint16_t port_;
};

// Gateway: the server itself. It answers for itself who it is.
class DirectTransport : public UpstreamTransport {
 public:
  [[nodiscard]] Poco::Net::SocketAddress address(const membership::Instance& server) const override;
  [[nodiscard]] std::string connectionOwner(const InstanceId& id) const override {
    return id.str();
  }
  void addHeaders(const AttemptContext& context, Poco::Net::HTTPRequest& request) const override;
  [[nodiscard]] ResponseInfo readResponse(const Poco::Net::HTTPResponse& response) const override;
  [[nodiscard]] bool sendsInterimResponse() const override { return false; }
};

// A success that is not whole as the server sends it: it must not reach a caller.
bool isUnsealedSuccess(const Poco::Net::HTTPResponse& response);
// The server says that it did not run the request.
bool isNotExecuted(const Poco::Net::HTTPResponse& response);

}  // namespace merlingauge::proxy
