// model: the real Acceptor and Proposer as a transition system.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "simulation/explorer/acceptor_side.hpp"
#include "simulation/explorer/invariants.hpp"
#include "simulation/explorer/proposer_side.hpp"
#include "simulation/explorer/scope.hpp"
#include "simulation/explorer/state.hpp"
#include "simulation/explorer/steps.hpp"
#include "simulation/explorer/wire.hpp"

namespace merlingauge::test::explorer {

class Model {
 public:
  explicit Model(const Scenario& scenario);
  Model(const Model&) = delete;
  Model& operator=(const Model&) = delete;

  [[nodiscard]] const State& initial() const { return initial_; }
  [[nodiscard]] const StepLister& steps() const { return steps_; }
  void stopHashing() { editor_.stopHashing(); }

  void take(State& state, const Step& step) const;
  /// A run as texts, given by the places of its steps.
  [[nodiscard]] std::vector<std::string> textsOf(const std::vector<std::uint32_t>& path) const;
  /// All messages in flight are lost and nothing fails any more: a read must show what was
  /// reported. Returns the violation, or nothing.
  [[nodiscard]] std::string violationAfterHealing(State state) const;

 private:
  void deliver(State& state, const Message& message) const;
  void recoverAll(State& state) const;
  [[nodiscard]] consensus::Proposer readAll(State& state) const;

  Scope scope_;
  PartEditor editor_;
  Wire wire_;
  Invariants invariants_;
  ProposerSide proposers_;
  AcceptorSide acceptors_;
  StepLister steps_;
  State initial_;
};

}  // namespace merlingauge::test::explorer
