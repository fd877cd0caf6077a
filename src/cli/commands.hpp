// commands: the commands of the program, one function a command, each in its own file.
#pragma once

#include <string>

#include "cli/command_options.hpp"
#include "cli/exit_status.hpp"

namespace merlingauge::cli {

/// Runs a node until SIGTERM or SIGINT stops it; SIGHUP reloads its settings.
ExitStatus runNode(const CommandOptions& options);

/// Checks a settings file or a configuration without starting anything.
ExitStatus checkFile(const std::string& path);

/// Prints the configuration in place, as the node at --node knows it.
ExitStatus getConfig(const CommandOptions& options);
/// Puts a configuration in place, on top of --base.
ExitStatus putConfig(const CommandOptions& options, const std::string& path);

/// Saves the state of the voter at --data as a snapshot file.
ExitStatus saveState(const CommandOptions& options, const std::string& path);
/// Puts a snapshot into the data directory --data; over existing state only with --force.
ExitStatus restoreState(const CommandOptions& options, const std::string& path);
/// Prints the configuration in a snapshot.
ExitStatus showState(const std::string& path);

/// Prints what the node at --node knows, as JSON.
ExitStatus showStatus(const CommandOptions& options);

}  // namespace merlingauge::cli
