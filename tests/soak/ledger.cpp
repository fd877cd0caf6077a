// ledger.cpp: what a soak run has seen.
#include "soak/ledger.hpp"

#include <algorithm>
#include <iostream>
#include <sstream>

#include "loopback/test_messages.hpp"

namespace merlingauge::test {

namespace {
constexpr std::size_t kFaultsBeforeViolation = 6;

bool isPromise(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}
}  // namespace

std::string soakBody(const std::string& attemptId, const std::string& instance, std::size_t size) {
  return size == 0 ? "" : repeatedText(attemptId + "@" + instance, size);
}

std::string soakSeal(const std::string& attemptId, const std::string& instance, std::size_t size) {
  return attemptId + " " + instance + " " + std::to_string(size);
}

void SoakLedger::onSent(const SoakRequest& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  fates_[request.id].nonIdempotent = request.nonIdempotent;
  ++counts_["sent"];
}

void SoakLedger::onRun(const std::string& attemptId) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto fate = fates_.find(attemptId);
  if (fate == fates_.end()) {
    events_.push_back(withTime("VIOLATION unasked: a server runs " + attemptId));
    ++violations_;
  } else {
    ++fate->second.runs;
  }
  ++counts_["runs"];
}

void SoakLedger::onResponse(const SoakRequest& request, const ReceivedResponse& response) {
  if (response.ending == ReceivedResponse::Ending::malformed) {
    addViolation("malformed: bytes that are no response to " + request.id);
    return;
  }
  if (response.ending == ReceivedResponse::Ending::brokenOff) {
    count("broken off");
    return;
  }
  count("whole " + std::to_string(response.status));
  if (response.attemptId != request.id) {
    addViolation("other's: " + request.id + " gets the response to " + response.attemptId);
  }
  if (response.status >= 200 && response.status < 300) checkSuccess(request, response);
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& fate = fates_[request.id];
  fate.promisedNotExecuted = isPromise(response.status);
  fate.succeeded = response.status == 200;
}

void SoakLedger::checkSuccess(const SoakRequest& request, const ReceivedResponse& response) {
  std::istringstream seal(response.seal);
  std::string id;
  std::string instance;
  std::size_t size = 0;
  seal >> id >> instance >> size;
  if (!seal || id != request.id) {
    addViolation("mixed: " + request.id + " gets the seal '" + response.seal + "'");
  } else if (response.body != soakBody(id, instance, size)) {
    addViolation("mixed: " + request.id + " gets " + std::to_string(response.body.size()) +
                 " bytes as whole, framed by " + response.framing + ", of '" + response.seal + "'");
  }
}

std::string SoakLedger::withTime(const std::string& text) const {
  using std::chrono::milliseconds;
  const auto passed = std::chrono::steady_clock::now() - start_;
  const auto millis = std::chrono::duration_cast<milliseconds>(passed).count();
  return std::to_string(millis) + " ms " + text;
}

void SoakLedger::addViolation(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  events_.push_back(withTime("VIOLATION " + text));
  ++violations_;
}

void SoakLedger::onFault(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  events_.push_back(withTime(text));
}

void SoakLedger::count(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++counts_[line];
}

void SoakLedger::checkAtEnd() {
  for (const auto& [id, fate] : fates_) {
    if (fate.nonIdempotent && fate.runs > 1) {
      addViolation("twice: " + id + " ran " + std::to_string(fate.runs) + " times");
    }
    if (fate.promisedNotExecuted && fate.nonIdempotent && fate.runs > 0) {
      addViolation("promise: " + id + " was said not to run, and ran");
    }
    if (fate.succeeded && fate.runs == 0) {
      addViolation("made up: " + id + " is a success that no server ran");
    }
  }
}

// Each violation, and the faults that go before it.
void SoakLedger::printEvents() const {
  std::size_t faultsSince = 0;
  for (std::size_t i = 0; i < events_.size(); ++i) {
    if (events_[i].find(" VIOLATION ") == std::string::npos) {
      ++faultsSince;
      continue;
    }
    for (std::size_t f = i - std::min(faultsSince, kFaultsBeforeViolation); f <= i; ++f) {
      std::cout << "  " << events_[f] << "\n";
    }
    faultsSince = 0;
  }
}

bool SoakLedger::report() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [line, count] : counts_) std::cout << "  " << line << ": " << count << "\n";
  std::cout << "  violations: " << violations_ << "\n";
  if (violations_ > 0) printEvents();
  const auto served = counts_.find("whole 200");
  return violations_ == 0 && served != counts_.end() && served->second > 0;
}

}  // namespace merlingauge::test
