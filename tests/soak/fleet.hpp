// fleet.hpp: the processes, servers and relays of a soak run, and the faults that strike them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "event/event_loop.hpp"
#include "loopback/node_processes.hpp"
#include "soak/ledger.hpp"
#include "soak/relay.hpp"
#include "soak/server.hpp"

namespace merlingauge::test {

/// Real processes of the program on loopback addresses, as a mesh or as a gateway, with a relay in
/// front of each server and, in a mesh, of each ingress. One thread uses it; the relays have their
/// own.
class SoakFleet {
 public:
  SoakFleet(const std::string& program, bool gateway, SoakLedger& ledger, std::uint64_t seed);
  ~SoakFleet();
  SoakFleet(const SoakFleet&) = delete;
  SoakFleet& operator=(const SoakFleet&) = delete;

  /// Puts the first configuration in place and waits until requests are served.
  bool waitUntilServing();
  /// Where callers connect.
  [[nodiscard]] std::vector<std::string> callerAddresses() const;

  /// A fault that has begun; `heal` ends it.
  struct Fault {
    std::string kind;
    std::string target;  ///< nothing else strikes it meanwhile
    int lastsMs = 0;
    std::function<void()> heal;
  };
  /// Begins a random fault, whose target isn't among `busy`; no `heal` where there is nothing to
  /// heal. An empty kind where all is busy.
  Fault strike(const std::map<std::string, int>& busy);
  /// Changes the configuration; an acknowledged revision is remembered.
  void changeConfiguration();
  /// Once all faults are healed: the nodes answer, count no violation, in the status and in their
  /// metrics, and know every acknowledged change.
  void checkAtEnd();

 private:
  struct Back {
    std::string ip;
    std::unique_ptr<SoakServer> server;
    std::unique_ptr<SoakRelay> serverRelay;
    std::unique_ptr<SoakRelay> ingressRelay;  // null in a gateway
    int incarnation = 0;
  };
  void startNode(const std::string& ip, bool first);
  void startServer(Back& back);
  void addRelays(Back& back);
  /// Runs on the thread of the relays and waits for it.
  void onLoop(const std::function<void()>& task);
  Fault strikeNode(const std::string& ip);
  Fault strikeServer(Back& back);
  Fault strikeRelay(Back& back, SoakRelay& relay, const std::string& name);
  void checkNode(const std::string& ip);
  [[nodiscard]] std::vector<std::string> allNodes() const;
  [[nodiscard]] std::string statusAddress(const std::string& ip) const;
  int draw(int below);

  bool gateway_;
  SoakLedger& ledger_;
  std::mt19937_64 random_;
  std::string hosts_;
  NodeProcesses nodes_;
  std::vector<std::string> control_;
  std::vector<std::string> fronts_;
  event::EventLoop loop_;
  std::thread loopThread_;
  std::vector<std::unique_ptr<Back>> backs_;
  int acknowledgedRevision_ = 0;
  int lastRevision_ = 0;
};

}  // namespace merlingauge::test
