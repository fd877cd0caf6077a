// http_client.hpp: blocking HTTP requests and raw bytes to the listeners of a node.
#pragma once

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>

#include <map>
#include <string>

namespace merlingauge::test {

namespace net = Poco::Net;

/// Ports of the nodes' listeners; every node has an address of its own, so the ports are the same.
constexpr int kControl = 21801;  ///< Control plane.
constexpr int kEgress = 21802;   ///< Requests of callers: a sidecar's egress, an edge's frontend.
constexpr int kIngress = 21803;  ///< Requests from other nodes for the server beside a sidecar.
constexpr int kReady = 21804;    ///< Readiness of nodes without a control plane.
constexpr int kApp = 21805;      ///< The server itself.
constexpr int kInner = 21810;    ///< First port of the range for messages between nodes.

/// `ip:port`.
inline std::string at(const std::string& ip, int port) { return ip + ":" + std::to_string(port); }

/// The answer to a request; status 0 if there was none.
struct Reply {
  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers;
};

/// Sends one request on a connection of its own and waits up to three seconds at a time for the
/// answer.
inline Reply call(const std::string& address, const std::string& method, const std::string& path,
                  const std::map<std::string, std::string>& headers = {},
                  const std::string& body = "") {
  Reply reply;
  try {
    net::HTTPClientSession session{net::SocketAddress(address)};
    session.setTimeout(Poco::Timespan(3, 0));
    net::HTTPRequest request(method, path, "HTTP/1.1");
    for (const auto& [name, value] : headers) request.set(name, value);
    if (!body.empty()) request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body;
    net::HTTPResponse response;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), reply.body);
    reply.status = response.getStatus();
    for (const auto& [name, value] : response) reply.headers[name] = value;
  } catch (const Poco::Exception&) {
    reply.status = 0;
  }
  return reply;
}

/// Sends `bytes` as they are and returns what comes back, up to the end of the connection, to
/// `until`, or to three seconds without a byte, marked by `(open)` at the end.
inline std::string raw(const std::string& address, const std::string& bytes,
                       const std::string& until = "") {
  net::StreamSocket socket{net::SocketAddress(address)};
  socket.setReceiveTimeout(Poco::Timespan(3, 0));
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  std::string out;
  char chunk[1024];
  try {
    for (int n = 0; (n = socket.receiveBytes(chunk, sizeof chunk)) > 0;) {
      out.append(chunk, static_cast<std::size_t>(n));
      if (!until.empty() && out.find(until) != std::string::npos) break;
    }
  } catch (const Poco::Exception&) {
    out += "(open)";
  }
  return out;
}

}  // namespace merlingauge::test
