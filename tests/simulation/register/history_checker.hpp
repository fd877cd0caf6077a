// history_checker: the history of calls must be explained by one order of changes.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "simulation/register/call.hpp"

namespace merlingauge::test::register_world {

/// Linearizability of the register, and what an answer promises about a change.
class HistoryChecker {
 public:
  /// Throws Broken at the first violation.
  void check(const std::vector<CallPtr>& calls);
  void report(std::map<std::string, double>& measured) const;

 private:
  static void checkRivals(const std::vector<CallPtr>& calls);
  static void checkRealTimeOrder(const std::vector<CallPtr>& calls);
  static void checkOneValuePerSequence(const std::vector<CallPtr>& calls);
  void collectCommitted(const std::vector<CallPtr>& calls);
  void checkAnswers(const std::vector<CallPtr>& calls) const;

  std::map<std::int64_t, std::uint64_t> changeByRevision_;  ///< digests of what was ever in force
  std::map<std::uint64_t, std::int64_t> baseByChange_;      ///< the revision it was built on
};

}  // namespace merlingauge::test::register_world
