#include "request/loads.hpp"

#include <algorithm>
#include <cmath>

namespace merlin::trail {

namespace {
constexpr double kForgetSeconds = 1.0;  // a report loses its weight over about this long
constexpr double kShutFirstMs = 200;
constexpr Span kDoubt = std::chrono::seconds(2);
constexpr double kShutMostMs = 3000;
}  // namespace

void Loads::ended(const InstanceId& id) {
  auto& book = books_[id];
  book.own = std::max(0, book.own - 1);
}

void Loads::reported(const InstanceId& id, double jobs, Instant now) {
  auto& book = books_[id];
  book.others = std::max(0.0, jobs - book.own);
  book.at = now;
}

void Loads::failed(const InstanceId& id, Instant now) {
  auto& book = books_[id];
  const double ms = std::min(kShutMostMs, kShutFirstMs * std::pow(2.0, book.failures));
  book.failures = std::min(book.failures + 1, 8);
  book.shutUntil = now + fromMillis(ms);
}

void Loads::worked(const InstanceId& id) {
  auto& book = books_[id];
  book.failures = 0;
  book.shutUntil = Instant();
}

bool Loads::reachable(const InstanceId& id, Instant now) const {
  const auto it = books_.find(id);
  return it == books_.end() || it->second.shutUntil <= now;
}

bool Loads::doubtful(const InstanceId& id, Instant now) const {
  const auto it = books_.find(id);
  return it != books_.end() && it->second.failures > 0 && now < it->second.shutUntil + kDoubt;
}

double Loads::jobs(const InstanceId& id, Instant now) const {
  const auto it = books_.find(id);
  if (it == books_.end()) return 0;
  const auto& book = it->second;
  const double age = toSeconds(now - book.at);
  return book.own + std::round(book.others * std::exp(-age / kForgetSeconds));
}

}  // namespace merlin::trail
