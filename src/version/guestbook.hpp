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

#include "units.hpp"

namespace merlin::cairn {

struct Server {
  // Rises only: a server that drains never comes back within its life.
  enum class Status : std::uint8_t { available, draining, gone };
  InstanceId id;
  ServiceName service;
  std::string address;  // ip:port of the server itself
  ZoneName zone;
  int slots = 1;
  Status status = Status::available;
  std::uint64_t sequence = 0;  // of the beat that this word rests on
  std::uint32_t edit = 0;      // orders what its keeper says between two beats
  bool cold = false;
  bool silent = false;  // its beats have stopped
  int ill = 0;          // tenths of its answers that fail, as its keeper sees them
  NodeId keeper;        // the node that hears its beats
  [[nodiscard]] bool usable() const { return status == Status::available && !silent; }
};

struct NodeFacts {
  NodeId id;
  ZoneName zone;
  bool core = false;  // has a disk and may vote
  bool leaving = false;
  bool silent = false;            // nobody hears it any more; it says so itself when that's wrong
  std::uint64_t incarnation = 0;  // orders its words; only the node itself raises it
  Life life;
  bool awake = false;  // a core that has read what a voter must hold
};

// One life of one node as a source of words.
using SourceId = Name<struct SourceTag>;
using Vector = std::map<SourceId, std::uint64_t>;

// The lives that the vectors of one node name, numbered. A number is given away again once no
// vector has an entry of it, so that lives that are over leave no hole.
class Lives {
 public:
  [[nodiscard]] std::optional<std::uint32_t> find(const SourceId& source) const;
  [[nodiscard]] const SourceId& name(std::size_t number) const { return rows_[number].name; }
  std::uint32_t take(const SourceId& source);  // one more vector has an entry of it
  void release(std::size_t number);

 private:
  struct Row {
    SourceId name;
    std::size_t holders = 0;
  };
  std::unordered_map<SourceId, std::uint32_t> numbers_;
  std::vector<Row> rows_;
  std::vector<std::uint32_t> free_;
};

// How far somebody has come, with a hash over it that is kept up as it changes. A few bytes a life:
// a core has one for each node that pulls from it, and compares them with its own at every pull.
class Tally {
 public:
  explicit Tally(std::shared_ptr<Lives> lives) : lives_(std::move(lives)) {}
  ~Tally() { clear(); }
  Tally(const Tally&) = delete;
  Tally& operator=(const Tally&) = delete;
  void set(const SourceId& source, std::uint64_t count);
  void strike(const SourceId& source) { set(source, 0); }
  void clear();
  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] std::uint64_t hash() const { return hash_; }
  [[nodiscard]] std::uint64_t of(const SourceId& source) const;
  // Calls `visit(source, theirs, mine)` for each entry of `ahead` that is above this one's.
  template <class Visit>
  void behind(const Tally& ahead, Visit visit) const {
    if (hash_ == ahead.hash_) return;
    for (std::size_t i = 0; i < ahead.counts_.size(); ++i) {
      const std::uint64_t have = i < counts_.size() ? counts_[i] : 0;
      if (have < ahead.counts_[i]) visit(lives_->name(i), ahead.counts_[i], have);
    }
  }
  // Those that are there and not in `other`.
  [[nodiscard]] std::vector<SourceId> missingIn(const Tally& other) const;

 private:
  std::shared_ptr<Lives> lives_;  // of the one node that compares them
  std::vector<std::uint64_t> counts_;
  std::size_t size_ = 0;
  std::uint64_t hash_ = 0;
};

struct Dot {
  SourceId source;
  std::uint64_t count = 0;
};

nlohmann::json toJson(const Vector& vector);
Vector vectorFrom(const nlohmann::json& j);

class Guestbook {
 public:
  static constexpr std::size_t kRanges = 16;
  using Ranges = std::array<std::uint64_t, kRanges>;

  Guestbook(NodeFacts self, Life life);

  enum class Beat : std::uint8_t { news, same, stale };
  // A server's own word, heard by this node.
  Beat beat(const Server& server, Instant now);
  // What can wait, does, and then a few go out at a time: that a server beats to another node now,
  // and, until `until`, servers that this life of the node knows nothing of yet. A whole core
  // coming back would fill its readers' links with words that say nothing new.
  void trickle(Instant until) {
    // Never later than said before.
    if (trickles_) until = std::min(until, firstUntil_);
    trickles_ = true;
    firstUntil_ = until;
  }
  bool settle(Instant now);
  bool deregister(const InstanceId& id, Instant now);
  // This node's own look at a server beside it that doesn't answer.
  bool silence(const InstanceId& id, Instant now);
  bool setIll(const InstanceId& id, int tenths);
  // Marks servers heard here that have not beaten for `silent`, and forgets what ended long ago.
  bool expire(Instant now, Span silent, Span forget);
  // Servers whose keeper is silent or has left for so long that their beats must have stopped.
  bool orphans(Instant now, Span silent, const std::function<bool(const InstanceId&)>& mine);
  void leave();
  void sayAwake(bool awake);
  bool nodeSilent(const NodeId& id);

  // Is there any word here that `have` doesn't cover, and which?
  [[nodiscard]] bool lacks(const Tally& have) const;
  // As the text of a JSON list; empty where there is none. Words are put into text once.
  [[nodiscard]] std::string newerThan(const Tally& have, Instant now) const;
  // Vector entries above `have`.
  [[nodiscard]] Vector above(const Tally& have) const;
  // Takes items and, after them, how far the sender had come. True if anything changed.
  bool merge(const nlohmann::json& items, const Vector& come, Instant now);
  // All items of the ranges in `mask`.
  [[nodiscard]] std::string itemsIn(std::uint32_t mask, Instant now) const;
  [[nodiscard]] Ranges ranges() const;
  // For tests: an item is lost, as by a fault.
  void drop(const InstanceId& id);

  [[nodiscard]] const Tally& come() const { return come_; }
  // For vectors that are compared with this book's.
  [[nodiscard]] const std::shared_ptr<Lives>& lives() const { return lives_; }
  // Over the items that still matter; equal digests mean equal books.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  [[nodiscard]] const std::map<NodeId, NodeFacts>& nodes() const { return facts_; }
  // Those of them that have a disk: few, however many nodes there are.
  [[nodiscard]] const std::set<NodeId>& cores() const { return cores_; }
  [[nodiscard]] std::uint64_t nodeChanges() const { return nodeChanges_; }
  [[nodiscard]] const NodeFacts& self() const { return facts_.at(self_); }
  [[nodiscard]] std::optional<Server> find(const InstanceId& id) const;
  // What this node itself has heard from a server, in this life of the node.
  [[nodiscard]] std::optional<Server> heardHere(const InstanceId& id) const;
  [[nodiscard]] std::vector<Server> servers() const;
  // Servers of a service that are usable, and a number that changes whenever the list does.
  [[nodiscard]] std::vector<Server> usable(const ServiceName& service) const;
  [[nodiscard]] std::uint64_t changes(const ServiceName& service) const;
  [[nodiscard]] std::optional<Dot> dotOf(const InstanceId& id) const;
  // Of this node's last word on itself: whoever has it has all that this node said before.
  [[nodiscard]] Dot ownDot() const { return nodeDots_.at(self_); }

 private:
  struct Item {
    Server server;
    Dot dot;
    std::optional<Instant> closedAt;  // gone or silent since
    mutable std::string text;         // as it is told, but for how long ago it ended
  };
  struct Heard {
    Instant at;
    std::uint64_t sequence = 0;
  };
  struct Key {
    bool node = false;
    std::string name;
  };
  struct Stream {
    std::map<std::uint64_t, Key> items;  // by the count of the word they hold
    Instant touched;
  };
  [[nodiscard]] bool canWait(const Item* held, const Server& word, Instant now) const;
  Dot newDot();
  void cameTo(const SourceId& source, std::uint64_t count);
  void put(const Server& server, const Dot& dot, Instant closedAt);
  void putNode(const NodeFacts& facts, const Dot& dot);
  void write(const Server& server, Instant now) { put(server, newDot(), now); }
  void erase(const InstanceId& id);
  void eraseNode(const NodeId& id);
  void sweep(Instant now, Span forget);
  bool mergeServer(const nlohmann::json& j, Instant now);
  bool mergeNode(const nlohmann::json& j);
  void appendItem(const Key& key, Instant now, std::string& out) const;

  NodeId self_;
  SourceId source_;
  std::uint64_t count_ = 0;
  std::unordered_map<InstanceId, Item> servers_;
  std::map<ServiceName, std::map<InstanceId, const Server*>> services_;
  std::map<ServiceName, std::uint64_t> changes_;
  std::map<NodeId, NodeFacts> facts_;
  std::set<NodeId> cores_;
  std::map<NodeId, Dot> nodeDots_;
  mutable std::map<NodeId, std::string> nodeTexts_;
  std::map<NodeId, Instant> downSince_;  // silent or leaving nodes, as seen here
  std::unordered_map<InstanceId, Heard> heard_;
  std::map<InstanceId, Server> waiting_;  // words that can wait, the latest of each server
  bool trickles_ = false;
  Instant firstUntil_;
  std::map<InstanceId, Instant> expected_;  // an earlier life of this node heard them
  std::map<SourceId, Stream> streams_;
  std::shared_ptr<Lives> lives_ = std::make_shared<Lives>();
  Tally come_{lives_};
  std::uint64_t digest_ = 0;
  std::uint64_t nodeChanges_ = 0;
  Instant lastNow_;
  Instant sweepAt_;
};

}  // namespace merlin::cairn
