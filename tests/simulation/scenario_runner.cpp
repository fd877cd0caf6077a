#include "simulation/scenario_runner.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>

namespace merlingauge::test {

namespace {
Scenario load(const std::string& path) {
  Scenario scenario;
  scenario.name = path;
  std::ifstream file(path);
  require(static_cast<bool>(file), "can't read " + path);
  int number = 0;
  for (std::string text; std::getline(file, text);) {
    ++number;
    if (text.empty() || text[0] == '#') continue;
    Line line{number, text, {}};
    std::istringstream words(text);
    for (std::string word; words >> word;) line.words.push_back(word);
    if (!line.words.empty()) scenario.lines.push_back(line);
  }
  require(!scenario.lines.empty() && scenario.lines[0].words[0] == "world" &&
              scenario.lines[0].words.size() == 2,
          "the first line has to name the world");
  return scenario;
}
}  // namespace

std::vector<const Line*> linesOf(const Scenario& scenario, const std::string& first) {
  std::vector<const Line*> out;
  for (const auto& line : scenario.lines) {
    if (line.words[0] == first) out.push_back(&line);
  }
  return out;
}

double number(const Scenario& scenario, const std::string& key, double otherwise) {
  for (const auto* line : linesOf(scenario, key)) return std::stod(line->words.at(1));
  return otherwise;
}

void checkExpectations(const Scenario& scenario, const std::map<std::string, double>& measured) {
  int checked = 0;
  for (const auto* line : linesOf(scenario, "expect")) {
    const auto& w = line->words;
    require(w.size() == 4 && measured.contains(w[1]),
            "line asks for what isn't measured: " + line->text);
    const double have = measured.at(w[1]);
    const double want = std::stod(w[3]);
    const bool ok = w[2] == ">=" ? have >= want : w[2] == "<=" ? have <= want : have == want;
    require(ok, line->text + ", but it is " + std::to_string(have));
    ++checked;
  }
  require(checked > 0, "a scenario without an expectation proves nothing");
}

// KEY=WORD,WORD in place of the scenario's own line for that key.
void replaceLine(Scenario& scenario, const std::string& change) {
  auto text = change;
  std::replace(text.begin(), text.end(), '=', ' ');
  std::replace(text.begin(), text.end(), ',', ' ');
  Line line{0, text, {}};
  std::istringstream words(text);
  for (std::string word; words >> word;) line.words.push_back(word);
  require(line.words.size() > 1, "not KEY=VALUE: " + change);
  std::erase_if(scenario.lines, [&](const Line& old) { return old.words[0] == line.words[0]; });
  scenario.lines.push_back(std::move(line));
}

int play(const std::string& path, bool show, const std::vector<std::string>& changes) {
  auto scenario = load(path);
  for (const auto& change : changes) replaceLine(scenario, change);
  const auto& world = scenario.lines[0].words[1];
  if (world == "documents") {
    playText(scenario);
    return 1;
  }
  std::uint64_t from = 1;
  std::uint64_t to = 1;
  for (const auto* line : linesOf(scenario, "seeds")) {
    from = std::stoull(line->words.at(1));
    to = std::stoull(line->words.at(2));
  }
  std::map<std::string, double> total;
  for (std::uint64_t seed = from; seed <= to; ++seed) {
    std::map<std::string, double> measured;
    try {
      if (world == "register") {
        playRegister(scenario, seed, measured);
      } else if (world == "explore") {
        playExplore(scenario, measured);
      } else if (world == "proxy") {
        playPath(scenario, seed, measured);
      } else if (world == "gossip") {
        playNews(scenario, seed, measured);
      } else if (world == "subset") {
        playRange(scenario, seed, measured);
      } else if (world == "storage") {
        playDisk(scenario, seed, measured);
      } else if (world == "picker") {
        playBank(scenario, seed, measured);
      } else {
        throw Broken{"no such world: " + world};
      }
    } catch (const Broken& broken) {
      throw Broken{"seed " + std::to_string(seed) + ": " + broken.what};
    }
    for (const auto& [name, value] : measured) total[name] += value;
  }
  if (show) {
    for (const auto& [name, value] : total) std::cout << "  " << name << " " << value << "\n";
  }
  checkExpectations(scenario, total);
  return static_cast<int>(to - from + 1);
}

}  // namespace merlingauge::test

int main(int argc, char** argv) {
  if (argc < 2) {
    std::cerr << "usage: scenario_runner SCENARIO [show] [KEY=VALUE,...]...\n";
    return 2;
  }
  try {
    std::vector<std::string> changes(argv + 2, argv + argc);
    const bool show = std::erase(changes, "show") > 0;
    const int runs = merlingauge::test::play(argv[1], show, changes);
    std::cout << argv[1] << ": kept in " << runs << " run(s)\n";
    return 0;
  } catch (const merlingauge::test::Broken& broken) {
    std::cerr << argv[1] << ": " << broken.what << "\n";
  } catch (const std::exception& problem) {
    std::cerr << argv[1] << ": " << problem.what() << "\n";
  }
  return 1;
}
