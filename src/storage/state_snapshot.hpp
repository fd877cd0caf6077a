// state_snapshot: saves a voter's state as one file for an operator to keep, restores and shows it.
//
// What was promised since a snapshot was taken isn't in it. So a voter that is restored starts with
// a new incarnation and recovering: it reads the other voters before it votes, like one that lost
// its disk. What the file holds is no more than a candidate for the register's value.
#pragma once

#include <cstdint>
#include <string>

namespace merlingauge::storage {

/// What a snapshot command tells its caller. The command line turns each status into an exit code.
struct SnapshotResult {
  enum class Status : std::uint8_t {
    ok,
    inputMissing,       ///< the file or the directory to read from isn't there
    corrupt,            ///< it is there, and holds no state of a voter that can be read
    directoryNotEmpty,  ///< the directory to write to holds state already
    outputFailed,       ///< the result can't be written
    directoryInUse,     ///< a running process uses the directory to write to
  };
  Status status = Status::ok;
  std::string message;  ///< for the operator: one line, or the configuration that was asked for
};

/// Saves the state below `dataDirectory` (of a node's settings) as `file`, whole or not at all. The
/// node's process may run meanwhile. Blocks for the copies it takes; `file`.copy is used for them.
SnapshotResult saveSnapshot(const std::string& file, const std::string& dataDirectory);

/// Makes the state in `file` that of the node with this data directory. `force`: also where there
/// is state already, which is then lost. Never while a process uses the directory.
SnapshotResult restoreSnapshot(const std::string& file, const std::string& dataDirectory,
                               bool force);

/// The configuration in `file`, as the operator wrote it.
SnapshotResult showSnapshot(const std::string& file);

}  // namespace merlingauge::storage
