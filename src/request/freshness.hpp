// freshness: how long a kept connection of a service may have lain idle and still be trusted.
// Learned from connections that turned out dead or out of step; forgotten after a while.
#pragma once

#include <algorithm>
#include <map>

#include "units.hpp"

namespace merlin::trail {

class Freshness {
 public:
  // A kept connection, idle for `idled`, was found closed when it was used.
  void stale(const ServiceName& service, Span idled, Instant now) {
    narrow(service, std::max(Span(0), idled * 6 / 10), now);
  }
  // An answer on a kept connection was not the one asked for.
  void outOfStep(const ServiceName& service, Instant now) { narrow(service, Span(0), now); }
  [[nodiscard]] Span limit(const ServiceName& service, Span otherwise, Instant now) const {
    const auto it = marks_.find(service);
    if (it == marks_.end() || now >= it->second.until) return otherwise;
    return std::min(otherwise, it->second.most);
  }

 private:
  static constexpr Span kRemember = std::chrono::seconds(8);
  struct Mark {
    Span most{};
    Instant until;
  };
  void narrow(const ServiceName& service, Span most, Instant now) {
    auto& mark = marks_[service];
    mark.most = now < mark.until ? std::min(mark.most, most) : most;
    mark.until = now + kRemember;
  }
  std::map<ServiceName, Mark> marks_;
};

}  // namespace merlin::trail
