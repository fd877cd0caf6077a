// storage_text_changes: thousands of changes, with texts that grow and shrink and heads saved
// between them. The data file stays within what the disk was given, and no save is refused.
#include <algorithm>
#include <memory>

#include "simulation/storage_world.hpp"
#include "storage/state_database.hpp"
#include "storage/store_layout.hpp"

namespace merlingauge::test {

namespace {

using storage::StateDatabase;
// A restart after so many texts, and after the last one.
constexpr int kTextsBetweenRestarts = 50;

void requireStored(StateDatabase& store, const config::ConfigText& text) {
  const auto loaded = store.load();
  const auto* state = std::get_if<storage::StoredState>(&loaded);
  require(state != nullptr && state->configText == text.text(),
          "what was saved last can't be read");
}

}  // namespace

Measurements playTextChanges(const Scenario& scenario, std::uint64_t seed) {
  const int texts = static_cast<int>(number(scenario, "texts", 100));
  const double minBytes = number(scenario, "min_text_bytes", 1000);
  const double maxBytes = number(scenario, "max_text_bytes", 400000);
  const auto mapBytes = static_cast<std::size_t>(number(scenario, "map_mb", 8)) << 20;
  const int headsPerText = static_cast<int>(number(scenario, "heads_per_text", 2));
  Clock clock(seed);
  const auto randomSize = [&clock](double least, double most) {
    return static_cast<std::size_t>(clock.uniform(least, most));
  };
  const StoreDirectory directory(scenario, seed);
  directory.replaceWith({});
  double highestBytes = 0;
  double refused = 0;
  auto store = std::make_unique<StateDatabase>(directory.path().string(), mapBytes);
  for (int version = 1; version <= texts; ++version) {
    const auto text = config::ConfigText::create(std::to_string(version) +
                                                 std::string(randomSize(minBytes, maxBytes), 't'));
    for (int save = 0; save < headsPerText; ++save) {
      const auto head = std::to_string(version) + "/" + std::to_string(save) +
                        std::string(randomSize(200, 9000), 'h');
      if (store->commit({head, text})) ++refused;
    }
    const auto dataBytes = std::filesystem::file_size(directory.path() / storage::kDataFile);
    highestBytes = std::max(highestBytes, static_cast<double>(dataBytes));
    if (version % kTextsBetweenRestarts != 0 && version != texts) continue;
    store = std::make_unique<StateDatabase>(directory.path().string(), mapBytes);
    requireStored(*store, *text);
  }
  return {{"saves", static_cast<double>(texts) * headsPerText},
          {"refused", refused},
          {"highest_mb", highestBytes / (1U << 20U)}};
}

}  // namespace merlingauge::test
