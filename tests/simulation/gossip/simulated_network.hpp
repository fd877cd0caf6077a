// simulated_network: partitions, loss, delays and slow processors between simulated nodes.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "simulation/gossip/simulated_node.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test {

/// Which messages arrive, when, and what they cost. All luck comes from the clock's seeded source.
class SimulatedNetwork {
 public:
  using NodePair = std::pair<NodeId, NodeId>;
  using ResponseCallback = std::function<void(std::optional<nlohmann::json>)>;

  SimulatedNetwork(const Scenario& scenario, Clock& clock);

  /// Sends a gossip message. The callback is called once, with nothing after `timeout`.
  void send(SimulatedNode& from, SimulatedNode& to, const std::string& body, Duration timeout,
            ResponseCallback onResponse);
  /// No message passes between the two, either way, until the same pairs are joined again.
  void cut(const std::vector<NodePair>& pairs);
  void join(const std::vector<NodePair>& pairs);
  /// No message passes from the first to the second of a pair.
  void cutOneWay(const std::set<NodePair>& pairs);
  void joinOneWay(const std::set<NodePair>& pairs);
  /// Messages pass both ways.
  [[nodiscard]] bool isLinked(const NodeId& left, const NodeId& right) const;
  /// One message passes now; draws luck where the scenario has loss.
  [[nodiscard]] bool arrives(const NodeId& from, const NodeId& to);
  /// The delay of one message in milliseconds; draws luck.
  [[nodiscard]] double delayMs() { return clock_.uniform(0.2, 3); }
  [[nodiscard]] bool hasFault(const std::string& name) const { return faults_.contains(name); }
  void report(std::map<std::string, double>& measured) const;

 private:
  void deliver(SimulatedNode& from, SimulatedNode& to, const std::string& body,
               const ResponseCallback& finish, double delay);
  void deliverResponse(SimulatedNode& from, SimulatedNode& to, const std::string& text,
                       const ResponseCallback& finish);
  void runOnProcessor(SimulatedNode& node, std::size_t bytes, std::function<void()> work);
  /// `link_kb_s N`: a node that is no control node receives so many kilobytes a second.
  void receiveOverLink(SimulatedNode& node, std::size_t bytes, std::function<void()> work);
  [[nodiscard]] std::string applyFaults(const SimulatedNode& from, const std::string& response,
                                        double heldMs) const;
  [[nodiscard]] bool passes(const NodeId& from, const NodeId& to) const;
  void countBytes(const SimulatedNode& from, const SimulatedNode& to, std::size_t bytes);

  const Scenario& scenario_;
  Clock& clock_;
  std::set<std::string> faults_;  ///< rules of former versions, put in on purpose
  double lossProbability_;
  std::set<NodePair> cuts_;
  std::set<NodePair> oneWayCuts_;
  double bytesBetweenZones_ = 0;
  double bytesWithinZones_ = 0;
  std::map<std::pair<NodeId, std::int64_t>, double> kilobytesPerHalfSecond_;
  double worstBurstKilobytes_ = 0;
};

}  // namespace merlingauge::test
