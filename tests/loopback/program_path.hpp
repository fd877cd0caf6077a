// program_path.hpp: where the program under test is.
#pragma once

#include <string>

namespace merlingauge::test {

/// Path of the program under test; set by main before the first test.
inline std::string& programPath() {
  static std::string path;
  return path;
}

}  // namespace merlingauge::test
