// node_command: `node`: log, signals, and the event loop that the node runs on.
#include <Poco/AutoPtr.h>
#include <Poco/ConsoleChannel.h>
#include <Poco/Exception.h>
#include <Poco/FormattingChannel.h>
#include <Poco/Logger.h>
#include <Poco/PatternFormatter.h>
#include <malloc.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <utility>

#include "cli/commands.hpp"
#include "event/event_loop.hpp"
#include "node/node.hpp"
#include "node/settings.hpp"

namespace merlingauge::cli {

namespace {

// Signals that came and were not handled yet, as bits. Written by the signal handler.
constexpr int kStopRequested = 1;
constexpr int kReloadRequested = 2;
std::atomic<int> pendingSignals{0};
// The event loop's wake-up descriptor; -1 before there is a loop.
std::atomic<int> wakeDescriptor{-1};

// Does only what is safe in a signal handler: sets a flag and ends the loop's wait.
extern "C" void onSignal(int number) {
  pendingSignals |= number == SIGHUP ? kReloadRequested : kStopRequested;
  const char byte = 1;
  [[maybe_unused]] const auto written = ::write(wakeDescriptor, &byte, 1);
}

// Before the settings are read: a signal that comes while the node is built is handled with the
// first turn of the loop.
void installSignalHandlers() {
  std::signal(SIGTERM, onSignal);
  std::signal(SIGINT, onSignal);
  std::signal(SIGHUP, onSignal);
}

void handlePendingSignals(node::Node& node) {
  const int signals = pendingSignals.exchange(0);
  if ((signals & kStopRequested) != 0) node.stop();
  if ((signals & kReloadRequested) != 0) node.reloadSettings();
}

void openLog(const std::string& level) {
  try {
    Poco::Logger::root().setLevel(level);
  } catch (const Poco::InvalidArgumentException&) {
    throw UsageError("--log-level: '" + level +
                     "' is not one of error, warning, information, debug");
  }
  Poco::AutoPtr<Poco::ConsoleChannel> console(new Poco::ConsoleChannel);
  Poco::AutoPtr<Poco::PatternFormatter> pattern(new Poco::PatternFormatter);
  pattern->setProperty("pattern", "%s: %t");
  Poco::AutoPtr<Poco::FormattingChannel> channel(new Poco::FormattingChannel(pattern, console));
  Poco::Logger::root().setChannel(channel);
}

std::optional<node::MetricsAddress> readMetricsAddress(const std::string& text) {
  if (text.empty()) return std::nullopt;
  auto address = node::parseMetricsAddress(text);
  if (!address) throw UsageError("--metrics: '" + text + "' is not of the form PORT/PATH");
  return address;
}

void runUntilStopped(node::Settings settings, const std::string& settingsPath) {
  event::EventLoop loop;
  wakeDescriptor = loop.wakeDescriptor();
  node::Node node(loop, std::move(settings), settingsPath);
  loop.setTurnHook([&node] { handlePendingSignals(node); });
  node.start();
  loop.run();
}

}  // namespace

ExitStatus runNode(const CommandOptions& options) {
  // Two threads, the event loop and storage: one malloc arena serves both, more only cost memory.
  ::mallopt(M_ARENA_MAX, 1);
  openLog(options.logLevel);
  const auto metrics = readMetricsAddress(options.metricsAddress);
  const char* variable = std::getenv("MERLINGAUGE_SETTINGS");
  const std::string path = variable == nullptr ? "" : variable;
  installSignalHandlers();
  auto loaded = node::loadSettings(path);
  if (const auto* error = std::get_if<node::SettingsError>(&loaded)) {
    std::cerr << "merlingauge: " << error->message() << "\n";
    return ExitStatus::configuration;
  }
  auto& settings = std::get<node::Settings>(loaded);
  settings.metrics = metrics;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    runUntilStopped(std::move(settings), path);
  } catch (const Poco::Exception& error) {
    std::cerr << "merlingauge: " << error.displayText() << "\n";
    return ExitStatus::software;
  } catch (const std::exception& error) {
    std::cerr << "merlingauge: " << error.what() << "\n";
    return ExitStatus::software;
  }
  return ExitStatus::ok;
}

}  // namespace merlingauge::cli
