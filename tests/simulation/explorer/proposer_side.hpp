// proposer_side: what proposers do: their changes, requests and results.
#pragma once

#include <cstddef>
#include <vector>

#include "simulation/explorer/invariants.hpp"
#include "simulation/explorer/scope.hpp"
#include "simulation/explorer/state.hpp"
#include "simulation/explorer/wire.hpp"

namespace merlingauge::test::explorer {

class ProposerSide {
 public:
  ProposerSide(const Scope& scope, const PartEditor& editor, const Wire& wire,
               const Invariants& invariants)
      : scope_(scope), editor_(editor), wire_(wire), invariants_(invariants) {}

  void start(State& state, std::size_t place) const;
  /// The time-out of its round.
  void timeOut(State& state, std::size_t place) const;
  void handleReply(State& state, const Message& message) const;

 private:
  using Request = consensus::Proposer::OutgoingRequest;

  void advance(State& state, std::size_t place, ProposingNode& proposing,
               const std::vector<Request>& requests) const;
  /// PlantedFault::earlyRejection strikes: it goes on with a value that lacks its change.
  [[nodiscard]] bool rejectsEarly(const Task& task, const Request& request) const;
  void finish(State& state, std::size_t place, const ProposingNode& proposing) const;

  const Scope& scope_;
  const PartEditor& editor_;
  const Wire& wire_;
  const Invariants& invariants_;
};

}  // namespace merlingauge::test::explorer
