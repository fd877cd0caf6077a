// ingress: stands beside one server. Admits what other nodes send for it, refuses at once what it
// can't take, and carries the rest to the server.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "connection/call.hpp"
#include "connection/guest.hpp"
#include "request/freshness.hpp"
#include "request/turnstile.hpp"
#include "version/guestbook.hpp"

namespace merlin::trail {

struct IngressCounts {
  std::uint64_t admitted = 0;
  std::uint64_t queued = 0;
  std::uint64_t full = 0;
  std::uint64_t notThere = 0;
  std::uint64_t unclear = 0;
};

class Ingress {
 public:
  struct Parts {
    hut::Bell& bell;
    saddle::Ropes& ropes;
    std::string appAddress;
    // What this node itself has heard from that server in this life of the node.
    std::function<std::optional<cairn::Server>(const InstanceId&)> server;
    Span drainTimeout{};
    std::function<void(const InstanceId&)> serverRefuses;  // no connection comes up
    // Tenths of the server's answers that fail: told where it has changed much.
    std::function<void(const InstanceId&, int)> ill;
  };
  explicit Ingress(Parts parts);
  void visit(const saddle::Visit::Ptr& visit);
  // Tells the gate of a new word from a server; draining closes it in time.
  void heard(const cairn::Server& server, Instant now);
  [[nodiscard]] const IngressCounts& counts() const { return counts_; }
  [[nodiscard]] int running() const;
  // A node about to end takes nothing more: whoever asks is told to go elsewhere.
  void refuseAll() { refusing_ = true; }

 private:
  friend class Passage;
  bool refusing_ = false;
  struct Gate {
    explicit Gate(int slots) : turnstile(slots) {}
    Turnstile turnstile;
    std::optional<Instant> closes;  // nothing new is passed on from here on
    std::map<Turnstile::Ticket, std::weak_ptr<class Passage>> waiting;
    hut::Bell::TimerId timer = 0;
    double failing = 0;  // the share of its answers that fail, weighted to the newest
    int ill = 0;         // as last told
    Instant illAt;
  };
  void answered(const InstanceId& id, bool well);
  void move(const InstanceId& id, const Turnstile::Moves& moves);
  void arm(const InstanceId& id, Gate& gate);
  Parts parts_;
  std::map<InstanceId, Gate> gates_;
  Freshness freshness_;
  std::uint64_t tickets_ = 0;
  IngressCounts counts_;
};

}  // namespace merlin::trail
