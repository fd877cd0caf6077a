// orders: an operator's change of the configuration, and what becomes of it on top of a value.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/ids.hpp"
#include "config/change_history.hpp"
#include "config/config_text.hpp"
#include "consensus/register.hpp"

namespace merlingauge::control {

struct ConfigChange {
  bool isReplace = true;  // Replace; else Update
  Revision baseRevision;  // the version it builds on
  std::uint64_t digest = 0;
  // It fits its schema; `text` is the same as the operator wrote it (Replace only).
  std::shared_ptr<const nlohmann::json> document;
  config::ConfigText::Ptr text;
};

// The same call sent again has the same digest: 64 bits of a SHA-1 of its kind, base and body.
std::uint64_t changeDigest(bool whole, const std::string& base, const std::string& body);

struct ConfigChangeLimits {
  std::size_t minVoters = 1;  // below which nothing new is taken
  std::size_t maxHistoryEntries = config::ChangeHistory::kMaxEntries;
};

// `current` is a value that is chosen, or that the same climb makes chosen before it answers.
//   taken before -> keep (200); can't be taken any more -> refuse (412); invalid on top of the
//   current version -> refuse (400); nothing can be said -> refuse with a 503.
consensus::Proposer::Decision decideChange(const ConfigChange& order,
                                           const ConfigChangeLimits& terms,
                                           const consensus::RegisterValue& current,
                                           consensus::RegisterValue& next);

}  // namespace merlingauge::control
