// gossip_options: what is configured of the gossip service, as plain values.
#pragma once

#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace merlingauge::gossip {

/// Fixed for the life of the service, but for the seeds.
struct GossipOptions {
  NodeId self;
  ZoneName zone;
  /// Control nodes that every node is configured with: the first contact of one that knows nobody.
  std::vector<NodeId> seeds;
  /// This node has a disk and may vote.
  bool isControlNode = false;
  /// Server instances report to this node, so that other nodes wait for its updates. Not so on a
  /// gateway's edge.
  bool receivesHeartbeats = true;
  /// Between two responses with updates to one puller; updates are gathered meanwhile. Longer on
  /// small machines, which pay for each message.
  Duration updateInterval{};
  /// Between two nodes that are sent the whole state.
  Duration fullSyncInterval{};
  /// Before the first message. At the first start of a system the control nodes find each other
  /// before all other nodes come.
  Duration initialDelay{};
};

}  // namespace merlingauge::gossip
