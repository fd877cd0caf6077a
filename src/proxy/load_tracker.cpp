#include "proxy/load_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace merlingauge::proxy {

namespace {
constexpr double kForgetSeconds = 1.0;  // a report loses its weight over about this long
constexpr double kMeanSeconds = 3;      // of one's own requests at a server, for the others'
constexpr double kShutFirstMs = 200;
constexpr Duration kDoubt = std::chrono::seconds(2);
constexpr double kShutMostMs = 3000;
constexpr double kWeight = 0.2;    // of the newest answer in the share that fails
constexpr double kEjectAt = 0.35;  // two failures close together
constexpr double kAfterTrial = 0.2;
constexpr double kEjectFirstMs = 1500;
constexpr int kEjectSteps = 3;
constexpr Duration kForgetBook = std::chrono::seconds(60);
}  // namespace

void LoadTracker::onRequestStarted(const InstanceId& id, TimePoint now) {
  auto& book = loads_[id];
  count(book, 1, now);
  book.usedAt = now;
  // The first to go there after an ejection is the trial: nobody else until it is back.
  if (book.ejections > 0 && book.ejectedUntil != TimePoint()) {
    book.ejectedUntil = std::max(book.ejectedUntil, now + fromMillis(kEjectFirstMs));
  }
}

void LoadTracker::onRequestEnded(const InstanceId& id, TimePoint now) {
  count(loads_[id], -1, now);
}

void LoadTracker::count(EndpointLoad& book, int by, TimePoint now) {
  book.averageOwn = averageOwnLoad(book, now);
  book.averagedAt = now;
  book.ownRequests = std::max(0, book.ownRequests + by);
}

double LoadTracker::averageOwnLoad(const EndpointLoad& book, TimePoint now) {
  const double kept = std::exp(-toSeconds(now - book.averagedAt) / kMeanSeconds);
  return book.ownRequests + (book.averageOwn - book.ownRequests) * kept;
}

void LoadTracker::onLoadReported(const InstanceId& id, double jobs, TimePoint now) {
  auto& book = loads_[id];
  book.otherRequests = std::max(0.0, jobs - book.ownRequests);
  book.reportedAt = now;
}

void LoadTracker::onUnreachable(const InstanceId& id, TimePoint now) {
  auto& book = loads_[id];
  const double ms = std::min(kShutMostMs, kShutFirstMs * std::pow(2.0, book.failures));
  book.failures = std::min(book.failures + 1, 8);
  book.unreachableUntil = now + fromMillis(ms);
}

void LoadTracker::onReachable(const InstanceId& id) {
  auto& book = loads_[id];
  book.failures = 0;
  book.unreachableUntil = TimePoint();
}

void LoadTracker::onResponse(const InstanceId& id, bool well, TimePoint now) {
  auto& book = loads_[id];
  book.failureRate += kWeight * ((well ? 0.0 : 1.0) - book.failureRate);
  if (book.ejectedUntil != TimePoint()) {
    if (well) {
      // The trial went well: back, and watched.
      book.ejectedUntil = TimePoint();
      book.failureRate = std::min(book.failureRate, kAfterTrial);
      return;
    }
  } else if (well || book.failureRate < kEjectAt) {
    if (well && book.failureRate < 0.02) book.ejections = 0;
    return;
  }
  const double ms = kEjectFirstMs * std::pow(2.0, std::min(book.ejections, kEjectSteps));
  ++book.ejections;
  book.ejectedUntil = now + fromMillis(ms);
}

void LoadTracker::expireUnused(TimePoint now) {
  const auto before = loads_.size();
  std::erase_if(loads_, [&](const auto& entry) {
    return entry.second.ownRequests == 0 && now - entry.second.usedAt > kForgetBook;
  });
  if (loads_.size() != before) ++generation_;
}

bool LoadTracker::isDoubtful(const EndpointLoad& book, TimePoint now) {
  return book.failures > 0 && now < book.unreachableUntil + kDoubt;
}

bool LoadTracker::isEjected(const EndpointLoad& book, TimePoint now) {
  return now < book.ejectedUntil;
}

double LoadTracker::estimatedLoad(const EndpointLoad& book, TimePoint now) {
  if (book.otherRequests <= 0) return book.ownRequests;
  const double age = toSeconds(now - book.reportedAt);
  return book.ownRequests + std::round(book.otherRequests * std::exp(-age / kForgetSeconds));
}

}  // namespace merlingauge::proxy
