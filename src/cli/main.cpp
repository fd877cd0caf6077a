// main: entry point of the program.
#include <Poco/AutoPtr.h>
#include <Poco/Util/OptionException.h>

#include <csignal>
#include <string_view>

#include "cli/application.hpp"

namespace {
// A node has read no settings yet: a request to reload them is met by its start, and must not end
// it before its handlers are set.
void ignoreEarlyReload(int argc, char** argv) {
  if (argc > 1 && std::string_view(argv[1]) == "node") std::signal(SIGHUP, SIG_IGN);
}
}  // namespace

int main(int argc, char** argv) {
  ignoreEarlyReload(argc, argv);
  using merlingauge::cli::Application;
  Poco::AutoPtr<Application> application(new Application);
  try {
    application->init(argc, argv);
  } catch (const Poco::Util::OptionException& error) {
    return static_cast<int>(Application::reportUsageError(error.displayText()));
  }
  return application->run();
}
