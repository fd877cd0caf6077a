// toll: the retry budget of one node, its share of the budget that all nodes keep together.
#pragma once

#include <deque>
#include <map>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace merlingauge::proxy {

struct RetryBudgetOptions {
  double ratio = 0.2;
  double slack = 0;
  Duration window = std::chrono::seconds(10);
};

class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions terms) : options_(terms) {}
  void onFirstAttempt(const ServiceName& service, TimePoint now);
  // Pays for one more arrival at the service; false if there is nothing left to pay with.
  bool tryConsume(const ServiceName& service, TimePoint now);
  void setNodeCount(std::size_t nodes) { nodeCount_ = nodes == 0 ? 1 : nodes; }

 private:
  struct Account {
    std::deque<TimePoint> firstAttempts;
    std::deque<TimePoint> retries;
  };
  void forget(Account& account, TimePoint now) const;
  RetryBudgetOptions options_;
  std::size_t nodeCount_ = 1;
  std::map<ServiceName, Account> accounts_;
};

}  // namespace merlingauge::proxy
