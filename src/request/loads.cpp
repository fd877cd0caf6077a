#include "request/loads.hpp"

#include <algorithm>
#include <cmath>

namespace merlin::trail {

namespace {
constexpr double kForgetSeconds = 1.0;  // a report loses its weight over about this long
constexpr double kMeanSeconds = 3;      // of one's own requests at a server, for the others'
constexpr double kShutFirstMs = 200;
constexpr Span kDoubt = std::chrono::seconds(2);
constexpr double kShutMostMs = 3000;
constexpr double kWeight = 0.2;    // of the newest answer in the share that fails
constexpr double kEjectAt = 0.35;  // two failures close together
constexpr double kAfterTrial = 0.2;
constexpr double kEjectFirstMs = 1500;
constexpr int kEjectSteps = 3;
constexpr Span kForgetBook = std::chrono::seconds(60);
}  // namespace

void Loads::began(const InstanceId& id, Instant now) {
  auto& book = books_[id];
  count(book, 1, now);
  book.used = now;
  // The first to go there after an ejection is the trial: nobody else until it is back.
  if (book.ejections > 0 && book.ejectedUntil != Instant()) {
    book.ejectedUntil = std::max(book.ejectedUntil, now + fromMillis(kEjectFirstMs));
  }
}

void Loads::ended(const InstanceId& id, Instant now) { count(books_[id], -1, now); }

void Loads::count(Book& book, int by, Instant now) {
  book.mean = mean(book, now);
  book.meanAt = now;
  book.own = std::max(0, book.own + by);
}

double Loads::mean(const Book& book, Instant now) {
  const double kept = std::exp(-toSeconds(now - book.meanAt) / kMeanSeconds);
  return book.own + (book.mean - book.own) * kept;
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

void Loads::answered(const InstanceId& id, bool well, Instant now) {
  auto& book = books_[id];
  book.failing += kWeight * ((well ? 0.0 : 1.0) - book.failing);
  if (book.ejectedUntil != Instant()) {
    if (well) {
      // The trial went well: back, and watched.
      book.ejectedUntil = Instant();
      book.failing = std::min(book.failing, kAfterTrial);
      return;
    }
  } else if (well || book.failing < kEjectAt) {
    if (well && book.failing < 0.02) book.ejections = 0;
    return;
  }
  const double ms = kEjectFirstMs * std::pow(2.0, std::min(book.ejections, kEjectSteps));
  ++book.ejections;
  book.ejectedUntil = now + fromMillis(ms);
}

void Loads::sweep(Instant now) {
  const auto before = books_.size();
  std::erase_if(books_, [&](const auto& entry) {
    return entry.second.own == 0 && now - entry.second.used > kForgetBook;
  });
  if (books_.size() != before) ++generation_;
}

bool Loads::doubtful(const Book& book, Instant now) {
  return book.failures > 0 && now < book.shutUntil + kDoubt;
}

bool Loads::ejected(const Book& book, Instant now) { return now < book.ejectedUntil; }

double Loads::jobs(const Book& book, Instant now) {
  if (book.others <= 0) return book.own;
  const double age = toSeconds(now - book.at);
  return book.own + std::round(book.others * std::exp(-age / kForgetSeconds));
}

}  // namespace merlin::trail
