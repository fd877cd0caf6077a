// toll: the retry budget of one node, its share of the budget that all nodes keep together.
#pragma once

#include <deque>
#include <map>

#include "units.hpp"

namespace merlin::trail {

struct TollTerms {
  double ratio = 0.2;
  double slack = 0;
  Span window = std::chrono::seconds(10);
};

class Toll {
 public:
  explicit Toll(TollTerms terms) : terms_(terms) {}
  void first(const ServiceName& service, Instant now);
  // Pays for one more arrival at the service; false if there is nothing left to pay with.
  bool repeat(const ServiceName& service, Instant now);
  void setNodes(std::size_t nodes) { nodes_ = nodes == 0 ? 1 : nodes; }

 private:
  struct Account {
    std::deque<Instant> firsts;
    std::deque<Instant> repeats;
  };
  void forget(Account& account, Instant now) const;
  TollTerms terms_;
  std::size_t nodes_ = 1;
  std::map<ServiceName, Account> accounts_;
};

}  // namespace merlin::trail
