// orders: an operator's change of the configuration, and what becomes of it on top of a value.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "units.hpp"
#include "version/history.hpp"
#include "version/register.hpp"
#include "version/signboard.hpp"

namespace merlin::cairn {

struct Order {
  bool whole = true;  // Replace; else Update
  Revision base;      // the version it builds on
  std::uint64_t digest = 0;
  // It fits its schema; `text` is the same as the operator wrote it (Replace only).
  std::shared_ptr<const nlohmann::json> document;
  Signboard::Ptr text;
};

// The same call sent again has the same digest: 64 bits of a SHA-1 of its kind, base and body.
std::uint64_t orderDigest(bool whole, const std::string& base, const std::string& body);

struct OrderTerms {
  std::size_t fewestVoters = 1;  // below which nothing new is taken
  std::size_t most = History::kMost;
};

// `current` is a value that is chosen, or that the same climb makes chosen before it answers.
//   taken before -> keep (200); can't be taken any more -> refuse (412); invalid on top of the
//   current version -> refuse (400); nothing can be said -> refuse with a 503.
Climber::Verdict decide(const Order& order, const OrderTerms& terms, const Value& current,
                        Value& next);

}  // namespace merlin::cairn
