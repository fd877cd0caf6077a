// play.hpp: checks and main of the programs that are not GoogleTest programs yet; docs/TEST-PORT.md
// names them.
#pragma once

#include <iostream>
#include <set>
#include <string>
#include <vector>

#include "loopback/http_client.hpp"
#include "loopback/node_processes.hpp"
#include "loopback/polling.hpp"
#include "loopback/stand_in_server.hpp"

namespace merlingauge::test {

struct Failure {
  std::string what;
};

inline void require(bool ok, const std::string& what) {
  if (!ok) throw Failure{what};
  std::cout << "ok: " << what << "\n";
}

/// Requires that `test` holds within the limit of becomesTrue.
template <class Test>
void eventually(const std::string& what, Test test) {
  require(becomesTrue(test), what);
}

template <class Play>
int runPlay(int argc, char** argv, Play play) {
  if (argc != 2) return 2;
  try {
    play(argv[1]);
    return 0;
  } catch (const Failure& failure) {
    std::cerr << "FAILED: " << failure.what << "\n";
  } catch (const Poco::Exception& problem) {
    std::cerr << "FAILED: " << problem.displayText() << "\n";
  }
  return 1;
}

}  // namespace merlingauge::test
