// program_arguments.hpp: the command line of the GoogleTest programs that run the real program.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace merlingauge::test {

/// The path of the program under test and, for tests that can be run larger, their sizes; set by
/// main before the first test.
inline std::vector<std::string>& programArguments() {
  static std::vector<std::string> arguments;
  return arguments;
}

/// Path of the program under test.
inline const std::string& programPath() { return programArguments().at(0); }

/// The size at `position` behind the path, or `otherwise` where none is given.
inline int sizeArgument(std::size_t position, int otherwise) {
  const auto& arguments = programArguments();
  return position < arguments.size() ? std::stoi(arguments[position]) : otherwise;
}

}  // namespace merlingauge::test
