// acceptor_side: what nodes do as voters: replies, disks, crashes, rejoining.
#pragma once

#include <cstddef>

#include "simulation/explorer/invariants.hpp"
#include "simulation/explorer/scope.hpp"
#include "simulation/explorer/state.hpp"
#include "simulation/explorer/wire.hpp"

namespace merlingauge::test::explorer {

class AcceptorSide {
 public:
  AcceptorSide(const Scope& scope, const PartEditor& editor, const Wire& wire,
               const Invariants& invariants)
      : scope_(scope), editor_(editor), wire_(wire), invariants_(invariants) {}

  void handleRequest(State& state, const Message& message) const;
  void sync(State& state, std::size_t place) const;
  void crash(State& state, std::size_t place) const;
  /// A crash that loses the disk.
  void loseDisk(State& state, std::size_t place) const;
  /// An acceptor that is not recovered asks those that it has not asked yet.
  void askToRejoin(State& state, std::size_t place) const;
  void handleRejoinReply(State& state, const Message& message) const;

 private:
  void handleRequest(State& state, Node& node, const Message& message) const;
  void recordAcceptance(State& state, Node& node, const Message& message) const;
  [[nodiscard]] bool isOnDisk(const Node& node) const;
  void sendSynced(State& state, Node& node) const;
  void restart(State& state, std::size_t place) const;

  const Scope& scope_;
  const PartEditor& editor_;
  const Wire& wire_;
  const Invariants& invariants_;
};

}  // namespace merlingauge::test::explorer
