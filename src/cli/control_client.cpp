#include "cli/control_client.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <utility>

#include "cli/command_options.hpp"

namespace merlingauge::cli {

namespace {
// A node answers a change within a second, with 503 where it reaches no quorum; the rest is for a
// slow machine and a large configuration.
const Poco::Timespan kResponseTimeout(10, 0);

bool hasPort(const std::string& address) {
  const auto colon = address.rfind(':');
  return colon != std::string::npos && colon > 0 && colon + 1 < address.size() &&
         address.find_first_not_of("0123456789", colon + 1) == std::string::npos;
}

// Poco reads a body that breaks off like one that ends. A node always announces the length.
bool isWhole(const Poco::Net::HTTPResponse& response, const std::string& body) {
  return response.hasContentLength() &&
         response.getContentLength64() == static_cast<Poco::Int64>(body.size());
}
}  // namespace

ControlClient::ControlClient(std::string address) : address_(std::move(address)) {
  if (!hasPort(address_)) {
    throw UsageError("--node: '" + address_ + "' is not of the form HOST:PORT");
  }
}

ControlResult ControlClient::get(const std::string& path) const {
  Poco::Net::HTTPRequest request("GET", path, "HTTP/1.1");
  return exchange(request, "");
}

ControlResult ControlClient::postConfig(const std::string& path, const std::string& baseRevision,
                                        const std::string& body) const {
  Poco::Net::HTTPRequest request("POST", path, "HTTP/1.1");
  request.setContentType("application/json");
  request.set("Base-Revision", baseRevision);
  return exchange(request, body);
}

ControlResult ControlClient::exchange(Poco::Net::HTTPRequest& request,
                                      const std::string& body) const {
  bool requestSent = false;
  try {
    const Poco::Net::SocketAddress peer(address_);
    Poco::Net::HTTPClientSession session(peer);
    session.setTimeout(kResponseTimeout);
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    auto& out = session.sendRequest(request);
    requestSent = true;
    out << body;
    Poco::Net::HTTPResponse response;
    ControlResponse result;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), result.body);
    result.status = response.getStatus();
    if (!isWhole(response, result.body)) {
      return ControlFailure{"the answer broke off", requestSent};
    }
    return result;
  } catch (const Poco::Exception& error) {
    return ControlFailure{error.displayText(), requestSent};
  }
}

}  // namespace merlingauge::cli
