#include "proxy/retry_budget.hpp"

#include <cmath>

namespace merlingauge::proxy {

namespace {
// Own firsts pay with a part of the ratio, and of the slack only a part is handed out: nodes count
// in windows that slide differently, and a repeat's nested calls count too.
constexpr double kRatioPart = 0.5;
constexpr double kSlackPart = 0.5;
}  // namespace

void RetryBudget::forget(Account& account, TimePoint now) const {
  for (auto* list : {&account.firstAttempts, &account.retries}) {
    while (!list->empty() && now - list->front() > options_.window) list->pop_front();
  }
}

void RetryBudget::onFirstAttempt(const ServiceName& service, TimePoint now) {
  auto& account = accounts_[service];
  forget(account, now);
  account.firstAttempts.push_back(now);
}

bool RetryBudget::tryConsume(const ServiceName& service, TimePoint now) {
  auto& account = accounts_[service];
  forget(account, now);
  const double share = std::floor(options_.slack * kSlackPart / static_cast<double>(nodeCount_));
  const double may =
      options_.ratio * kRatioPart * static_cast<double>(account.firstAttempts.size()) + share;
  if (static_cast<double>(account.retries.size()) + 1 > may) return false;
  account.retries.push_back(now);
  return true;
}

}  // namespace merlingauge::proxy
