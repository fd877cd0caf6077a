#include "request/toll.hpp"

#include <cmath>

namespace merlin::trail {

namespace {
// Own firsts pay with a part of the ratio, and of the slack only a part is handed out: nodes count
// in windows that slide differently, and a repeat's nested calls count too.
constexpr double kRatioPart = 0.5;
constexpr double kSlackPart = 0.5;
}  // namespace

void Toll::forget(Account& account, Instant now) const {
  for (auto* list : {&account.firsts, &account.repeats}) {
    while (!list->empty() && now - list->front() > terms_.window) list->pop_front();
  }
}

void Toll::first(const ServiceName& service, Instant now) {
  auto& account = accounts_[service];
  forget(account, now);
  account.firsts.push_back(now);
}

bool Toll::repeat(const ServiceName& service, Instant now) {
  auto& account = accounts_[service];
  forget(account, now);
  const double share = std::floor(terms_.slack * kSlackPart / static_cast<double>(nodes_));
  const double may = terms_.ratio * kRatioPart * static_cast<double>(account.firsts.size()) + share;
  if (static_cast<double>(account.repeats.size()) + 1 > may) return false;
  account.repeats.push_back(now);
  return true;
}

}  // namespace merlin::trail
