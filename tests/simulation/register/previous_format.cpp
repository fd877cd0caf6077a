#include "simulation/register/previous_format.hpp"

#include <algorithm>
#include <cstddef>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/change_history.hpp"

namespace merlingauge::test::register_world {

using config::ChangeHistory;

namespace {
constexpr std::size_t kChangesKept = 32;
constexpr int kKnownDigits = 16;
constexpr std::size_t kOtherDigits = 24;  // of a whole digest; today's version drops them

std::string wholeDigest(std::uint64_t digest) {
  std::ostringstream hex;
  hex << std::hex << std::setw(kKnownDigits) << std::setfill('0') << digest
      << std::string(kOtherDigits, '7');
  return hex.str();
}
}  // namespace

std::string inPreviousFormat(const std::string& storedHead) {
  auto head = nlohmann::json::parse(storedHead);
  auto& value = head["value"];
  if (!value.contains("h")) return storedHead;
  const auto& packed = value["h"];
  const auto history =
      ChangeHistory::unpack(Revision{packed["f"].get<std::int64_t>()},
                            packed["s"].get<std::uint64_t>(), packed["a"].get<std::string>());
  const auto& entries = history->entries();
  auto recent = nlohmann::json::array();
  for (auto i = entries.size() - std::min(entries.size(), kChangesKept); i < entries.size(); ++i) {
    recent.push_back(
        nlohmann::json::array({entries[i].revision.value, wholeDigest(entries[i].digest)}));
  }
  value.erase("h");
  value["r"] = std::move(recent);
  return head.dump();
}

}  // namespace merlingauge::test::register_world
