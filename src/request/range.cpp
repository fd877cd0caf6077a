#include "request/range.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <cmath>

namespace merlin::trail {

namespace {
constexpr std::size_t kRead = 24;  // so many of each side are looked at for one choice
constexpr SubsetTerms kSubset{12, 4};
constexpr double kRoomForSwing = 0.85;  // of what a server takes, while edges come and go
constexpr double kShunnedMost = 1.0 / 3;
constexpr double kRoomWithout = 0.7;    // of a near server's slots: then the ill can be spared
constexpr int kShunFrom = 3;            // tenths of the answers that fail
constexpr std::uint32_t kTrialIn = 10;  // one choice in so many may try a shunned one

double holders(double edges, double drawn, double servers) {
  if (servers <= 0) return 0;
  const double mean = edges * std::min(1.0, drawn / servers);
  return drawn >= servers ? edges : std::min(edges, mean + 3 * std::sqrt(mean) + 1);
}
}  // namespace

Share shareOf(std::size_t nearServers, std::size_t farServers, std::size_t nearEdges,
              std::size_t allEdges, int maxConnections, const SubsetTerms& terms) {
  Share out{std::min(nearServers, terms.nearMost), std::min(farServers, terms.farMost), 0};
  if (nearServers == 0) out.far = std::min(farServers, terms.nearMost);
  if (maxConnections <= 0) return out;
  const auto farEdges = static_cast<double>(allEdges - std::min(allEdges, nearEdges));
  const double room = maxConnections * kRoomForSwing;
  for (;;) {
    // A server is near to its own zone's edges and far to all others.
    const double hold =
        holders(static_cast<double>(nearEdges), static_cast<double>(out.near),
                static_cast<double>(nearServers)) +
        holders(farEdges, static_cast<double>(out.far), static_cast<double>(farServers));
    out.connections = static_cast<int>(room / std::max(1.0, hold));
    if (out.connections >= 1) return out;
    if (out.far > 0) {
      --out.far;
    } else if (out.near > 1) {
      --out.near;
    } else {
      out.connections = 1;
      return out;
    }
  }
}

void Range::fleet(std::size_t nearEdges, std::size_t allEdges) {
  if (nearEdges == nearEdges_ && allEdges == allEdges_) return;
  nearEdges_ = nearEdges;
  allEdges_ = allEdges;
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
  std::vector<std::pair<std::uint64_t, const cairn::Server*>> near;
  std::vector<std::pair<std::uint64_t, const cairn::Server*>> far;
  for (const auto& server : servers) {
    (server.zone == parts_.zone ? near : far)
        .emplace_back(mixHash(parts_.self.str() + ">" + server.id.str()), &server);
  }
  std::size_t nearMost = near.size();
  std::size_t farMost = far.size();
  pool.connections = 0;
  if (parts_.subset) {
    const auto share = shareOf(near.size(), far.size(), nearEdges_, allEdges_,
                               parts_.maxConnections(service), kSubset);
    nearMost = share.near;
    farMost = share.far;
    pool.connections = share.connections;
  }
  const auto take = [&](auto& list, std::size_t most, bool isNear, std::vector<Peak>& out) {
    std::sort(list.begin(), list.end(),
              [](const auto& a, const auto& b) { return a.first > b.first; });
    list.resize(std::min(list.size(), most));
    for (const auto& [weight, server] : list) {
      Peak peak;
      try {
        peak.at = parts_.approach.address(*server);
      } catch (const Poco::Exception&) {
        continue;  // no address that anything can be sent to
      }
      peak.id = server->id;
      peak.life = parts_.approach.life(server->id);
      peak.slots = server->slots;
      peak.near = isNear;
      peak.shunned = server->ill >= kShunFrom;
      peak.book = &parts_.loads.book(server->id);
      out.push_back(std::move(peak));
    }
  };
  take(near, nearMost, true, pool.near);
  take(far, farMost, false, pool.far);
  shun(pool);
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

void Range::look(std::vector<Peak>& from, const Pool& pool, bool once, bool trial, Instant now) {
  const std::size_t n = from.size();
  const std::size_t reads = std::min(n, kRead);
  const std::size_t first = reads < n ? random_() % n : 0;
  const auto most = static_cast<std::size_t>(kShunnedMost * static_cast<double>(n));
  std::size_t left = 0;
  for (std::size_t i = 0; i < reads; ++i) {
    const auto& peak = from[(first + i) % n];
    const auto& book = *peak.book;
    if (pool.connections > 0 && book.own >= pool.connections) continue;
    const Candidate candidate{&peak.id, &peak, Loads::jobs(book, now), peak.slots, peak.near};
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
  look(from.near, from, once, trial, now);
  look(from.far, from, once, trial, now);
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
    view.connections = pool.connections;
    for (const auto* list : {&pool.near, &pool.far}) {
      for (const auto& peak : *list) {
        if (peak.shunned || Loads::ejected(*peak.book, now)) ++view.ejected;
      }
    }
  }
  return out;
}

}  // namespace merlin::trail
