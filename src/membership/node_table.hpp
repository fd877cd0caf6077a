// node_table: the nodes that a node knows, itself among them.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "membership/dot.hpp"
#include "membership/node_info.hpp"
#include "membership/range_digest.hpp"

namespace merlingauge::membership {

/// The nodes by id, with a digest over all of them. Decides nothing: which update is kept is the
/// registry's choice. Event-loop thread only.
class NodeTable {
 public:
  /// nullptr where the node is not known; valid until it is erased.
  [[nodiscard]] const NodeInfo* find(const NodeId& id) const;
  [[nodiscard]] const std::map<NodeId, NodeInfo>& nodes() const { return nodes_; }
  /// The nodes that have been control nodes: few, however many nodes there are.
  [[nodiscard]] const std::set<NodeId>& controlNodes() const { return controlNodes_; }
  /// Precondition: the node is known.
  [[nodiscard]] const Dot& dotOf(const NodeId& id) const { return records_.at(id).dot; }
  /// The nodes that are shutting down or unresponsive, with the time at which this node first held
  /// them so.
  [[nodiscard]] const std::map<NodeId, TimePoint>& downSince() const { return downSince_; }
  void put(const NodeInfo& info, Dot dot, TimePoint now);
  void erase(const NodeId& id);

  /// Rises with each put() and erase().
  [[nodiscard]] std::uint64_t changeCount() const { return changeCount_; }
  /// XOR of the item hashes of all nodes.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  /// XORs the item hashes into the digests of their ranges.
  void addTo(RangeDigests& digests) const;
  /// Appends a known node in its encoding of the peer protocol; encoded once for each update.
  void appendText(const NodeId& id, std::string& out) const;

 private:
  struct Record {
    Dot dot;                   // of the update that the node's info rests on
    mutable std::string text;  // its cached encoding; empty: not encoded yet
  };

  std::map<NodeId, NodeInfo> nodes_;
  std::map<NodeId, Record> records_;  // one for each of nodes_
  std::set<NodeId> controlNodes_;
  std::map<NodeId, TimePoint> downSince_;
  std::uint64_t changeCount_ = 0;
  std::uint64_t digest_ = 0;
};

}  // namespace merlingauge::membership
