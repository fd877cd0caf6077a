// ledger.hpp: what the servers and the callers of a soak run have seen, and what must hold of it.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "loopback/response_reader.hpp"

namespace merlingauge::test {

/// One request of a caller. Its Attempt-Id is used once.
struct SoakRequest {
  std::string id;
  bool nonIdempotent = false;
};

/// The body and the seal of every success of a soak server; the seal tells the whole body, so that
/// a caller can check it without asking the server.
std::string soakBody(const std::string& attemptId, const std::string& instance, std::size_t size);
/// Ends the seal of an answer without a length.
constexpr const char* kSoakUnframed = "unframed";
std::string soakSeal(const std::string& attemptId, const std::string& instance, std::size_t size);

/// Any thread.
class SoakLedger {
 public:
  void onSent(const SoakRequest& request);
  /// A server has begun to work on it.
  void onRun(const std::string& attemptId);
  /// What a caller has read in answer to `request`.
  void onResponse(const SoakRequest& request, const ReceivedResponse& response);
  /// The connection ended, or the caller's patience, without a whole answer.
  void onUnanswered() { count("unanswered"); }
  /// The caller has closed before its answer came.
  void onGivenUp() { count("given up"); }
  void addViolation(const std::string& text);
  /// A fault begins or ends; told beside the violations that come soon after it.
  void onFault(const std::string& text);
  /// Adds to a line of the summary.
  void count(const std::string& line);

  /// Checks what can be told only once nothing runs any more.
  void checkAtEnd();
  /// Prints the counts and the violations; whether there was none and something was answered.
  bool report() const;

 private:
  struct Fate {
    bool nonIdempotent = false;
    int runs = 0;
    bool promisedNotExecuted = false;
    bool succeeded = false;
  };
  /// With the time since the start of the run in front.
  [[nodiscard]] std::string withTime(const std::string& text) const;
  void printEvents() const;
  void checkSuccess(const SoakRequest& request, const ReceivedResponse& response);

  mutable std::mutex mutex_;
  std::map<std::string, Fate> fates_;  // by Attempt-Id
  std::map<std::string, std::uint64_t> counts_;
  std::vector<std::string> events_;  // faults and violations, in their order
  std::size_t violations_ = 0;
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

}  // namespace merlingauge::test
