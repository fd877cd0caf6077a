// instance_registry: what a node knows of the other nodes and of the server instances, joined with
// what its peers know.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "membership/dot.hpp"
#include "membership/dot_index.hpp"
#include "membership/instance.hpp"
#include "membership/instance_expiry.hpp"
#include "membership/instance_table.hpp"
#include "membership/node_info.hpp"
#include "membership/node_table.hpp"
#include "membership/range_digest.hpp"
#include "membership/registry_codec.hpp"
#include "membership/update_throttle.hpp"
#include "membership/version_vector.hpp"

namespace merlingauge::membership {

/// A part of the items that a peer lacks.
struct ItemBatch {
  std::string items;       ///< the text of a JSON list; empty where there is no item
  bool isComplete = true;  ///< with the batches before it the peer has everything
};

/// A replicated state machine without a leader. Each instance and each node is one item, and two
/// copies of an item are joined by keeping the one of higher precedence, so neither the order of
/// updates nor the restart of a reporter undoes one (state-based CRDT, a join-semilattice). Each
/// item carries the dot of its update, and a version vector says which dots a node has seen; so
/// peers send each other only what is new. Peers are served and asked by gossip.
///
/// Joins the tables, the dot index, the throttle and the expiry, and decides between updates. Reads
/// no clock and does no I/O: the time is passed in, and no call is earlier than the one before.
/// Event-loop thread only. Lost with the process; a restarted node gets it from its peers.
class InstanceRegistry {
 public:
  /// `incarnation` must differ from that of every earlier run of this node.
  InstanceRegistry(NodeInfo self, Incarnation incarnation);

  enum class HeartbeatResult : std::uint8_t {
    changed,    ///< peers are to be notified
    unchanged,  ///< known already, or deferred
    stale       ///< overtaken by a later state of the same instance
  };

  // ---- Observations of this node. Those that return bool say whether an item has changed.

  /// A server's own report, received by this node, which thereby becomes its reporter.
  HeartbeatResult handleHeartbeat(const Instance& server, TimePoint now);
  /// Marks the instance as gone, for good, also where nothing else is known of it.
  bool deregister(const InstanceId& id, TimePoint now);
  /// An instance that this node cannot reach, whatever its heartbeats say.
  bool markUnresponsive(const InstanceId& id, TimePoint now);
  /// The share of failing responses, in tenths, of an instance that this node reports.
  bool setFailingTenths(const InstanceId& id, int tenths);
  void announceShutdown();
  void announceRecovered(bool recovered);
  bool markNodeUnresponsive(const NodeId& id);

  // ---- Time.

  /// See UpdateThrottle::throttleUntil().
  void throttleUpdatesUntil(TimePoint until) { throttle_.throttleUntil(until); }
  bool releaseThrottledUpdates(TimePoint now);
  /// Marks the instances reported here that have sent no heartbeat for `heartbeatTimeout`, and
  /// forgets those that closed longer than `forgetAfter` ago, with the nodes and sources that
  /// ended.
  bool expireInstances(TimePoint now, Duration heartbeatTimeout, Duration forgetAfter);
  /// Marks the instances whose reporter has been down for longer than `heartbeatTimeout`, as far as
  /// `isMine` accepts them.
  bool markOrphans(TimePoint now, Duration heartbeatTimeout,
                   const std::function<bool(const InstanceId&)>& isMine);

  // ---- Exchange with peers.

  /// Is there an item here whose update `seen` does not cover?
  [[nodiscard]] bool hasNewerThan(const VersionVector& seen) const;
  /// All such items, as the text of a JSON list; empty where there is none.
  [[nodiscard]] std::string itemsNewerThan(const VersionVector& seen, TimePoint now) const;
  /// The next batch of the items that itemsNewerThan() gives, at most `maxBytes` and one item long
  /// unless it is the last. `sent` holds what the batches before it brought, and is brought up to
  /// date.
  ItemBatch nextBatch(const VersionVector& seen, VersionVectorEntries& sent, std::size_t maxBytes,
                      TimePoint now) const;
  /// The entries of this node's vector that are above those of `seen`.
  [[nodiscard]] VersionVectorEntries entriesAbove(const VersionVector& seen) const;
  /// All items of some ranges, as the text of a JSON list.
  [[nodiscard]] std::string itemsInRanges(RangeMask ranges, TimePoint now) const;
  /// Joins a peer's items into this registry and then its vector. True if an item has changed.
  /// Throws DecodeError at a malformed item: those before it are joined then, those after it and
  /// `seenByPeer` are not, so the next pull asks for them again.
  bool merge(const nlohmann::json& items, const VersionVectorEntries& seenByPeer, TimePoint now);
  /// XOR of all item hashes; equal digests mean equal open items.
  [[nodiscard]] std::uint64_t digest() const { return instances_.digest() ^ nodes_.digest(); }
  [[nodiscard]] RangeDigests rangeDigests() const;
  [[nodiscard]] const VersionVector& versionVector() const { return dots_.versionVector(); }
  /// For vectors that are compared with this registry's.
  [[nodiscard]] const std::shared_ptr<SourceTable>& sourceTable() const {
    return dots_.sourceTable();
  }

  /// Joins a node's updates on instances, as merge() does, but as updates of this node: peers get
  /// them from here at once, whether or not the node that made them lives to be pulled from. True
  /// if an instance has changed. Throws DecodeError at a malformed item.
  bool adopt(const nlohmann::json& items, TimePoint now);
  /// What is known of the instance, as the text of a JSON list of one item; an empty list where
  /// nothing is.
  [[nodiscard]] std::string instanceItem(const InstanceId& id, TimePoint now) const;

  // ---- Nodes.

  [[nodiscard]] const std::map<NodeId, NodeInfo>& nodes() const { return nodes_.nodes(); }
  /// The known nodes that may vote: few, however many nodes there are.
  [[nodiscard]] const std::set<NodeId>& controlNodes() const { return nodes_.controlNodes(); }
  /// Rises with each change of a node.
  [[nodiscard]] std::uint64_t nodeChangeCount() const { return nodes_.changeCount(); }
  [[nodiscard]] const NodeInfo& selfInfo() const { return nodes().at(self_); }
  /// Of this node's latest update on itself: a peer that covers it has all that this node made
  /// before.
  [[nodiscard]] Dot selfDot() const { return nodes_.dotOf(self_); }

  // ---- Instances.

  [[nodiscard]] std::optional<Instance> findInstance(const InstanceId& id) const;
  /// Only an instance whose heartbeats this incarnation of this node has received.
  [[nodiscard]] std::optional<Instance> findReportedHere(const InstanceId& id) const;
  [[nodiscard]] std::vector<Instance> instances() const;
  [[nodiscard]] std::vector<Instance> usableInstances(const ServiceName& service) const;
  /// Rises whenever usableInstances() of the service may have changed.
  [[nodiscard]] std::uint64_t changeCount(const ServiceName& service) const;
  [[nodiscard]] std::optional<Dot> dotOf(const InstanceId& id) const;
  /// For tests: the item disappears, as by a fault.
  void loseInstance(const InstanceId& id) { erase(id); }

 private:
  void put(Instance instance, Dot dot, TimePoint closedAt);
  void putNode(const NodeInfo& info, Dot dot);
  /// An update by this node itself.
  void write(Instance instance, TimePoint now);
  void writeNode(const NodeInfo& info);
  void writeUnresponsive(const std::vector<InstanceId>& ids, TimePoint now);
  void erase(const InstanceId& id);
  void eraseNode(const NodeId& id);
  void forgetEnded(TimePoint now, Duration forgetAfter);
  /// The result of a heartbeat that says nothing new of an instance, or nothing.
  [[nodiscard]] std::optional<HeartbeatResult> resultWithoutUpdate(const Instance& held,
                                                                   const Instance& server) const;
  bool mergeInstance(InstanceUpdate update, TimePoint now);
  /// Whether the update overrides what is held of its instance; completes it from that where so.
  bool takesPrecedence(Instance& update) const;
  bool mergeNode(NodeUpdate update);
  bool refute(const NodeInfo& update);
  void appendBeyondVector(const VersionVector& seen, std::size_t maxBytes, TimePoint now,
                          ItemBatch& batch) const;
  void appendItem(const ItemKey& key, TimePoint now, std::string& list) const;

  NodeId self_;
  InstanceTable instances_;
  NodeTable nodes_;
  DotIndex dots_;
  UpdateThrottle throttle_;
  InstanceExpiry expiry_{instances_, throttle_, self_};
  TimePoint lastNow_;  // of the latest call that carried the time; for those that do not
  TimePoint forgetEndedAt_;
};

}  // namespace merlingauge::membership
