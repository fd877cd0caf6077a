// instance_server.hpp: a correct server of the users' in a loopback test.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "loopback/request_ledger.hpp"
#include "loopback/socket_listener.hpp"

namespace merlingauge::test {

/// Serves the requests that are addressed to its instance and rejects others with 421. Event-loop
/// thread.
class InstanceServer {
 public:
  /// `number` names it in the ledger.
  InstanceServer(EventLoop& loop, const SocketAddress& address, std::string instanceId, int number,
                 RequestLedger& ledger);
  /// Where set: the bytes that it sends in place of the correct response.
  std::function<std::string(const std::string& id, const std::string& correctResponse)> substitute;
  /// Where set: called with the head of each request that has come whole.
  std::function<void(const std::string& head)> onRequest;
  /// Where set: how long the response to the attempt `id` takes.
  std::function<Duration(const std::string& id)> delay;
  /// Where set: whether the second half of the response to the attempt `id` comes later.
  std::function<bool(const std::string& id)> pausesHalfWay;
  /// What becomes of the connection behind a response.
  enum class AfterResponse : std::uint8_t {
    keepOpen,
    close,  ///< FIN
    reset,  ///< RST
  };
  /// Where set: what becomes of the connection behind the response to the attempt `id`.
  std::function<AfterResponse(const std::string& id)> afterResponse;
  /// Stops listening and resets all connections.
  void close();

 private:
  void onAccept(const SocketEndpoint::Ptr& connection);
  void serve(SocketEndpoint& connection, bool& counted);
  void respond(const SocketEndpoint& connection, const std::string& id, bool isLong,
               bool isAddressedHere);
  [[nodiscard]] SocketEndpoint::Ptr find(const SocketEndpoint& connection) const;
  void endAfterResponse(const SocketEndpoint& connection, AfterResponse how);
  void countHead(const std::string& id, bool isAddressedHere);
  [[nodiscard]] std::string responseOf(const std::string& id, bool isLong,
                                       bool isAddressedHere) const;

  EventLoop& loop_;
  std::string instanceId_;
  int number_;
  RequestLedger& ledger_;
  std::vector<SocketEndpoint::Ptr> connections_;
  SocketListener listener_;
};

}  // namespace merlingauge::test
