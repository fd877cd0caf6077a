// message_codec.hpp: the register's requests and replies as JSON (keys: wire_keys.hpp).
#pragma once

#include <nlohmann/json.hpp>

#include "config/config_text_cache.hpp"
#include "consensus/messages.hpp"
#include "consensus/value_codec.hpp"

namespace merlingauge::consensus {

/// Encodes a request; `receiver` and `textCache` as for a value (value_codec.hpp).
[[nodiscard]] nlohmann::json toJson(const RegisterRequest& request,
                                    const ReceiverState& receiver = {},
                                    const config::ConfigTextCache* textCache = nullptr);
/// Throws DecodeError, or MissingCachedText as `valueFromJson` does.
[[nodiscard]] RegisterRequest requestFromJson(const nlohmann::json& encoded,
                                              const config::ConfigTextCache* textCache = nullptr);

/// Encodes a reply; `receiver` comes from the request (`receiverStateOf`).
[[nodiscard]] nlohmann::json toJson(const RegisterReply& reply, const ReceiverState& receiver = {},
                                    const config::ConfigTextCache* textCache = nullptr);
/// Throws DecodeError, or MissingCachedText as `valueFromJson` does.
[[nodiscard]] RegisterReply replyFromJson(const nlohmann::json& encoded,
                                          const config::ConfigTextCache* textCache = nullptr);

[[nodiscard]] nlohmann::json toJson(const IncarnationMap& incarnations);
/// The member `key` of `object`. Throws DecodeError.
[[nodiscard]] IncarnationMap incarnationsFrom(const nlohmann::json& object, const char* key);

}  // namespace merlingauge::consensus
