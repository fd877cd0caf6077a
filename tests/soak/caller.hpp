// caller.hpp: a caller that sends requests of every kind on connections of every kind and checks
// what comes back.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "loopback/response_reader.hpp"
#include "soak/ledger.hpp"

namespace merlingauge::test {

/// Runs on the thread that calls run(). Its requests and its connections follow its seed.
class SoakCaller {
 public:
  /// `name` makes its Attempt-Ids unique; `addresses`: of the nodes that take requests.
  SoakCaller(std::string name, std::vector<std::string> addresses, SoakLedger& ledger,
             std::uint64_t seed);
  /// Sends requests until `stop`.
  void run(const std::atomic<bool>& stop);

 private:
  /// One connection and the requests on it, in their order.
  struct Conversation {
    Poco::Net::StreamSocket socket;
    ResponseReader reader;
    std::deque<SoakRequest> pending;
    std::size_t answered = 0;
    bool http10 = false;
    bool keepAlive = true;
    bool ended = false;
  };

  void converse();
  void sendGroup(Conversation& conversation);
  /// The bytes of a request with this id.
  std::string requestText(const Conversation& conversation, const SoakRequest& request);
  void readAnswers(Conversation& conversation);
  /// Reads what comes within the wait; false where nothing did.
  bool readSome(Conversation& conversation, const Poco::Timespan& wait);
  void takeResponses(Conversation& conversation);
  int draw(int below);

  std::string name_;
  std::vector<std::string> addresses_;
  SoakLedger& ledger_;
  std::mt19937_64 random_;
  std::uint64_t sent_ = 0;
};

}  // namespace merlingauge::test
