#include "version/guestbook.hpp"

#include <algorithm>

namespace merlin::cairn {

using nlohmann::json;

json toJson(const Page& page) {
  json servers = json::array();
  for (const auto& s : page.servers) {
    servers.push_back(json::array({s.id.str(), s.service.str(), s.address, s.zone.str(), s.slots,
                                   static_cast<int>(s.status), s.sequence, s.cold ? 1 : 0}));
  }
  const int flags = (page.node.core ? 1 : 0) + (page.node.leaving ? 2 : 0);
  return json::array({page.node.id.str(), page.node.zone.str(), flags, page.version.life.value,
                      page.version.count, std::move(servers)});
}

Page pageFrom(const json& j) {
  Page page;
  page.node.id = NodeId(j.at(0).get<std::string>());
  page.node.zone = ZoneName(j.at(1).get<std::string>());
  const int flags = j.at(2).get<int>();
  page.node.core = (flags & 1) != 0;
  page.node.leaving = (flags & 2) != 0;
  page.version = {Life{j.at(3).get<std::uint64_t>()}, j.at(4).get<std::uint64_t>()};
  for (const auto& s : j.at(5)) {
    Server server;
    server.id = InstanceId(s.at(0).get<std::string>());
    server.service = ServiceName(s.at(1).get<std::string>());
    server.address = s.at(2).get<std::string>();
    server.zone = ZoneName(s.at(3).get<std::string>());
    server.slots = std::max(1, s.at(4).get<int>());
    const int status = s.at(5).get<int>();
    if (status < 0 || status > 2) throw std::out_of_range("server status");
    server.status = static_cast<Server::Status>(status);
    server.sequence = s.at(6).get<std::uint64_t>();
    server.cold = s.at(7).get<int>() != 0;
    page.servers.push_back(std::move(server));
  }
  return page;
}

json toJson(const Vector& vector) {
  json out = json::object();
  for (const auto& [node, version] : vector) {
    out[node.str()] = json::array({version.life.value, version.count});
  }
  return out;
}

Vector vectorFrom(const json& j) {
  Vector out;
  for (const auto& [node, version] : j.items()) {
    out[NodeId(node)] = {Life{version.at(0).get<std::uint64_t>()},
                         version.at(1).get<std::uint64_t>()};
  }
  return out;
}

Guestbook::Guestbook(NodeFacts self, Life life) : self_(self.id) {
  Page page;
  page.node = std::move(self);
  page.version = {life, 1};
  pages_.emplace(self_, std::move(page));
}

void Guestbook::touched() {
  ++mine().version.count;
  ++changes_;
}

Guestbook::Beat Guestbook::beat(const Server& server, Instant now) {
  auto& servers = mine().servers;
  const auto it = std::find_if(servers.begin(), servers.end(),
                               [&](const Server& s) { return s.id == server.id; });
  if (it == servers.end()) {
    heard_[server.id] = now;
    servers.push_back(server);
    touched();
    return Beat::news;
  }
  if (server.sequence < it->sequence || ended_.contains(server.id)) return Beat::stale;
  heard_[server.id] = now;
  const bool same = it->status == server.status && it->slots == server.slots &&
                    it->address == server.address && it->cold == server.cold &&
                    it->service == server.service;
  it->sequence = server.sequence;
  if (same) return Beat::same;
  // A server that said it drains never comes back within its life.
  const bool drains = it->status == Server::Status::draining;
  *it = server;
  if (drains) it->status = Server::Status::draining;
  touched();
  return Beat::news;
}

bool Guestbook::deregister(const InstanceId& id, Instant now) {
  if (ended_.contains(id)) return false;
  ended_[id] = now;
  auto& servers = mine().servers;
  auto it =
      std::find_if(servers.begin(), servers.end(), [&](const Server& s) { return s.id == id; });
  if (it == servers.end()) {
    Server server;
    if (const auto known = find(id)) server = *known;
    server.id = id;
    it = servers.insert(servers.end(), server);
  }
  it->status = Server::Status::gone;
  ++it->sequence;
  touched();
  return true;
}

bool Guestbook::silence(const InstanceId& id) {
  auto& servers = mine().servers;
  const auto it = std::find_if(servers.begin(), servers.end(), [&](const Server& s) {
    return s.id == id && s.status != Server::Status::gone;
  });
  if (it == servers.end()) return false;
  servers.erase(it);
  heard_.erase(id);
  touched();
  return true;
}

bool Guestbook::expire(Instant now, Span silent, Span forget) {
  std::vector<InstanceId> quiet;
  for (const auto& server : mine().servers) {
    if (ended_.contains(server.id)) {
      if (now - ended_[server.id] > forget) quiet.push_back(server.id);
    } else if (now - heard_[server.id] > silent) {
      quiet.push_back(server.id);
    }
  }
  for (const auto& id : quiet) {
    std::erase_if(mine().servers, [&](const Server& s) { return s.id == id; });
    heard_.erase(id);
    ended_.erase(id);
  }
  if (!quiet.empty()) touched();
  return !quiet.empty();
}

void Guestbook::leave() {
  mine().node.leaving = true;
  touched();
}

bool Guestbook::merge(const Page& page, Instant /*now*/) {
  const auto it = pages_.find(page.node.id);
  if (page.node.id == self_) {
    // Somebody holds a page from an earlier life of this node: step over it.
    auto& own = mine();
    if (page.version.life < own.version.life || page.version == own.version) return false;
    if (page.version.life == own.version.life && page.version.count <= own.version.count) {
      return false;
    }
    own.version.life = Life{page.version.life.value + 1};
    touched();
    return true;
  }
  if (it != pages_.end() && page.version <= it->second.version) return false;
  pages_[page.node.id] = page;
  ++changes_;
  return true;
}

void Guestbook::drop(const NodeId& source) {
  if (source != self_ && pages_.erase(source) > 0) ++changes_;
}

Vector Guestbook::vector() const {
  Vector out;
  for (const auto& [node, page] : pages_) out[node] = page.version;
  return out;
}

std::uint64_t Guestbook::digest() const {
  std::uint64_t sum = 0;
  for (const auto& [node, page] : pages_) {
    sum ^= mixHash(node.str() + "/" + std::to_string(page.version.life.value) + "/" +
                   std::to_string(page.version.count));
  }
  return sum;
}

std::vector<const Page*> Guestbook::newerThan(const Vector& have) const {
  std::vector<const Page*> out;
  for (const auto& [node, page] : pages_) {
    const auto it = have.find(node);
    if (it == have.end() || it->second < page.version) out.push_back(&page);
  }
  return out;
}

std::optional<Server> Guestbook::find(const InstanceId& id) const {
  const Server* best = nullptr;
  for (const auto& [node, page] : pages_) {
    for (const auto& server : page.servers) {
      if (server.id != id) continue;
      if (best == nullptr || std::make_pair(server.status, server.sequence) >
                                 std::make_pair(best->status, best->sequence)) {
        best = &server;
      }
    }
  }
  return best == nullptr ? std::nullopt : std::make_optional(*best);
}

std::vector<Server> Guestbook::available(const ServiceName& service) const {
  std::map<InstanceId, Server> byId;
  for (const auto& [node, page] : pages_) {
    for (const auto& server : page.servers) {
      if (server.service != service) continue;
      auto& slot = byId[server.id];
      if (slot.id.empty() || std::make_pair(server.status, server.sequence) >
                                 std::make_pair(slot.status, slot.sequence)) {
        slot = server;
      }
    }
  }
  std::vector<Server> out;
  for (auto& [id, server] : byId) {
    if (server.status == Server::Status::available) out.push_back(std::move(server));
  }
  return out;
}

Instant Guestbook::lastBeat(const InstanceId& id) const {
  const auto it = heard_.find(id);
  return it == heard_.end() ? Instant() : it->second;
}

}  // namespace merlin::cairn
