// direct_transport.hpp: reaches an instance itself.
#pragma once

#include "proxy/upstream_transport.hpp"

namespace merlingauge::proxy {

/// In a gateway there is no node beside the instance: it tells its load and who it is by itself.
class DirectTransport : public UpstreamTransport {
 public:
  [[nodiscard]] Poco::Net::SocketAddress address(const membership::Instance& server) const override;
  [[nodiscard]] std::string connectionOwner(const InstanceId& id) const override {
    return id.str();
  }
  void addHeaders(const AttemptContext&, Poco::Net::HTTPRequest&) const override {}
  [[nodiscard]] ResponseInfo readResponse(const Poco::Net::HTTPResponse& response) const override;
  [[nodiscard]] bool sendsInterimResponse() const override { return false; }
};

}  // namespace merlingauge::proxy
