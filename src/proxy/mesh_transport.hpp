// mesh_transport.hpp: reaches an instance through the node beside it.
#pragma once

#include <cstdint>

#include "proxy/upstream_transport.hpp"

namespace merlingauge::proxy {

/// In a mesh the ingress beside the instance admits, queues and knows its exact load.
class MeshTransport : public UpstreamTransport {
 public:
  /// `port`: on which all ingresses listen.
  explicit MeshTransport(std::uint16_t port) : port_(port) {}
  [[nodiscard]] Poco::Net::SocketAddress address(const membership::Instance& server) const override;
  [[nodiscard]] std::string connectionOwner(const InstanceId&) const override { return ""; }
  void addHeaders(const AttemptContext& context, Poco::Net::HTTPRequest& request) const override;
  [[nodiscard]] ResponseInfo readResponse(const Poco::Net::HTTPResponse& response) const override;
  [[nodiscard]] bool sendsInterimResponse() const override { return true; }

 private:
  std::uint16_t port_;
};

}  // namespace merlingauge::proxy
