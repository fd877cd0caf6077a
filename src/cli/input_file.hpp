// input_file: a file named on the command line, read whole.
#pragma once

#include <optional>
#include <string>

namespace merlingauge::cli {

/// The contents of the file. Nothing where it can't be read; that is then printed on standard
/// error.
[[nodiscard]] std::optional<std::string> readInputFile(const std::string& path);

}  // namespace merlingauge::cli
