// stand_in_server.hpp: a server of the users that the nodes under test forward requests to.
#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "loopback/http_client.hpp"

namespace merlingauge::test {

using nlohmann::json;

/// A stand-in for a server of the users: answers with what it was sent and a Response-Seal, and
/// counts the executions of each Attempt-Id. A path with `slow` takes 600 ms; one with `drop`
/// closes the connection after 300 ms without an answer.
class StandInServer {
 public:
  StandInServer(std::string ip, std::string id) : ip_(std::move(ip)), id_(std::move(id)) {
    net::ServerSocket socket(net::SocketAddress(at(ip_, kApp)));
    server_ =
        std::make_unique<net::HTTPServer>(new Factory(*this), socket, new net::HTTPServerParams);
    server_->start();
  }
  ~StandInServer() { server_->stopAll(true); }

  /// Reports `status` to the node beside it or to the control address `to`; the status code of the
  /// answer.
  int sendHeartbeat(const std::string& status, const std::string& to = "") {
    const json body = {
        {"address", at(ip_, kApp)},
        {"node_info",
         {{"target_service", "echo"}, {"revision", "v1"}, {"zone", "z"}, {"capacity", 2}}},
        {"status_detail", {{"status", status}, {"sequence", ++sequence_}, {"warmup_left_s", 0}}}};
    return call(to.empty() ? at(ip_, kControl) : to, "POST", "/v1/Instances.Heartbeat/" + id_, {},
                body.dump())
        .status;
  }

  /// How often each Attempt-Id was executed.
  std::map<std::string, int> runs() {
    const std::lock_guard<std::mutex> hold(lock_);
    return runs_;
  }

 private:
  struct Handler : net::HTTPRequestHandler {
    explicit Handler(StandInServer& server) : app(server) {}
    void handleRequest(net::HTTPServerRequest& request,
                       net::HTTPServerResponse& response) override {
      std::string body;
      Poco::StreamCopier::copyToString(request.stream(), body);
      if (request.has("Attempt-Id")) response.set("Attempt-Id", request.get("Attempt-Id"));
      if (request.get("Expected-Instance", "") != app.id_) {
        response.setStatusAndReason(static_cast<net::HTTPResponse::HTTPStatus>(421));
        response.send();
        return;
      }
      {
        const std::lock_guard<std::mutex> hold(app.lock_);
        ++app.runs_[request.get("Attempt-Id", "?")];
      }
      if (request.getURI().find("slow") != std::string::npos) {
        std::this_thread::sleep_for(std::chrono::milliseconds(600));
      }
      if (request.getURI().find("drop") != std::string::npos) {
        // Runs it for a while, then closes without an answer.
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        static_cast<net::HTTPServerRequestImpl&>(request).detachSocket();
        return;
      }
      response.set("Response-Seal", "sealed");
      response.setChunkedTransferEncoding(true);
      response.send() << json{
          {"by", app.id_},
          {"caller", request.get("Caller-Service", "")},
          {"path", request.getURI()},
          {"hut", request.has("Hut-Rank")},
          {"id", request.get("Attempt-Id", "")},
          {"body",
           body.size()}}.dump();
    }
    StandInServer& app;
  };
  struct Factory : net::HTTPRequestHandlerFactory {
    explicit Factory(StandInServer& server) : app(server) {}
    net::HTTPRequestHandler* createRequestHandler(const net::HTTPServerRequest&) override {
      return new Handler(app);
    }
    StandInServer& app;
  };
  std::string ip_;
  std::string id_;
  int sequence_ = 0;
  std::mutex lock_;
  std::map<std::string, int> runs_;
  std::unique_ptr<net::HTTPServer> server_;
};

}  // namespace merlingauge::test
