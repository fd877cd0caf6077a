// storage_world: what the scenarios of the store share, and one function for each kind of them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <map>
#include <string>

#include "simulation/scenario_runner.hpp"

namespace merlingauge::test {

/// What a scenario measured, by the names that its `expect` lines use.
using Measurements = std::map<std::string, double>;

/// The files of a store, by name, with their bytes.
using StoreFiles = std::map<std::string, std::string>;

/// The map of the stores in these scenarios.
constexpr std::size_t kStoreMapBytes = 8U << 20;

/// A directory of real files that is removed at the end of the scenario.
class StoreDirectory {
 public:
  StoreDirectory(const Scenario& scenario, std::uint64_t seed);
  ~StoreDirectory();
  StoreDirectory(const StoreDirectory&) = delete;
  StoreDirectory& operator=(const StoreDirectory&) = delete;

  [[nodiscard]] const std::filesystem::path& path() const { return path_; }
  [[nodiscard]] StoreFiles read() const;
  /// Makes the directory hold these files and nothing else.
  void replaceWith(const StoreFiles& files) const;

 private:
  std::filesystem::path path_;
};

/// Scenarios without another key: power is lost in the middle of saves.
Measurements playPowerLosses(const Scenario& scenario, std::uint64_t seed);
/// Scenarios with `texts`: a configuration that grows and shrinks, saved many times.
Measurements playTextChanges(const Scenario& scenario, std::uint64_t seed);
/// Scenarios with `mutations`: snapshots saved, restored, refused and damaged.
Measurements playSnapshots(const Scenario& scenario, std::uint64_t seed);

}  // namespace merlingauge::test
