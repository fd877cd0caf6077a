// exit_status: how the program ends, by the names and values of sysexits.h.
#pragma once

#include <cstdint>

namespace merlingauge::cli {

/// Exit status of the process. Scripts of operators rely on the values.
enum class ExitStatus : std::uint8_t {
  ok = 0,
  usage = 64,             ///< wrong command, option or argument
  dataError = 65,         ///< the file given is not valid, or a node rejected it as invalid
  noInput = 66,           ///< the file given can't be read
  unavailable = 69,       ///< the node refused the call or can't be reached
  software = 70,          ///< an error inside this program
  cannotCreate = 73,      ///< state is already there and --force is missing
  ioError = 74,           ///< a file can't be written
  temporaryFailure = 75,  ///< outcome unknown, or the data directory is in use: run it again
  configuration = 78,     ///< the settings are missing or invalid
};

}  // namespace merlingauge::cli
