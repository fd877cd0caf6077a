// fault_link.hpp: a relay between two addresses that injects a fault at a given step of a request.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "loopback/fault_plan.hpp"
#include "loopback/request_ledger.hpp"
#include "loopback/socket_listener.hpp"
#include "loopback/test_messages.hpp"

namespace merlingauge::test {

/// The addresses of a link.
struct LinkAddresses {
  SocketAddress listen;       ///< where clients connect
  SocketAddress upstream;     ///< where it relays to
  SocketAddress replacement;  ///< who stands there after Fault::addressTakenOver
};

/// Relays requests and responses byte by byte up to each step. Event-loop thread.
class FaultLink {
 public:
  /// `number` names the peer in the ledger; a client that pipelines may send while a response is
  /// outstanding.
  FaultLink(EventLoop& loop, const LinkAddresses& addresses, int number, bool mayPipeline,
            RequestLedger& ledger, FaultPlan& plan);
  ~FaultLink() { close(); }
  FaultLink(const FaultLink&) = delete;
  FaultLink& operator=(const FaultLink&) = delete;
  void close();
  [[nodiscard]] std::size_t openConnections() const;
  /// Injects the fault on the connections that lie idle.
  void injectOnIdleConnections();

 private:
  /// The message under way in one direction.
  struct Transfer {
    std::optional<MessageHead> head;
    std::size_t relayed = 0;      ///< bytes
    std::size_t stepsPassed = 0;  ///< of the steps of this direction
    bool discards = false;        ///< the receiving side takes nothing any more
  };
  struct Connection {
    SocketEndpoint::Ptr downstream;      ///< towards the client
    SocketEndpoint::Ptr upstream;        ///< towards the server
    std::deque<std::string> pendingIds;  ///< requests whose responses are outstanding
    Transfer request;
    Transfer response;
    bool frozen = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void onAccept(const SocketEndpoint::Ptr& downstream);
  static void onDownstreamEnd(Connection& connection, SocketEndpoint::End end);
  static void onUpstreamEnd(Connection& connection, SocketEndpoint::End end);
  static void propagateEnd(Connection& connection, SocketEndpoint& ended, SocketEndpoint& other,
                           SocketEndpoint::End end);
  static bool relay(SocketEndpoint& from, SocketEndpoint& to, std::size_t until,
                    Transfer& transfer);
  void relayRequests(Connection& connection);
  void beginRequest(Connection& connection);
  bool relayRequestSteps(Connection& connection, const MessageHead& head);
  void relayResponses(Connection& connection);
  void beginResponse(Connection& connection, bool isTarget);
  bool relayResponseSteps(Connection& connection, const MessageHead& head, bool isTarget);
  void replaceResponse(Connection& connection);
  void onStep(Step step, Connection& connection);

  void inject(Connection& connection);
  void injectOnConnection(Connection& connection);
  void silence(Connection& connection);
  void freezeAll();
  void kill();
  void freeze(Connection& connection, bool on);
  void runAfter(double milliseconds, std::function<void()> work);
  [[nodiscard]] ConnectionPtr find(const Connection& connection) const;
  void resetAll();

  EventLoop& loop_;
  SocketAddress upstreamAddress_;
  SocketAddress replacementAddress_;
  int number_;
  bool mayPipeline_;
  RequestLedger& ledger_;
  FaultPlan& plan_;
  std::vector<ConnectionPtr> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  SocketListener listener_;
};

}  // namespace merlingauge::test
