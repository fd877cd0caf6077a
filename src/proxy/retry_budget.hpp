// retry_budget: how many retries and hedged requests one node may send to a service.
#pragma once

#include <cstddef>
#include <deque>
#include <map>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace merlingauge::proxy {

/// The bound that all nodes keep together: in any window, at each service, at most `ratio` x first
/// attempts + `slack` further attempts arrive.
struct RetryBudgetOptions {
  double ratio = 0.2;
  double slack = 0;                            ///< attempts
  Duration window = std::chrono::seconds(10);  ///< sliding
};

/// One node's share of that bound. A state machine: the time is passed in, no call is earlier than
/// the one before. Event-loop thread only; lost with the process.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options) : options_(options) {}
  void onFirstAttempt(const ServiceName& service, TimePoint now);
  /// Spends one further attempt at the service; false, and nothing spent, if none is left.
  bool tryConsume(const ServiceName& service, TimePoint now);
  /// How many nodes share the slack: all that were ever heard of, so that shares only get smaller.
  /// 0 counts as 1.
  void setNodeCount(std::size_t nodes) { nodeCount_ = nodes == 0 ? 1 : nodes; }

 private:
  /// Times of attempts within the window, in order.
  struct Account {
    std::deque<TimePoint> firstAttempts;
    std::deque<TimePoint> retries;  // never more than allowance() when one was added
  };
  Account& currentAccount(const ServiceName& service, TimePoint now);
  [[nodiscard]] double allowance(const Account& account) const;

  RetryBudgetOptions options_;
  std::size_t nodeCount_ = 1;
  std::map<ServiceName, Account> accounts_;
};

}  // namespace merlingauge::proxy
