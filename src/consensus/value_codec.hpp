// value_codec.hpp: ballots and register values as JSON, for messages and for the stored state.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "config/config_text_cache.hpp"
#include "consensus/ballot.hpp"
#include "consensus/register_value.hpp"

namespace merlingauge::consensus {

/// Thrown for a value that is well formed, but rests on a text or a history that is not in the
/// cache. No DecodeError: the sender is sound, and sends all of it the next time.
class MissingCachedText : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

[[nodiscard]] nlohmann::json toJson(const Ballot& ballot);
/// Throws DecodeError.
[[nodiscard]] Ballot ballotFromJson(const nlohmann::json& encoded);

/// Encodes what `receiver` lacks of the value. `textCache` holds the texts that a difference can be
/// made from; null: none.
[[nodiscard]] nlohmann::json toJson(const RegisterValue& value, const ReceiverState& receiver = {},
                                    const config::ConfigTextCache* textCache = nullptr);
/// Completes the value with what `textCache` holds (null: nothing). Throws DecodeError, or
/// MissingCachedText where the cache lacks what the value rests on.
[[nodiscard]] RegisterValue valueFromJson(const nlohmann::json& encoded,
                                          const config::ConfigTextCache* textCache = nullptr);

}  // namespace merlingauge::consensus
