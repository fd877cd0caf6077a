// The scenario runner: simulated time, one queue of events, seeded luck. A scenario is a small text
// file; its first word names the world that plays it.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace merlingauge::test {

struct Line {
  int number = 0;
  std::string text;
  std::vector<std::string> words;
};

struct Scenario {
  std::string name;
  std::vector<Line> lines;
};

// Thrown by `expect` lines and by the worlds' own checks.
struct Broken {
  std::string what;
};

inline void require(bool ok, const std::string& what) {
  if (!ok) throw Broken{what};
}

class Clock {
 public:
  explicit Clock(std::uint64_t seed) : random(seed) {}
  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] double ms() const { return toMillis(now_.time_since_epoch()); }
  void at(TimePoint when, std::function<void()> work) {
    events_.emplace(std::make_pair(std::max(when, now_), next_++), std::move(work));
  }
  void after(double ms, std::function<void()> work) { at(now_ + fromMillis(ms), std::move(work)); }
  void runUntil(double endMs) {
    const TimePoint end = TimePoint(fromMillis(endMs));
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto first = events_.extract(events_.begin());
      now_ = first.key().first;
      first.mapped()();
    }
    now_ = end;
  }
  double uniform(double a, double b) {
    return std::uniform_real_distribution<double>(a, b)(random);
  }
  bool chance(double p) { return uniform(0, 1) < p; }
  std::mt19937_64 random;

 private:
  TimePoint now_{};
  std::uint64_t next_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_;
};

// `name value` pairs of a scenario, with a default.
double number(const Scenario& scenario, const std::string& key, double otherwise);
std::vector<const Line*> linesOf(const Scenario& scenario, const std::string& first);
// expect NAME (>=|<=|==) NUMBER, against what the world measured.
void checkExpectations(const Scenario& scenario, const std::map<std::string, double>& measured);

void playRegister(const Scenario& scenario, std::uint64_t seed, std::map<std::string, double>& out);
void playPath(const Scenario& scenario, std::uint64_t seed, std::map<std::string, double>& out);
void playBank(const Scenario& scenario, std::uint64_t seed, std::map<std::string, double>& out);
void playNews(const Scenario& scenario, std::uint64_t seed, std::map<std::string, double>& out);
void playDisk(const Scenario& scenario, std::uint64_t seed, std::map<std::string, double>& out);
void playRange(const Scenario& scenario, std::uint64_t seed, std::map<std::string, double>& out);
void playExplore(const Scenario& scenario, std::map<std::string, double>& out);
void playText(const Scenario& scenario);

}  // namespace merlingauge::test
