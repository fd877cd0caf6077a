#include "proxy/retry_budget.hpp"

#include <cmath>

namespace merlingauge::proxy {

namespace {

// Only half of each term of the bound is spent. The nodes' windows slide differently from those by
// which the bound is judged, and the calls that a retried request makes in turn count as well.
constexpr double kRatioFraction = 0.5;
constexpr double kSlackFraction = 0.5;

void dropBefore(std::deque<TimePoint>& times, TimePoint windowStart) {
  while (!times.empty() && times.front() < windowStart) times.pop_front();
}

}  // namespace

RetryBudget::Account& RetryBudget::currentAccount(const ServiceName& service, TimePoint now) {
  auto& account = accounts_[service];
  const TimePoint windowStart = now - options_.window;
  dropBefore(account.firstAttempts, windowStart);
  dropBefore(account.retries, windowStart);
  return account;
}

// The share of the slack is rounded down, so that the shares of all nodes never exceed it.
double RetryBudget::allowance(const Account& account) const {
  const auto firstAttempts = static_cast<double>(account.firstAttempts.size());
  const double slackShare =
      std::floor(options_.slack * kSlackFraction / static_cast<double>(nodeCount_));
  return options_.ratio * kRatioFraction * firstAttempts + slackShare;
}

void RetryBudget::onFirstAttempt(const ServiceName& service, TimePoint now) {
  currentAccount(service, now).firstAttempts.push_back(now);
}

bool RetryBudget::tryConsume(const ServiceName& service, TimePoint now) {
  auto& account = currentAccount(service, now);
  if (static_cast<double>(account.retries.size()) + 1 > allowance(account)) return false;
  account.retries.push_back(now);
  return true;
}

}  // namespace merlingauge::proxy
