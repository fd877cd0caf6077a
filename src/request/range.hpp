// range: the servers that this node draws from, per service, kept until the list of servers or the
// fleet changes. A gateway's edge draws from a stable subset: each server is drawn from by the
// edges that come first in its own rendezvous order, so that all servers have equally many.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <cstddef>
#include <map>
#include <random>
#include <unordered_map>
#include <vector>

#include "request/approach.hpp"
#include "request/ascent.hpp"
#include "request/loads.hpp"
#include "units.hpp"
#include "version/guestbook.hpp"

namespace merlin::trail {

// One server in range.
struct Peak {
  InstanceId id;
  Poco::Net::SocketAddress at;
  std::string life;
  int slots = 1;
  bool near = true;
  std::size_t sharers = 0;  // other nodes that draw from it as this one does
  int connections = 0;      // this node may hold so many to it; 0: no bound
  bool shunned = false;     // its answers fail far more often than the others'
  Loads::Book* book = nullptr;
};

// How many servers an edge would like to draw from.
struct SubsetTerms {
  std::size_t near = 0;
  std::size_t far = 0;
};

// How many edges draw from one server, and how many connections each may hold to it, so that all
// together keep within what the server takes.
struct Share {
  std::size_t near = 0;  // of the server's own zone
  std::size_t far = 0;
  int connections = 0;  // of one edge; 0: no bound
};
// Of the server's zone and of all others: servers of its service, and edges.
struct Crowd {
  std::size_t servers = 0;
  std::size_t edges = 0;
};
Share shareOf(const Crowd& near, const Crowd& far, int maxConnections, const SubsetTerms& terms);

// A node that draws from servers.
struct Drawer {
  NodeId id;
  ZoneName zone;
  bool operator==(const Drawer&) const = default;
};

class Range {
 public:
  struct Parts {
    const cairn::Guestbook& guestbook;
    const Approach& approach;
    Loads& loads;
    NodeId self;
    ZoneName zone;
    bool subset = false;
    std::function<int(const ServiceName&)> maxConnections;
  };
  Range(Parts parts, std::uint64_t seed) : parts_(std::move(parts)), random_(seed) {}

  // The servers to choose from now, at most a fixed number of them. `once`: not those in doubt.
  // The list is the range's own, and good until the next call.
  const std::vector<Candidate>& candidates(const ServiceName& service, bool once, Instant now);
  static const Peak& peak(const Candidate& candidate) {
    return *static_cast<const Peak*>(candidate.where);
  }
  // The edges that there are, this one included.
  void fleet(std::vector<Drawer> edges);

  struct View {
    std::size_t inRange = 0;
    std::size_t known = 0;
    std::size_t ejected = 0;
    int connections = 0;  // the fewest to one server; 0: no bound
  };
  [[nodiscard]] std::map<ServiceName, View> view(Instant now) const;

 private:
  struct Pool {
    std::uint64_t changes = ~0ULL;
    std::uint64_t fleet = 0;
    std::uint64_t generation = 0;
    std::vector<Peak> near;
    std::vector<Peak> far;
    std::size_t known = 0;
  };
  Pool& pool(const ServiceName& service);
  void rebuild(const ServiceName& service, Pool& pool);
  void shun(Pool& pool) const;
  void look(std::vector<Peak>& from, bool once, bool trial, Instant now);
  struct Drawn {
    const cairn::Server* server = nullptr;
    int connections = 0;
    std::size_t sharers = 0;
  };
  std::vector<Drawn> subset(const ServiceName& service, const std::vector<cairn::Server>& servers);
  std::size_t rank(const cairn::Server& server);
  Parts parts_;
  std::map<ServiceName, Pool> pools_;
  std::vector<Candidate> open_;
  std::vector<Candidate> shut_;
  std::vector<Candidate> ill_;
  std::minstd_rand random_;
  struct Edge {
    Drawer who;
    std::uint64_t hash = 0;
  };
  std::vector<Edge> edges_;
  std::unordered_map<InstanceId, std::size_t> ranks_;  // while the fleet stays as it is
  std::uint64_t fleet_ = 0;
};

}  // namespace merlin::trail
