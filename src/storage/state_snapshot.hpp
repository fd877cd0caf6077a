// snapshot: a voter's state as one file, for an operator to keep and to put back. One line of JSON
// (what it is, whose, sizes, checksum), then the head and the text as they are on the disk.
//
// What was promised since a snapshot was taken isn't in it. So a voter that is put back starts with
// a new life and asleep, and reads the others first, like one that lost its disk; what the file
// holds is no more than a candidate.
#pragma once

#include <optional>
#include <string>

#include "storage/durable_store.hpp"

namespace merlingauge::storage {

struct SnapshotResult {
  enum class Status : std::uint8_t {
    ok,
    inputMissing,
    corrupt,
    directoryNotEmpty,
    outputFailed,
    directoryInUse
  };
  Status status = Status::ok;
  std::string message;  // one line for the operator
};

// The file's bytes; reading them back names what is wrong.
std::string encodeSnapshot(const DurableStore::StoredState& record);
std::optional<DurableStore::StoredState> decodeSnapshot(const std::string& bytes,
                                                        std::string& problem);

// `data` is the data directory of a node's settings. The process may run meanwhile.
SnapshotResult saveSnapshot(const std::string& file, const std::string& data);
// `force`: also where state is; it is lost. Never while a process runs there.
SnapshotResult restoreSnapshot(const std::string& file, const std::string& data, bool force);
// The configuration in it, as the operator wrote it.
SnapshotResult showSnapshot(const std::string& file);

}  // namespace merlingauge::storage
