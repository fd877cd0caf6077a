// request_ledger.hpp: what was observed at the sockets in one case of a loopback test.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace merlingauge::test {

/// A broken promise; the kind is what a mutant test expects to be found.
struct Violation {
  std::string kind;
  std::string description;
  [[nodiscard]] std::string text() const {
    std::string out = kind;
    return out.append(": ").append(description);
  }
};

/// Who received which request how often. Keys of the maps are Attempt-Ids. Event-loop thread.
struct RequestLedger {
  std::size_t heads = 0;                         ///< requests read by servers, whoever's they were
  std::map<std::string, int> runs;               ///< requests that a server accepted as its own
  std::map<std::string, std::set<int>> servers;  ///< the servers that accepted it
  std::map<std::string, std::set<int>> offeredTo;  ///< peers that the bytes were sent to
  std::map<std::string, int> notExecutedProofs;    ///< responses that prove: not run there
  std::map<std::string, int> statuses;             ///< status that the client received
  std::vector<Violation> violations;
  void addViolation(const std::string& kind, const std::string& description) {
    violations.push_back({kind, description});
  }
};

}  // namespace merlingauge::test
