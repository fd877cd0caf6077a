// command_options: the options of the command line, and the error for a wrong one.
#pragma once

#include <stdexcept>
#include <string>

namespace merlingauge::cli {

/// Values of the command-line options, defaults where an option is not given.
struct CommandOptions {
  std::string logLevel = "information";        ///< --log-level, a name that Poco::Logger knows
  std::string metricsAddress;                  ///< --metrics, PORT/PATH; empty: none
  std::string nodeAddress = "127.0.0.1:8146";  ///< --node, control address of the node to call
  std::string baseRevision = "0";              ///< --base, 0: there is no configuration yet
  std::string dataDirectory;                   ///< --data, empty: not given
  bool force = false;                          ///< --force
};

/// A wrong command line. what() names the option or command and the accepted form.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace merlingauge::cli
