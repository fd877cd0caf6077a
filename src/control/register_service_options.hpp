// register_service_options.hpp: what the register service must know of the node it runs on.
#pragma once

#include <vector>

#include "base/ids.hpp"

namespace merlingauge::control {

/// Fixed for the life of the process.
struct RegisterServiceOptions {
  NodeId self;          ///< this node's address; its name as a voter and as a proposer
  double cpuCores = 1;  ///< processor time of this node, in cores; slow nodes get longer rounds
  /// The deployment's very first start: `initialVoters` are the voters, and an acceptor with an
  /// empty disk may vote at once because nobody can have had a promise from it.
  bool bootstrap = false;
  std::vector<NodeId> initialVoters;  ///< used with `bootstrap` only; in any order
};

}  // namespace merlingauge::control
