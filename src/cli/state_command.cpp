// state_command: `state save FILE`, `state restore FILE` and `state show FILE`.
#include <iostream>

#include "cli/commands.hpp"
#include "storage/state_snapshot.hpp"

namespace merlingauge::cli {

namespace {
using storage::SnapshotResult;

ExitStatus exitStatusOf(SnapshotResult::Status status) {
  switch (status) {
    case SnapshotResult::Status::ok:
      return ExitStatus::ok;
    case SnapshotResult::Status::inputMissing:
      return ExitStatus::noInput;
    case SnapshotResult::Status::corrupt:
      return ExitStatus::dataError;
    case SnapshotResult::Status::directoryNotEmpty:
      return ExitStatus::cannotCreate;
    case SnapshotResult::Status::directoryInUse:
      return ExitStatus::temporaryFailure;
    case SnapshotResult::Status::outputFailed:
      return ExitStatus::ioError;
  }
  return ExitStatus::software;
}

ExitStatus report(const SnapshotResult& result) {
  if (result.status == SnapshotResult::Status::ok) {
    std::cout << result.message << "\n";
  } else {
    std::cerr << "merlingauge: " << result.message << "\n";
  }
  return exitStatusOf(result.status);
}

void requireDataDirectory(const CommandOptions& options) {
  if (options.dataDirectory.empty()) {
    throw UsageError("--data=DIR is missing: the data directory of the node's settings");
  }
}
}  // namespace

ExitStatus saveState(const CommandOptions& options, const std::string& path) {
  requireDataDirectory(options);
  return report(storage::saveSnapshot(path, options.dataDirectory));
}

ExitStatus restoreState(const CommandOptions& options, const std::string& path) {
  requireDataDirectory(options);
  return report(storage::restoreSnapshot(path, options.dataDirectory, options.force));
}

ExitStatus showState(const std::string& path) { return report(storage::showSnapshot(path)); }

}  // namespace merlingauge::cli
