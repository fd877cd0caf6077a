// simulated_register: the replicated register at the voters, with real acceptors and proposers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "consensus/proposer.hpp"
#include "simulation/gossip/fleet.hpp"

namespace merlingauge::test {

/// Proposes operators' changes and knows the very moment at which each value is chosen.
class SimulatedRegister {
 public:
  SimulatedRegister(Clock& clock, Fleet& fleet, SimulatedNetwork& network)
      : clock_(clock), fleet_(fleet), network_(network) {}

  /// An operator's change, sent to one control node and then to others until it is acknowledged.
  void change(const std::string& recipient, const std::string& text) {
    tryChange(recipient, text, 0);
  }
  /// Finds out about values that were accepted and of which nobody says whether they were chosen,
  /// as after a restart.
  void repairAll();
  /// Control nodes that are linked both ways to a quorum of the voters now.
  [[nodiscard]] std::set<NodeId> nodesInQuorum() const;
  /// By sequence, in milliseconds.
  [[nodiscard]] const std::map<std::uint64_t, double>& chosenAtMs() const { return chosenAtMs_; }
  [[nodiscard]] const std::map<std::uint64_t, double>& acknowledgedAtMs() const {
    return acknowledgedAtMs_;
  }

 private:
  using ResultCallback = std::function<void(const consensus::Proposer::Result&)>;
  using ReplyCallback = std::function<void(const consensus::RegisterReply&)>;
  struct Proposal;
  struct RepairState {
    int run = 0;
    double aheadSinceMs = -1;  ///< a value is accepted and not known to be chosen; -1: none
    bool reading = false;
  };

  void tryChange(const std::string& recipient, const std::string& text, int attempts);
  void repair(SimulatedNode& node);
  void propose(SimulatedNode& node, const consensus::Proposer::ChangeFunction& change,
               ResultCallback onResult);
  void send(const std::shared_ptr<Proposal>& proposal,
            const std::vector<consensus::Proposer::OutgoingRequest>& requests);
  void deliver(SimulatedNode& from, SimulatedNode& to, const consensus::RegisterRequest& request,
               ReplyCallback onReply);
  void recordChosen();

  Clock& clock_;
  Fleet& fleet_;
  SimulatedNetwork& network_;
  std::map<NodeId, RepairState> repairs_;
  std::map<std::uint64_t, double> chosenAtMs_;
  std::map<std::uint64_t, double> acknowledgedAtMs_;
};

}  // namespace merlingauge::test
