// check_command: `check FILE`.
#include <iostream>

#include "cli/commands.hpp"
#include "cli/input_file.hpp"
#include "config/document_parser.hpp"
#include "config/route_table.hpp"
#include "node/settings.hpp"

namespace merlingauge::cli {

namespace {
// One line that names the field; empty where the document is valid.
std::string findProblem(const std::string& text) {
  const auto document = config::parseDocument(text);
  if (document && document->is_object() && document->contains("route_rules")) {
    const auto parsed = config::RouteTable::parse(*document);
    return parsed.error ? parsed.error->message() : "";
  }
  const auto parsed = node::parseSettings(text);
  const auto* error = std::get_if<node::SettingsError>(&parsed);
  return error == nullptr ? "" : error->message();
}
}  // namespace

ExitStatus checkFile(const std::string& path) {
  const auto text = readInputFile(path);
  if (!text) return ExitStatus::noInput;
  const auto problem = findProblem(*text);
  if (!problem.empty()) {
    std::cerr << "merlingauge: " << path << ": " << problem << "\n";
    return ExitStatus::dataError;
  }
  std::cout << path << ": ok\n";
  return ExitStatus::ok;
}

}  // namespace merlingauge::cli
