// scripted_client.hpp: a client on one connection in a loopback test, which checks its responses.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "loopback/request_ledger.hpp"
#include "loopback/socket_endpoint.hpp"
#include "loopback/test_messages.hpp"

namespace merlingauge::test {

/// A request to send, with its Attempt-Id.
struct ScriptedRequest {
  std::string path;
  std::string id;
  std::string extraHeaders = {};  ///< field lines, each with its line end
};

/// Sends requests, pipelined where several are given, and records each response and each violation
/// in the ledger. Event-loop thread.
class ScriptedClient {
 public:
  /// Every request is answered, or the connection has ended.
  std::function<void()> onIdle;
  /// Where set: called with the head of each final response.
  std::function<void(const std::string& head)> onHead;
  ScriptedClient(EventLoop& loop, const SocketAddress& address, RequestLedger& ledger);
  ~ScriptedClient() {
    if (connection_) connection_->reset();
  }
  ScriptedClient(const ScriptedClient&) = delete;
  ScriptedClient& operator=(const ScriptedClient&) = delete;
  [[nodiscard]] bool isOpen() const { return connection_ && !connection_->isClosed(); }
  void send(const std::vector<ScriptedRequest>& requests);

 private:
  struct PendingRequest {
    std::string id;
    bool expectsLongResponse = false;
  };
  void end();
  void onData();
  bool handleResponse(const MessageHead& head);
  void checkResponse(const PendingRequest& request, const MessageHead& head,
                     const std::string& headText, const std::string& body);

  RequestLedger& ledger_;
  SocketEndpoint::Ptr connection_;
  std::deque<PendingRequest> pending_;
};

}  // namespace merlingauge::test
