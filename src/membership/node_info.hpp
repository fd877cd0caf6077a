// node_info: one node of the mesh as the others know it, and the order of updates on it.
#pragma once

#include <compare>
#include <cstdint>

#include "base/ids.hpp"

namespace merlingauge::membership {

/// What the mesh knows of one node. Joined like an Instance: the higher precedence wins.
struct NodeInfo {
  NodeId id;
  ZoneName zone;
  bool isControlNode = false;  ///< has a disk and may vote
  bool shuttingDown = false;
  /// Suspected by a peer. The node itself refutes it with a higher infoVersion (SWIM suspicion).
  bool unresponsive = false;
  /// Orders the states of the node; only the node itself raises it (SWIM incarnation number).
  std::uint64_t infoVersion = 0;
  Incarnation incarnation;
  bool recovered = false;  ///< a control node that has read back what a voter must hold

  /// Shutting down or unresponsive: not to be talked to.
  [[nodiscard]] bool isDown() const { return shuttingDown || unresponsive; }
};

/// The order of updates on one node, most significant field first: total and the same everywhere,
/// so keeping the higher of two is a join (see InstancePrecedence).
struct NodePrecedence {
  std::uint64_t infoVersion = 0;
  bool shuttingDown = false;
  bool unresponsive = false;
  auto operator<=>(const NodePrecedence&) const = default;
};

inline NodePrecedence precedenceOf(const NodeInfo& info) {
  return {info.infoVersion, info.shuttingDown, info.unresponsive};
}

/// Does `update` replace what is held of the same other node? A later incarnation decides between
/// equals: a restarted node starts at the infoVersion that its earlier incarnation started at.
inline bool supersedes(const NodeInfo& update, const NodeInfo& held) {
  const auto order = precedenceOf(update) <=> precedenceOf(held);
  return order > 0 || (order == 0 && update.incarnation > held.incarnation);
}

/// Must the node itself raise its infoVersion, since a peer holds `update` of it? So it does where
/// an earlier incarnation is remembered, or this one is taken for down.
inline bool needsRefutation(const NodeInfo& update, const NodeInfo& own) {
  if (update.infoVersion < own.infoVersion) return false;
  return update.incarnation != own.incarnation || precedenceOf(update) > precedenceOf(own);
}

}  // namespace merlingauge::membership
