// range: the servers that this node draws from, per service, kept until the list of servers or the
// fleet changes. A gateway's edge draws from a stable subset by rendezvous hashing.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <cstddef>
#include <map>
#include <random>
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
  bool shunned = false;  // its answers fail far more often than the others'
  Loads::Book* book = nullptr;
};

struct SubsetTerms {
  std::size_t nearMost = 0;  // 0: all
  std::size_t farMost = 0;
};

// How many connections one edge may hold to one server, and how many servers it draws from, so
// that all edges together keep within what the server takes.
struct Share {
  std::size_t near = 0;
  std::size_t far = 0;
  int connections = 0;  // to one server; 0: no bound
};
Share shareOf(std::size_t nearServers, std::size_t farServers, std::size_t nearEdges,
              std::size_t allEdges, int maxConnections, const SubsetTerms& terms);

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
  // The fleet of edges has changed.
  void fleet(std::size_t nearEdges, std::size_t allEdges);

  struct View {
    std::size_t inRange = 0;
    std::size_t known = 0;
    std::size_t ejected = 0;
    int connections = 0;
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
    int connections = 0;
  };
  Pool& pool(const ServiceName& service);
  void rebuild(const ServiceName& service, Pool& pool);
  void shun(Pool& pool) const;
  void look(std::vector<Peak>& from, const Pool& pool, bool once, bool trial, Instant now);
  Parts parts_;
  std::map<ServiceName, Pool> pools_;
  std::vector<Candidate> open_;
  std::vector<Candidate> shut_;
  std::vector<Candidate> ill_;
  std::minstd_rand random_;
  std::size_t nearEdges_ = 1;
  std::size_t allEdges_ = 1;
  std::uint64_t fleet_ = 0;
};

}  // namespace merlin::trail
