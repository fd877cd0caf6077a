#include "consensus/acceptor_state_codec.hpp"

#include <cstdint>

#include "base/decode_error.hpp"
#include "base/json_fields.hpp"
#include "consensus/message_codec.hpp"
#include "consensus/value_codec.hpp"

namespace merlingauge::consensus {

using nlohmann::json;

namespace {
// Keys of the stored state. Disks of earlier versions hold them: they never change.
constexpr const char* kIncarnation = "life";
constexpr const char* kRecovered = "awake";
constexpr const char* kValueRecovered = "copied";  // absent in the first versions: false
constexpr const char* kPromisedBallot = "promised";
constexpr const char* kAcceptedBallot = "accepted";
constexpr const char* kValue = "value";
constexpr const char* kIncarnations = "lives";
}  // namespace

StoredAcceptorState encodeState(const AcceptorState& state) {
  // The text is named only: whoever reads the head has it from its own place.
  const ReceiverState storedApart{state.value.textId()};
  const json head = {{kIncarnation, state.incarnation.value},
                     {kRecovered, state.recovered},
                     {kValueRecovered, state.valueRecovered},
                     {kPromisedBallot, toJson(state.promisedBallot)},
                     {kAcceptedBallot, toJson(state.acceptedBallot)},
                     {kValue, toJson(state.value, storedApart)},
                     {kIncarnations, toJson(state.incarnations)}};
  return {head.dump(), state.value.config};
}

AcceptorState decodeState(const StoredAcceptorState& stored) {
  const auto head = json::parse(stored.head, nullptr, false);
  if (head.is_discarded()) throw DecodeError("head", "no JSON");
  config::ConfigTextCache textCache;
  textCache.add(stored.configText);
  AcceptorState state;
  state.incarnation = Incarnation{requiredField<std::uint64_t>(head, kIncarnation)};
  state.recovered = requiredField<bool>(head, kRecovered);
  state.valueRecovered = optionalField(head, kValueRecovered, false);
  state.promisedBallot = ballotFromJson(requiredMember(head, kPromisedBallot));
  state.acceptedBallot = ballotFromJson(requiredMember(head, kAcceptedBallot));
  state.value = valueFromJson(requiredMember(head, kValue), &textCache);
  state.incarnations = incarnationsFrom(head, kIncarnations);
  return state;
}

}  // namespace merlingauge::consensus
