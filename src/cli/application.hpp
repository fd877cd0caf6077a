// application: the command line: options, help, and which command to run.
#pragma once

#include <Poco/Util/Application.h>
#include <Poco/Util/OptionSet.h>

#include <string>

#include "cli/command_options.hpp"
#include "cli/exit_status.hpp"

namespace merlingauge::cli {

/// Parses the command line and runs one command. Exists as long as the process.
class Application : public Poco::Util::Application {
 public:
  Application();
  /// Prints a usage error and how to get help.
  static ExitStatus reportUsageError(const std::string& message);

 protected:
  void defineOptions(Poco::Util::OptionSet& options) override;
  void handleOption(const std::string& name, const std::string& value) override;
  int main(const ArgVec& arguments) override;

 private:
  void printHelp() const;
  [[nodiscard]] ExitStatus runCommand(const ArgVec& arguments) const;
  [[nodiscard]] ExitStatus runConfigCommand(const ArgVec& arguments) const;
  [[nodiscard]] ExitStatus runStateCommand(const ArgVec& arguments) const;

  CommandOptions options_;
  bool helpRequested_ = false;
  bool versionRequested_ = false;
};

}  // namespace merlingauge::cli
