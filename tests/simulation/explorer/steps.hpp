// steps: the steps that can be taken in a state, and their names.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "simulation/explorer/scope.hpp"
#include "simulation/explorer/state.hpp"

namespace merlingauge::test::explorer {

struct Step {
  enum class Kind : std::uint8_t {
    start,
    deliver,
    duplicate,  ///< a message is delivered, and stays in flight
    timeout,
    sync,
    crash,
    loseDisk,  ///< a crash that loses the disk
    rejoin,    ///< a node that lost its disk asks the others
    gossip,    ///< what one node knows reaches another one, by gossip
  };
  Kind kind = Kind::start;
  std::size_t subject = 0;  ///< a proposer, a node or a place among the messages in flight
  std::size_t object = 0;   ///< of gossip: the node that learns

  [[nodiscard]] bool isDelivery() const { return kind == Kind::deliver || kind == Kind::duplicate; }
};

class StepLister {
 public:
  explicit StepLister(const Scope& scope) : scope_(scope) {}

  /// Always in the same order: a run is given by the places of its steps.
  [[nodiscard]] std::vector<Step> stepsOf(const State& state) const;
  [[nodiscard]] std::string textOf(const State& state, const Step& step) const;
  /// Steps of one class share their speed in a random walk.
  [[nodiscard]] static std::uint64_t classOf(const State& state, const Step& step);

 private:
  void addProposerSteps(const State& state, std::vector<Step>& steps) const;
  void addNodeSteps(const State& state, std::size_t place, std::size_t unrecovered,
                    std::vector<Step>& steps) const;
  [[nodiscard]] bool canStart(const State& state, const Task& task) const;
  [[nodiscard]] bool listensToGossip(const State& state, std::size_t node) const;
  [[nodiscard]] bool hasVoterToAsk(const Node& node, const NodeId& self) const;

  const Scope& scope_;
};

}  // namespace merlingauge::test::explorer
