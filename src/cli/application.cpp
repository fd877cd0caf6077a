#include "cli/application.hpp"

#include <Poco/Util/HelpFormatter.h>
#include <Poco/Util/Option.h>

#include <iostream>

#include "cli/commands.hpp"

namespace merlingauge::cli {

namespace {
using Poco::Util::Option;

constexpr int kHelpWidth = 100;  // columns, so that no line of the list of commands is wrapped

constexpr const char* kCommands =
    "\nCommands:\n"
    "  node                run a node; MERLINGAUGE_SETTINGS names its settings file\n"
    "  check FILE          check a settings file or a configuration\n"
    "  config get          print the configuration in place (--node)\n"
    "  config put FILE     put a configuration in place (--node, --base)\n"
    "  status              print what a node knows (--node)\n"
    "  state save FILE     save a voter's state as a snapshot (--data)\n"
    "  state restore FILE  put a snapshot into an empty data directory (--data, --force)\n"
    "  state show FILE     print the configuration in a snapshot\n"
    "\nOptions:";

// Throws UsageError unless `command`, of `words` words, has one file argument after it.
const std::string& fileArgument(const Application::ArgVec& arguments, std::size_t words,
                                const std::string& command) {
  if (arguments.size() != words + 1) throw UsageError(command + ": expects one argument, FILE");
  return arguments[words];
}

void requireNoArguments(const Application::ArgVec& arguments, std::size_t words,
                        const std::string& command) {
  if (arguments.size() != words) throw UsageError(command + ": takes no arguments");
}
}  // namespace

Application::Application() { setUnixOptions(true); }

void Application::defineOptions(Poco::Util::OptionSet& options) {
  Poco::Util::Application::defineOptions(options);
  options.addOption(Option("help", "h", "print this help and exit"));
  options.addOption(Option("version", "V", "print the version and exit"));
  options.addOption(
      Option("log-level", "l", "of node: error, warning, information (default) or debug")
          .argument("LEVEL"));
  options.addOption(
      Option("metrics", "m",
             "of node: where its metrics are shown, as 9464/metrics; default: nowhere")
          .argument("PORT/PATH"));
  options.addOption(
      Option("node", "n", "control address of the node to call; of an edge its readiness address")
          .argument("HOST:PORT"));
  options.addOption(
      Option("data", "d", "data directory of a node, for state save and restore").argument("DIR"));
  options.addOption(Option("force", "f", "restore over existing state; that state is lost"));
  options.addOption(
      Option("base", "b", "revision that the configuration builds on (default 0: the first)")
          .argument("REVISION"));
}

void Application::handleOption(const std::string& name, const std::string& value) {
  if (name == "help") helpRequested_ = true;
  if (name == "version") versionRequested_ = true;
  if (name == "log-level") options_.logLevel = value;
  if (name == "metrics") options_.metricsAddress = value;
  if (name == "node") options_.nodeAddress = value;
  if (name == "base") options_.baseRevision = value;
  if (name == "data") options_.dataDirectory = value;
  if (name == "force") options_.force = true;
  if (name == "help" || name == "version") stopOptionsProcessing();
}

int Application::main(const ArgVec& arguments) {
  if (versionRequested_) {
    std::cout << "merlingauge " << MERLINGAUGE_VERSION << "\n";
    return static_cast<int>(ExitStatus::ok);
  }
  if (helpRequested_) {
    printHelp();
    return static_cast<int>(ExitStatus::ok);
  }
  try {
    return static_cast<int>(runCommand(arguments));
  } catch (const UsageError& error) {
    return static_cast<int>(reportUsageError(error.what()));
  }
}

ExitStatus Application::reportUsageError(const std::string& message) {
  std::cerr << "merlingauge: " << message << "\nTry 'merlingauge --help'.\n";
  return ExitStatus::usage;
}

void Application::printHelp() const {
  Poco::Util::HelpFormatter formatter(options());
  formatter.setUnixStyle(true);
  formatter.setWidth(kHelpWidth);
  formatter.setCommand("merlingauge");
  formatter.setUsage("[options] COMMAND");
  formatter.setHeader(kCommands);
  formatter.format(std::cout);
}

ExitStatus Application::runCommand(const ArgVec& arguments) const {
  if (arguments.empty()) throw UsageError("no command given");
  const auto& command = arguments[0];
  if (command == "node") {
    requireNoArguments(arguments, 1, command);
    return runNode(options_);
  }
  if (command == "status") {
    requireNoArguments(arguments, 1, command);
    return showStatus(options_);
  }
  if (command == "check") return checkFile(fileArgument(arguments, 1, command));
  if (command == "config") return runConfigCommand(arguments);
  if (command == "state") return runStateCommand(arguments);
  throw UsageError("unknown command '" + command + "'");
}

ExitStatus Application::runConfigCommand(const ArgVec& arguments) const {
  const auto action = arguments.size() > 1 ? arguments[1] : "";
  if (action == "get") {
    requireNoArguments(arguments, 2, "config get");
    return getConfig(options_);
  }
  if (action == "put") return putConfig(options_, fileArgument(arguments, 2, "config put"));
  throw UsageError("config: expects 'get' or 'put FILE'");
}

ExitStatus Application::runStateCommand(const ArgVec& arguments) const {
  const auto action = arguments.size() > 1 ? arguments[1] : "";
  if (action == "save") return saveState(options_, fileArgument(arguments, 2, "state save"));
  if (action == "restore") {
    return restoreState(options_, fileArgument(arguments, 2, "state restore"));
  }
  if (action == "show") return showState(fileArgument(arguments, 2, "state show"));
  throw UsageError("state: expects 'save FILE', 'restore FILE' or 'show FILE'");
}

}  // namespace merlingauge::cli
