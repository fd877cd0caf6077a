// control_output: prints what a node answered, the same way for each command that calls one.
#pragma once

#include "cli/control_client.hpp"

namespace merlingauge::cli {

/// True for an answer that says that the call was carried out.
[[nodiscard]] bool succeeded(const ControlResult& result);

/// Prints the body of a successful answer on standard output; the body of any other answer, or why
/// there is none, on standard error.
void printResult(const ControlResult& result);

}  // namespace merlingauge::cli
