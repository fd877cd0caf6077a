// config_command: `config get` and `config put FILE`.
#include <Poco/Net/HTTPResponse.h>

#include <iostream>

#include "cli/commands.hpp"
#include "cli/control_client.hpp"
#include "cli/control_output.hpp"
#include "cli/input_file.hpp"

namespace merlingauge::cli {

namespace {
using Poco::Net::HTTPResponse;

// Whether the change is in place or not can't be said: a node may have carried it out and failed to
// answer. The same change sent again gets the same answer, so that is safe.
ExitStatus outcomeUnknown() {
  std::cerr << "merlingauge: no clear answer, send the same again\n";
  return ExitStatus::temporaryFailure;
}

ExitStatus changeOutcome(const ControlResult& result) {
  if (const auto* failure = std::get_if<ControlFailure>(&result)) {
    return failure->requestSent ? outcomeUnknown() : ExitStatus::unavailable;
  }
  const int status = std::get<ControlResponse>(result).status;
  if (status == HTTPResponse::HTTP_OK) return ExitStatus::ok;
  if (status >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR) return outcomeUnknown();
  const bool invalid = status == HTTPResponse::HTTP_BAD_REQUEST ||
                       status == HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
  return invalid ? ExitStatus::dataError : ExitStatus::unavailable;
}

void requireRevision(const std::string& text) {
  const bool digits = text.find_first_not_of("0123456789") == std::string::npos;
  if (text.empty() || !digits) {
    throw UsageError("--base: '" + text + "' is not a revision number (0 for the first)");
  }
}
}  // namespace

ExitStatus getConfig(const CommandOptions& options) {
  const auto result = ControlClient(options.nodeAddress).get("/v1/Configuration.Describe");
  printResult(result);
  return succeeded(result) ? ExitStatus::ok : ExitStatus::unavailable;
}

ExitStatus putConfig(const CommandOptions& options, const std::string& path) {
  requireRevision(options.baseRevision);
  const ControlClient client(options.nodeAddress);
  const auto text = readInputFile(path);
  if (!text) return ExitStatus::noInput;
  const auto result = client.postConfig("/v1/Configuration.Replace", options.baseRevision, *text);
  printResult(result);
  return changeOutcome(result);
}

}  // namespace merlingauge::cli
