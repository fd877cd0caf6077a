// guestbook: what every node knows of the others and of the servers. Each is one item, joined by
// whichever word is stronger, so no order of news and no restart of whoever heard a word can undo
// it. Items carry the dot of the word they hold: a life of a source, and how far it had come. No
// clock of its own, no sockets.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace merlingauge::membership {

struct Instance {
  // Rises only: a server that drains never comes back within its life.
  enum class Status : std::uint8_t { available, draining, gone };
  InstanceId id;
  ServiceName service;
  std::string address;  // ip:port of the server itself
  ZoneName zone;
  int capacity = 1;
  Status status = Status::available;
  std::uint64_t sequence = 0;      // of the beat that this word rests on
  std::uint32_t reporterEdit = 0;  // orders what its keeper says between two beats
  bool warmingUp = false;
  bool unresponsive = false;  // its beats have stopped
  int failingTenths = 0;      // tenths of its answers that fail, as its keeper sees them
  NodeId reporter;            // the node that hears its beats
  [[nodiscard]] bool isUsable() const { return status == Status::available && !unresponsive; }
};

struct NodeInfo {
  NodeId id;
  ZoneName zone;
  bool isControlNode = false;  // has a disk and may vote
  bool shuttingDown = false;
  bool unresponsive = false;      // nobody hears it any more; it says so itself when that's wrong
  std::uint64_t infoVersion = 0;  // orders its words; only the node itself raises it
  Incarnation incarnation;
  bool recovered = false;  // a core that has read what a voter must hold
};

// One life of one node as a source of words.
using SourceId = StrongId<struct SourceTag>;
using VersionVectorEntries = std::map<SourceId, std::uint64_t>;

// The lives that the vectors of one node name, numbered. A number is given away again once no
// vector has an entry of it, so that lives that are over leave no hole.
class SourceTable {
 public:
  [[nodiscard]] std::optional<std::uint32_t> find(const SourceId& source) const;
  [[nodiscard]] const SourceId& sourceAt(std::size_t number) const { return rows_[number].source; }
  std::uint32_t acquire(const SourceId& source);  // one more vector has an entry of it
  void release(std::size_t number);

 private:
  struct Row {
    SourceId source;
    std::size_t holders = 0;
  };
  std::unordered_map<SourceId, std::uint32_t> numbers_;
  std::vector<Row> rows_;
  std::vector<std::uint32_t> free_;
};

// How far somebody has come, with a hash over it that is kept up as it changes. A few bytes a life:
// a core has one for each node that pulls from it, and compares them with its own at every pull.
class VersionVector {
 public:
  explicit VersionVector(std::shared_ptr<SourceTable> incarnations)
      : sources_(std::move(incarnations)) {}
  ~VersionVector() { clear(); }
  VersionVector(const VersionVector&) = delete;
  VersionVector& operator=(const VersionVector&) = delete;
  void set(const SourceId& source, std::uint64_t count);
  void erase(const SourceId& source) { set(source, 0); }
  void clear();
  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] std::uint64_t hash() const { return hash_; }
  [[nodiscard]] std::uint64_t counterOf(const SourceId& source) const;
  // Calls `visit(source, theirs, mine)` for each entry of `ahead` that is above this one's.
  template <class Visit>
  void forEachNewer(const VersionVector& ahead, Visit exchange) const {
    if (hash_ == ahead.hash_) return;
    for (std::size_t i = 0; i < ahead.counters_.size(); ++i) {
      const std::uint64_t have = i < counters_.size() ? counters_[i] : 0;
      if (have < ahead.counters_[i]) exchange(sources_->sourceAt(i), ahead.counters_[i], have);
    }
  }
  // Those that are there and not in `other`.
  [[nodiscard]] std::vector<SourceId> sourcesMissingIn(const VersionVector& other) const;

 private:
  std::shared_ptr<SourceTable> sources_;  // of the one node that compares them
  std::vector<std::uint64_t> counters_;
  std::size_t size_ = 0;
  std::uint64_t hash_ = 0;
};

struct Dot {
  SourceId source;
  std::uint64_t counter = 0;
};

nlohmann::json toJson(const VersionVectorEntries& vector);
VersionVectorEntries entriesFromJson(const nlohmann::json& j);

class InstanceRegistry {
 public:
  static constexpr std::size_t kRangeCount = 16;
  using RangeDigests = std::array<std::uint64_t, kRangeCount>;

  InstanceRegistry(NodeInfo self, Incarnation incarnation);

  enum class HeartbeatResult : std::uint8_t { changed, unchanged, stale };
  // A server's own word, heard by this node.
  HeartbeatResult handleHeartbeat(const Instance& server, TimePoint now);
  // What can wait, does, and then a few go out at a time: that a server beats to another node now,
  // and, until `until`, servers that this life of the node knows nothing of yet. A whole core
  // coming back would fill its readers' links with words that say nothing new.
  void throttleUpdatesUntil(TimePoint until) {
    // Never later than said before.
    if (throttling_) until = std::min(until, throttleNewUntil_);
    throttling_ = true;
    throttleNewUntil_ = until;
  }
  bool releaseThrottledUpdates(TimePoint now);
  bool deregister(const InstanceId& id, TimePoint now);
  // This node's own look at a server beside it that doesn't answer.
  bool markUnresponsive(const InstanceId& id, TimePoint now);
  bool setFailingTenths(const InstanceId& id, int tenths);
  // Marks servers heard here that have not beaten for `silent`, and forgets what ended long ago.
  bool expireInstances(TimePoint now, Duration silent, Duration forget);
  // Servers whose keeper is silent or has left for so long that their beats must have stopped.
  bool markOrphans(TimePoint now, Duration silent,
                   const std::function<bool(const InstanceId&)>& mine);
  void announceShutdown();
  void announceRecovered(bool awake);
  bool markNodeUnresponsive(const NodeId& id);

  // Is there any word here that `have` doesn't cover, and which?
  [[nodiscard]] bool hasNewerThan(const VersionVector& have) const;
  // As the text of a JSON list; empty where there is none. Words are put into text once.
  [[nodiscard]] std::string itemsNewerThan(const VersionVector& have, TimePoint now) const;
  // Vector entries above `have`.
  [[nodiscard]] VersionVectorEntries entriesAbove(const VersionVector& have) const;
  // Takes items and, after them, how far the sender had come. True if anything changed.
  bool merge(const nlohmann::json& items, const VersionVectorEntries& come, TimePoint now);
  // All items of the ranges in `mask`.
  [[nodiscard]] std::string itemsInRanges(std::uint32_t mask, TimePoint now) const;
  [[nodiscard]] RangeDigests rangeDigests() const;
  // For tests: an item is lost, as by a fault.
  void loseInstance(const InstanceId& id);

  [[nodiscard]] const VersionVector& versionVector() const { return versionVector_; }
  // For vectors that are compared with this book's.
  [[nodiscard]] const std::shared_ptr<SourceTable>& sourceTable() const { return sourceTable_; }
  // Over the items that still matter; equal digests mean equal books.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  [[nodiscard]] const std::map<NodeId, NodeInfo>& nodes() const { return nodes_; }
  // Those of them that have a disk: few, however many nodes there are.
  [[nodiscard]] const std::set<NodeId>& controlNodes() const { return controlNodes_; }
  [[nodiscard]] std::uint64_t nodeChangeCount() const { return nodeChangeCount_; }
  [[nodiscard]] const NodeInfo& selfInfo() const { return nodes_.at(self_); }
  [[nodiscard]] std::optional<Instance> findInstance(const InstanceId& id) const;
  // What this node itself has heard from a server, in this life of the node.
  [[nodiscard]] std::optional<Instance> findReportedHere(const InstanceId& id) const;
  [[nodiscard]] std::vector<Instance> instances() const;
  // Servers of a service that are usable, and a number that changes whenever the list does.
  [[nodiscard]] std::vector<Instance> usableInstances(const ServiceName& service) const;
  [[nodiscard]] std::uint64_t changeCount(const ServiceName& service) const;
  [[nodiscard]] std::optional<Dot> dotOf(const InstanceId& id) const;
  // Of this node's last word on itself: whoever has it has all that this node said before.
  [[nodiscard]] Dot selfDot() const { return nodeDots_.at(self_); }

 private:
  struct Item {
    Instance instance;
    Dot dot;
    std::optional<TimePoint> closedAt;  // gone or silent since
    mutable std::string text;           // as it is told, but for how long ago it ended
  };
  struct Heartbeat {
    TimePoint at;
    std::uint64_t sequence = 0;
  };
  struct Key {
    bool node = false;
    std::string name;
  };
  struct Stream {
    std::map<std::uint64_t, Key> items;  // by the count of the word they hold
    TimePoint touched;
  };
  [[nodiscard]] bool canWait(const Item* held, const Instance& word, TimePoint now) const;
  Dot newDot();
  void cameTo(const SourceId& source, std::uint64_t count);
  void put(const Instance& server, const Dot& dot, TimePoint closedAt);
  void putNode(const NodeInfo& facts, const Dot& dot);
  void write(const Instance& server, TimePoint now) { put(server, newDot(), now); }
  void erase(const InstanceId& id);
  void eraseNode(const NodeId& id);
  void sweep(TimePoint now, Duration forget);
  bool mergeServer(const nlohmann::json& j, TimePoint now);
  bool mergeNode(const nlohmann::json& j);
  void appendItem(const Key& key, TimePoint now, std::string& out) const;

  NodeId self_;
  SourceId source_;
  std::uint64_t counter_ = 0;
  std::unordered_map<InstanceId, Item> instances_;
  std::map<ServiceName, std::map<InstanceId, const Instance*>> services_;
  std::map<ServiceName, std::uint64_t> changeCounts_;
  std::map<NodeId, NodeInfo> nodes_;
  std::set<NodeId> controlNodes_;
  std::map<NodeId, Dot> nodeDots_;
  mutable std::map<NodeId, std::string> nodeTexts_;
  std::map<NodeId, TimePoint> downSince_;  // silent or leaving nodes, as seen here
  std::unordered_map<InstanceId, Heartbeat> heartbeats_;
  std::map<InstanceId, Instance> throttled_;  // words that can wait, the latest of each server
  bool throttling_ = false;
  TimePoint throttleNewUntil_;
  std::map<InstanceId, TimePoint> expected_;  // an earlier life of this node heard them
  std::map<SourceId, Stream> streams_;
  std::shared_ptr<SourceTable> sourceTable_ = std::make_shared<SourceTable>();
  VersionVector versionVector_{sourceTable_};
  std::uint64_t digest_ = 0;
  std::uint64_t nodeChangeCount_ = 0;
  TimePoint lastNow_;
  TimePoint sweepAt_;
};

}  // namespace merlingauge::membership
