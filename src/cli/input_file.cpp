#include "cli/input_file.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace merlingauge::cli {

std::optional<std::string> readInputFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << "merlingauge: can't read " << path << "\n";
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace merlingauge::cli
