// server.hpp: a server of the users that answers in every framing and breaks off, repeats, delays
// and loses its answers by a seeded choice.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "soak/ledger.hpp"

namespace merlingauge::test {

/// One incarnation of a server, on threads of its own from its construction to its destruction,
/// which resets its connections. Sends heartbeats to the `controlAddresses` in turn.
class SoakServer {
 public:
  /// `announced`: the address in its heartbeats; it listens on `address`.
  SoakServer(const std::string& address, std::string announced, std::string instance,
             std::vector<std::string> controlAddresses, SoakLedger& ledger, std::uint64_t seed);
  ~SoakServer();
  SoakServer(const SoakServer&) = delete;
  SoakServer& operator=(const SoakServer&) = delete;

 private:
  /// What becomes of one answer.
  enum class Conduct : std::uint8_t;

  void acceptConnections();
  void sendHeartbeats();
  void serve(Poco::Net::StreamSocket socket, std::uint64_t seed);
  /// False where the connection ends with the answer.
  bool answer(Poco::Net::StreamSocket& socket, const std::string& head, std::mt19937_64& random);
  bool carryOut(Poco::Net::StreamSocket& socket, Conduct conduct, const std::string& response,
                bool endsByClose, std::mt19937_64& random);
  void pause(std::chrono::milliseconds wait) const;

  std::string announced_;
  std::string instance_;
  std::vector<std::string> controlAddresses_;
  SoakLedger& ledger_;
  std::mt19937_64 random_;  // of the accepting thread
  Poco::Net::ServerSocket socket_;
  std::atomic<bool> stop_{false};
  std::list<std::thread> connections_;  // of the accepting thread
  std::thread acceptor_;
  std::thread heartbeats_;
};

}  // namespace merlingauge::test
