// invariants: what must hold in every state; the first violation is kept in the state.
#pragma once

#include <cstddef>
#include <set>

#include "simulation/explorer/scope.hpp"
#include "simulation/explorer/state.hpp"

namespace merlingauge::test::explorer {

class Invariants {
 public:
  Invariants(const Scope& scope, const PartEditor& editor) : scope_(scope), editor_(editor) {}

  /// The acceptor has accepted, and what it accepted is on the disk of the node.
  void recordVote(State& state, std::size_t node, const consensus::Acceptor& acceptor) const;
  /// The votes on the node's disk are lost.
  void recordDiskLoss(State& state, std::size_t node) const;
  /// A proposer has reported the value as committed.
  void recordReported(State& state, const consensus::RegisterValue& value) const;
  void recordAcknowledged(State& state, std::size_t proposer,
                          const consensus::RegisterValue& value) const;
  void recordRejected(State& state, std::size_t proposer) const;

 private:
  [[nodiscard]] bool isChosen(const consensus::RegisterValue& value,
                              const std::set<NodeId>& voted) const;
  void recordChosen(State& state, const consensus::RegisterValue& value) const;

  const Scope& scope_;
  const PartEditor& editor_;
};

}  // namespace merlingauge::test::explorer
