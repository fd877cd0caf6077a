// example_server: a server of deploy/example. It answers every request with one line of JSON and
// sends heartbeats to a node's control address until it is stopped.
//   example_server ADDRESS CONTROL-ADDRESS SERVICE
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <unistd.h>

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace {

namespace net = Poco::Net;
using nlohmann::json;

constexpr auto kHeartbeatInterval = std::chrono::milliseconds(1500);
constexpr int kCapacity = 4;  // requests at once
constexpr long kHeartbeatTimeoutSeconds = 1;

// An answer repeats the Attempt-Id and carries a Response-Seal, as the protocol asks of servers.
class GreetingHandler : public net::HTTPRequestHandler {
 public:
  explicit GreetingHandler(std::string instance) : instance_(std::move(instance)) {}
  void handleRequest(net::HTTPServerRequest& request, net::HTTPServerResponse& response) override {
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    response.set("Attempt-Id", request.get("Attempt-Id", ""));
    if (request.get("Expected-Instance", instance_) != instance_) {
      response.setStatusAndReason(net::HTTPResponse::HTTP_MISDIRECTED_REQUEST);
      response.send();
      return;
    }
    response.set("Response-Seal", "example");
    const std::string text = json{{"path", request.getURI()}, {"served_by", instance_}}.dump();
    response.sendBuffer(text.data(), text.size());
  }

 private:
  std::string instance_;
};

class GreetingHandlerFactory : public net::HTTPRequestHandlerFactory {
 public:
  explicit GreetingHandlerFactory(std::string instance) : instance_(std::move(instance)) {}
  net::HTTPRequestHandler* createRequestHandler(const net::HTTPServerRequest&) override {
    return new GreetingHandler(instance_);
  }

 private:
  std::string instance_;
};

std::string heartbeatBody(const std::string& address, const std::string& service, int sequence) {
  return json{
      {"address", address},
      {"node_info",
       {{"target_service", service},
        {"revision", "v1"},
        {"zone", "zone-a"},
        {"capacity", kCapacity}}},
      {"status_detail", {{"status", "available"}, {"sequence", sequence}, {"warmup_left_s", 0}}}}
      .dump();
}

void sendHeartbeat(const std::string& control, const std::string& instance,
                   const std::string& body) {
  try {
    net::HTTPClientSession session{net::SocketAddress(control)};
    session.setTimeout(Poco::Timespan(kHeartbeatTimeoutSeconds, 0));
    net::HTTPRequest request("POST", "/v1/Instances.Heartbeat/" + instance, "HTTP/1.1");
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body;
    net::HTTPResponse response;
    session.receiveResponse(response);
  } catch (const Poco::Exception& error) {
    std::cerr << "example_server: no heartbeat to " << control << ": " << error.displayText()
              << "\n";
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: example_server ADDRESS CONTROL-ADDRESS SERVICE\n";
    return 64;
  }
  const std::string address = argv[1];
  const std::string control = argv[2];
  const std::string service = argv[3];
  const std::string instance = service + "-" + std::to_string(::getpid());
  try {
    const net::ServerSocket socket{net::SocketAddress(address)};
    net::HTTPServer server(new GreetingHandlerFactory(instance), socket, new net::HTTPServerParams);
    server.start();
    for (int sequence = 1;; ++sequence) {
      sendHeartbeat(control, instance, heartbeatBody(address, service, sequence));
      std::this_thread::sleep_for(kHeartbeatInterval);
    }
  } catch (const Poco::Exception& error) {
    std::cerr << "example_server: " << error.displayText() << "\n";
    return 1;
  }
}
