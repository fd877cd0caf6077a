// acceptor_state_codec.hpp: an acceptor's durable state as it is stored.
#pragma once

#include <string>

#include "config/config_text.hpp"
#include "consensus/acceptor_state.hpp"

namespace merlingauge::consensus {

/// The two parts that are stored: the state as JSON, and the configuration's text apart from it as
/// it is, since that is large and changes seldom.
struct StoredAcceptorState {
  std::string head;
  config::ConfigText::Ptr configText;  ///< null: the state holds no configuration
};

[[nodiscard]] StoredAcceptorState encodeState(const AcceptorState& state);
/// Throws DecodeError, or MissingCachedText where `configText` is not the one that the head names.
[[nodiscard]] AcceptorState decodeState(const StoredAcceptorState& stored);

}  // namespace merlingauge::consensus
