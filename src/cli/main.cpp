// main: entry point of the program.
#include <Poco/AutoPtr.h>
#include <Poco/Util/OptionException.h>

#include "cli/application.hpp"

int main(int argc, char** argv) {
  using merlingauge::cli::Application;
  Poco::AutoPtr<Application> application(new Application);
  try {
    application->init(argc, argv);
  } catch (const Poco::Util::OptionException& error) {
    return static_cast<int>(Application::reportUsageError(error.displayText()));
  }
  return application->run();
}
