// simulated_node: one node of the simulated fleet, with the parts that gossip works on.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/acceptor.hpp"
#include "consensus/acceptor_state_codec.hpp"
#include "consensus/register_replica.hpp"
#include "consensus/register_value.hpp"
#include "consensus/staleness_bound.hpp"
#include "gossip/gossip_service.hpp"
#include "membership/instance_registry.hpp"

namespace merlingauge::test {

struct SimulatedNode {
  NodeId id;
  ZoneName zone;
  bool isControlNode = false;
  /// Rises with each start and each end, so that what was started before does nothing after it.
  int run = 0;
  std::vector<NodeId> seeds;
  /// Started by a scenario line, with seeds of its own.
  bool joinsLater = false;

  consensus::RegisterValue committed;
  std::uint64_t lowestSequence = 0;  ///< the committed sequence must not fall below within a run
  consensus::StalenessBound stalenessBound;
  std::optional<consensus::Acceptor> acceptor;
  std::optional<consensus::StoredAcceptorState> disk;  ///< outlives a run

  std::unique_ptr<membership::InstanceRegistry> registry;
  std::unique_ptr<gossip::Environment> environment;
  std::unique_ptr<consensus::RegisterReplica> replica;
  std::unique_ptr<gossip::GossipObserver> observer;
  std::unique_ptr<gossip::GossipService> gossip;

  double startedAtMs = 0;
  TimePoint busyUntil;      ///< the processor, with messages that came before
  TimePoint linkBusyUntil;  ///< the link towards it, with responses that came before
  [[nodiscard]] bool isUp() const { return gossip != nullptr; }
};

}  // namespace merlingauge::test
