// guestbook: what every node knows of the others and of the servers. One page per source, which
// only that source writes; pages travel by version vector. No clock of its own, no sockets.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "units.hpp"
#include "version/register.hpp"

namespace merlin::cairn {

struct Server {
  enum class Status : std::uint8_t { available, draining, gone };
  InstanceId id;
  ServiceName service;
  std::string address;  // ip:port of the server itself
  ZoneName zone;
  int slots = 1;
  Status status = Status::available;
  std::uint64_t sequence = 0;
  bool cold = false;
};

struct NodeFacts {
  NodeId id;
  ZoneName zone;
  bool core = false;  // has a disk and may vote
  bool leaving = false;
};

struct Page {
  NodeFacts node;
  Version version;
  std::vector<Server> servers;
};

using Vector = std::map<NodeId, Version>;

nlohmann::json toJson(const Page& page);
Page pageFrom(const nlohmann::json& j);
nlohmann::json toJson(const Vector& vector);
Vector vectorFrom(const nlohmann::json& j);

class Guestbook {
 public:
  Guestbook(NodeFacts self, Life life);

  enum class Beat : std::uint8_t { news, same, stale };
  // A server's own word, heard by this node.
  Beat beat(const Server& server, Instant now);
  bool deregister(const InstanceId& id, Instant now);
  // This node's own look at a server beside it that doesn't answer.
  bool silence(const InstanceId& id);
  // Drops own servers that have not beaten for `silent`, and forgets gone ones after a while.
  bool expire(Instant now, Span silent, Span forget);
  void leave();

  // Takes a page if it is newer than the one held; true if anything changed.
  bool merge(const Page& page, Instant now);
  void drop(const NodeId& source);

  [[nodiscard]] Vector vector() const;
  [[nodiscard]] std::uint64_t digest() const;
  [[nodiscard]] std::vector<const Page*> newerThan(const Vector& have) const;
  [[nodiscard]] const std::map<NodeId, Page>& pages() const { return pages_; }
  [[nodiscard]] const Page& own() const { return pages_.at(self_); }
  // The strongest word on one server, over all sources.
  [[nodiscard]] std::optional<Server> find(const InstanceId& id) const;
  // Servers of a service that are available, each once.
  [[nodiscard]] std::vector<Server> available(const ServiceName& service) const;
  [[nodiscard]] std::uint64_t changes() const { return changes_; }
  [[nodiscard]] Instant lastBeat(const InstanceId& id) const;

 private:
  void touched();
  Page& mine() { return pages_.at(self_); }
  NodeId self_;
  std::map<NodeId, Page> pages_;
  std::map<InstanceId, Instant> heard_;
  std::map<InstanceId, Instant> ended_;
  std::uint64_t changes_ = 0;
};

}  // namespace merlin::cairn
