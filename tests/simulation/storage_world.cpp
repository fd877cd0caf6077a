// storage_world: the store on real files. The keys of a scenario say which kind it is.
#include "simulation/storage_world.hpp"

#include <fstream>
#include <sstream>

namespace merlingauge::test {

namespace fs = std::filesystem;

StoreDirectory::StoreDirectory(const Scenario& scenario, std::uint64_t seed)
    : path_(fs::temp_directory_path() / ("storage-" + scenario.name + std::to_string(seed))) {}

StoreDirectory::~StoreDirectory() { fs::remove_all(path_); }

StoreFiles StoreDirectory::read() const {
  StoreFiles files;
  for (const auto& entry : fs::directory_iterator(path_)) {
    const std::ifstream file(entry.path(), std::ios::binary);
    std::stringstream bytes;
    bytes << file.rdbuf();
    files[entry.path().filename().string()] = bytes.str();
  }
  return files;
}

void StoreDirectory::replaceWith(const StoreFiles& files) const {
  fs::remove_all(path_);
  fs::create_directories(path_);
  for (const auto& [name, bytes] : files) {
    std::ofstream(path_ / name, std::ios::binary) << bytes;
  }
}

void playDisk(const Scenario& scenario, std::uint64_t seed, std::map<std::string, double>& out) {
  if (!linesOf(scenario, "texts").empty()) {
    out = playTextChanges(scenario, seed);
  } else if (!linesOf(scenario, "mutations").empty()) {
    out = playSnapshots(scenario, seed);
  } else {
    out = playPowerLosses(scenario, seed);
  }
}

}  // namespace merlingauge::test
