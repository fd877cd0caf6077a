// egress: takes requests from callers and carries out what their ascents decide, over connections
// to the nodes beside the servers or, in a gateway, to the servers themselves.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "connection/call.hpp"
#include "connection/guest.hpp"
#include "request/approach.hpp"
#include "request/ascent.hpp"
#include "request/freshness.hpp"
#include "request/loads.hpp"
#include "request/range.hpp"
#include "version/chart.hpp"
#include "version/guestbook.hpp"

namespace merlin::trail {

struct EgressCounts {
  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t hops = 0;
  std::uint64_t samples = 0;
};

class Egress {
 public:
  struct Parts {
    hut::Bell& bell;
    saddle::Ropes& ropes;
    const cairn::Guestbook& guestbook;
    std::function<cairn::Chart::Ptr()> chart;
    std::function<bool()> current;  // the configuration here is as new as anyone's
    std::unique_ptr<Approach> approach;
    ServiceName callerService;  // of requests that begin on this machine; empty: of none
    NodeId self;
    ZoneName zone;
    bool gateway = false;
    TollTerms toll;
    std::uint64_t seed = 0;
  };
  explicit Egress(Parts parts);
  void visit(const saddle::Visit::Ptr& visit);
  // May this request run before those ahead of it on its connection are answered?
  [[nodiscard]] bool mayRunAhead(const saddle::Visit& visit) const;
  // Nodes that carry traffic, and how many were ever heard of.
  void setFleet(std::vector<Drawer> nodes, std::size_t ever) {
    toll_.setNodes(ever);
    range_.fleet(std::move(nodes));
  }
  void sweep(Instant now) { loads_.sweep(now); }
  [[nodiscard]] auto view(Instant now) const { return range_.view(now); }
  void refuseAll(bool on) { refusing_ = on; }
  [[nodiscard]] const EgressCounts& counts() const { return counts_; }
  [[nodiscard]] int inFlight() const { return inFlight_; }

 private:
  friend class Trip;
  const cairn::Route* routeOf(const saddle::Visit& visit, const cairn::Chart& chart) const;
  Parts parts_;
  Wayfinder wayfinder_;
  Toll toll_;
  Loads loads_;
  Range range_;
  Freshness freshness_;
  EgressCounts counts_;
  int inFlight_ = 0;
  bool refusing_ = false;
};

}  // namespace merlin::trail
