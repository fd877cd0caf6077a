// egress: takes requests from the callers on this machine and carries out what their ascents
// decide, over connections to the nodes beside the servers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "connection/call.hpp"
#include "connection/guest.hpp"
#include "request/ascent.hpp"
#include "request/loads.hpp"
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
    ServiceName callerService;
    ZoneName zone;
    std::uint16_t ingressPort = 0;
    TollTerms toll;
    std::uint64_t seed = 0;
  };
  explicit Egress(Parts parts);
  void visit(const saddle::Visit::Ptr& visit);
  void setNodes(std::size_t nodes) { toll_.setNodes(nodes); }
  void refuseAll(bool on) { refusing_ = on; }
  [[nodiscard]] const EgressCounts& counts() const { return counts_; }
  [[nodiscard]] int inFlight() const { return inFlight_; }

 private:
  friend class Trip;
  std::vector<Candidate> candidates(const ServiceName& service, bool once);
  Parts parts_;
  Wayfinder wayfinder_;
  Toll toll_;
  Loads loads_;
  EgressCounts counts_;
  int inFlight_ = 0;
  bool refusing_ = false;
};

}  // namespace merlin::trail
