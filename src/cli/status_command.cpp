// status_command: `status`.
#include "cli/commands.hpp"
#include "cli/control_client.hpp"
#include "cli/control_output.hpp"

namespace merlingauge::cli {

ExitStatus showStatus(const CommandOptions& options) {
  const auto result = ControlClient(options.nodeAddress).get("/v1/Status");
  printResult(result);
  return succeeded(result) ? ExitStatus::ok : ExitStatus::unavailable;
}

}  // namespace merlingauge::cli
