#include "request/range.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <functional>
#include <tuple>

namespace merlin::trail {

namespace {
constexpr std::size_t kRead = 24;  // so many of each side are looked at for one choice
constexpr SubsetTerms kSubset{8, 3};
constexpr double kLeastPart = 0.5;  // of the mean: no edge draws from fewer
constexpr std::size_t kRanksKept = 4096;
constexpr double kRoomForSwing = 0.85;  // of what a server takes, while edges come and go
constexpr double kShunnedMost = 1.0 / 3;
constexpr double kRoomWithout = 0.7;    // of a near server's slots: then the ill can be spared
constexpr int kShunFrom = 3;            // tenths of the answers that fail
constexpr std::uint32_t kTrialIn = 10;  // one choice in so many may try a shunned one

// So many of `edges` draw from one server that each of them has `wanted` servers.
std::size_t holders(const Crowd& crowd, std::size_t wanted) {
  if (crowd.servers == 0 || crowd.edges == 0) return 0;
  return std::min(crowd.edges, (wanted * crowd.edges + crowd.servers - 1) / crowd.servers);
}
}  // namespace

Share shareOf(const Crowd& near, const Crowd& far, int maxConnections, const SubsetTerms& terms) {
  Share out{holders(near, terms.near), holders(far, terms.far), 0};
  if (maxConnections <= 0) return out;
  const auto room =
      std::max<std::size_t>(1, static_cast<std::size_t>(maxConnections * kRoomForSwing));
  if (out.near + out.far > room) {
    out.near = std::min(out.near, room);
    out.far = std::min(out.far, room - out.near);
  }
  out.connections = static_cast<int>(room / std::max<std::size_t>(1, out.near + out.far));
  return out;
}

void Range::fleet(std::vector<Drawer> edges) {
  const auto same = [](const Edge& a, const Drawer& b) { return a.who == b; };
  if (std::equal(edges_.begin(), edges_.end(), edges.begin(), edges.end(), same)) return;
  edges_.clear();
  for (auto& edge : edges) {
    const auto hash = mixHash(edge.id.str());
    edges_.push_back({std::move(edge), hash});
  }
  ranks_.clear();
  ++fleet_;
}

Range::Pool& Range::pool(const ServiceName& service) {
  auto& pool = pools_[service];
  if (pool.changes != parts_.guestbook.changes(service) || pool.fleet != fleet_ ||
      pool.generation != parts_.loads.generation()) {
    rebuild(service, pool);
  }
  return pool;
}

void Range::rebuild(const ServiceName& service, Pool& pool) {
  pool.changes = parts_.guestbook.changes(service);
  pool.fleet = fleet_;
  pool.generation = parts_.loads.generation();
  pool.near.clear();
  pool.far.clear();
  auto servers = parts_.guestbook.usable(service);
  pool.known = servers.size();
  std::vector<Drawn> drawn;
  if (parts_.subset) {
    drawn = subset(service, servers);
  } else {
    for (const auto& server : servers) drawn.push_back({&server, 0, 0});
  }
  for (const auto& [server, connections, sharers] : drawn) {
    Peak peak;
    try {
      peak.at = parts_.approach.address(*server);
    } catch (const Poco::Exception&) {
      continue;  // no address that anything can be sent to
    }
    peak.id = server->id;
    peak.life = parts_.approach.life(server->id);
    peak.slots = server->slots;
    peak.near = server->zone == parts_.zone;
    peak.connections = connections;
    peak.sharers = sharers;
    peak.shunned = server->ill >= kShunFrom;
    peak.book = &parts_.loads.book(server->id);
    (peak.near ? pool.near : pool.far).push_back(std::move(peak));
  }
  shun(pool);
}

// This node's place in the server's own order of the edges on its side: those of the server's zone,
// or all others.
std::size_t Range::rank(const cairn::Server& server) {
  const auto [it, fresh] = ranks_.try_emplace(server.id, 0);
  if (!fresh) return it->second;
  const bool near = server.zone == parts_.zone;
  const auto own = mixHash(server.id.str(), mixHash(parts_.self.str()));
  for (const auto& edge : edges_) {
    if ((edge.who.zone == server.zone) != near) continue;
    if (mixHash(server.id.str(), edge.hash) > own) ++it->second;
  }
  return it->second;
}

std::vector<Range::Drawn> Range::subset(const ServiceName& service,
                                        const std::vector<cairn::Server>& servers) {
  if (ranks_.size() > kRanksKept) ranks_.clear();
  std::map<ZoneName, Crowd> crowds;
  for (const auto& server : servers) ++crowds[server.zone].servers;
  for (const auto& edge : edges_) ++crowds[edge.who.zone].edges;
  const int most = parts_.maxConnections(service);
  std::map<ZoneName, Share> shares;
  double mean = 0;  // how many servers an edge of this zone draws from
  for (const auto& [zone, near] : crowds) {
    const Crowd far{servers.size() - near.servers, edges_.size() - near.edges};
    const auto& share = shares[zone] = shareOf(near, far, most, kSubset);
    const bool own = zone == parts_.zone;
    const auto edges = static_cast<double>(std::max<std::size_t>(1, own ? near.edges : far.edges));
    mean += static_cast<double>((own ? share.near : share.far) * near.servers) / edges;
  }
  std::vector<Drawn> out;
  std::vector<Drawn> others;
  for (const auto& server : servers) {
    const auto& share = shares[server.zone];
    const bool near = server.zone == parts_.zone;
    // Edges of other zones come only while those of its own have filled theirs.
    const Drawn one{&server, share.connections, share.near - (near && share.near > 0 ? 1 : 0)};
    (rank(server) < (near ? share.near : share.far) ? out : others).push_back(one);
  }
  // Luck may leave an edge with few or none: it adds some in its own order.
  // One whose zone has no server of the service lives by the others' and takes as many of them.
  const bool alone = crowds[parts_.zone].servers == 0;
  const auto least =
      alone ? kSubset.near : static_cast<std::size_t>(std::max(1.0, mean * kLeastPart));
  if (out.size() >= least) return out;
  std::vector<std::tuple<bool, std::uint64_t, std::size_t>> order;
  for (std::size_t i = 0; i < others.size(); ++i) {
    const auto& server = *others[i].server;
    order.emplace_back(server.zone == parts_.zone,
                       mixHash(parts_.self.str() + ">" + server.id.str()), i);
  }
  const auto missing = std::min(order.size(), least - out.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(missing),
                    order.end(), std::greater<>());
  for (std::size_t i = 0; i < missing; ++i) out.push_back(others[std::get<2>(order[i])]);
  return out;
}

// Only as many are shunned as the rest can do without.
void Range::shun(Pool& pool) const {
  const auto most = static_cast<std::size_t>(
      kShunnedMost * static_cast<double>(pool.near.size() + pool.far.size()));
  std::size_t shunned = 0;
  for (auto* list : {&pool.near, &pool.far}) {
    for (auto& peak : *list) {
      if (peak.shunned && ++shunned > most) peak.shunned = false;
    }
  }
}

void Range::look(std::vector<Peak>& from, bool once, bool trial, Instant now) {
  const std::size_t n = from.size();
  const std::size_t reads = std::min(n, kRead);
  const std::size_t first = reads < n ? random_() % n : 0;
  const auto most = static_cast<std::size_t>(kShunnedMost * static_cast<double>(n));
  std::size_t left = 0;
  for (std::size_t i = 0; i < reads; ++i) {
    const auto& peak = from[(first + i) % n];
    const auto& book = *peak.book;
    if (peak.connections > 0 && book.own >= peak.connections) continue;
    const double steady =
        peak.sharers == 0 ? 0 : static_cast<double>(peak.sharers) * Loads::mean(book, now);
    const Candidate candidate{&peak.id, &peak,      Loads::jobs(book, now),
                              steady,   peak.slots, peak.near};
    bool open = Loads::reachable(book, now) && !(once && Loads::doubtful(book, now));
    if (open && peak.shunned && !trial) {
      ill_.push_back(candidate);
      continue;
    }
    if (open && Loads::ejected(book, now) && left < most) {
      ++left;
      open = false;
    }
    (open ? open_ : shut_).push_back(candidate);
  }
}

const std::vector<Candidate>& Range::candidates(const ServiceName& service, bool once,
                                                Instant now) {
  auto& from = pool(service);
  open_.clear();
  shut_.clear();
  ill_.clear();
  const bool trial = !once && random_() % kTrialIn == 0;
  look(from.near, once, trial, now);
  look(from.far, once, trial, now);
  // Under load a server that fails at times is better than none with a free slot: the failures
  // may well be the load's own.
  const bool room = std::any_of(open_.begin(), open_.end(), [](const Candidate& candidate) {
    return candidate.hasRoomNear(kRoomWithout);
  });
  if (!room) open_.insert(open_.end(), ill_.begin(), ill_.end());
  // With nobody known to be in reach, those found out of reach are worth another try.
  return open_.empty() ? shut_ : open_;
}

std::map<ServiceName, Range::View> Range::view(Instant now) const {
  std::map<ServiceName, View> out;
  for (const auto& [service, pool] : pools_) {
    auto& view = out[service];
    view.inRange = pool.near.size() + pool.far.size();
    view.known = pool.known;
    for (const auto* list : {&pool.near, &pool.far}) {
      for (const auto& peak : *list) {
        const bool fewest = view.connections == 0 || peak.connections < view.connections;
        if (peak.connections > 0 && fewest) view.connections = peak.connections;
        if (peak.shunned || Loads::ejected(*peak.book, now)) ++view.ejected;
      }
    }
  }
  return out;
}

}  // namespace merlin::trail
