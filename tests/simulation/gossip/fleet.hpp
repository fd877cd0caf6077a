// fleet: the simulated nodes, their starts and ends, and how fast committed values reach them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "simulation/gossip/simulated_network.hpp"
#include "simulation/gossip/simulated_node.hpp"
#include "simulation/scenario_runner.hpp"

namespace merlingauge::test {

/// `cores N` control nodes c0.., `sidecars N` other nodes s0.., spread over `zones N`. With
/// `voters N` the first N control nodes vote; without, values come from scenario lines.
class Fleet {
 public:
  Fleet(const Scenario& scenario, Clock& clock, SimulatedNetwork& network);

  [[nodiscard]] const std::vector<std::unique_ptr<SimulatedNode>>& nodes() const { return nodes_; }
  [[nodiscard]] const std::vector<NodeId>& voters() const { return voters_; }
  SimulatedNode& at(const std::string& name);
  void startAll();
  void start(SimulatedNode& node);
  /// As by SIGKILL.
  void kill(SimulatedNode& node);
  /// The node learns a committed value, by gossip or at its source.
  void learn(SimulatedNode& node, const consensus::RegisterValue& value);
  /// A value is committed: it has to reach everybody.
  void setNewest(std::uint64_t sequence) { newest_ = std::max(newest_, sequence); }
  void setNewestFrom(std::uint64_t sequence, double atMs);
  [[nodiscard]] std::uint64_t newest() const { return newest_; }
  /// The node was killed, cut off or joined again just now: it may lag for a while.
  void disturb(const SimulatedNode& node) { disturbedAtMs_[node.id] = clock_.ms(); }
  [[nodiscard]] bool isSettled(const SimulatedNode& node) const;
  void tick();
  /// All nodes that are up have the newest value and the same registry.
  void requireConverged() const;
  void report(std::map<std::string, double>& measured) const;

 private:
  class NodeEnvironment;
  class NodeReplica;
  class NodeObserver;
  void addNode(const std::string& name, bool isControlNode, const std::string& zone);
  [[nodiscard]] gossip::GossipOptions gossipOptions(const SimulatedNode& node) const;

  const Scenario& scenario_;
  Clock& clock_;
  SimulatedNetwork& network_;
  std::vector<std::unique_ptr<SimulatedNode>> nodes_;
  std::vector<NodeId> voters_;
  std::map<NodeId, double> disturbedAtMs_;
  std::set<std::uint64_t> cancelledTimers_;
  std::uint64_t lastTimer_ = 0;
  std::uint64_t newest_ = 0;
  double newestAtMs_ = 0;
  double slowestMs_ = 0;
  double allKnownAtMs_ = 0;  ///< when every node first knew every other
};

}  // namespace merlingauge::test
