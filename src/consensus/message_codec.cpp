#include "consensus/message_codec.hpp"

#include <cstdint>
#include <map>
#include <string>

#include "base/decode_error.hpp"
#include "base/json_fields.hpp"
#include "consensus/wire_keys.hpp"

namespace merlingauge::consensus {

using config::ConfigTextCache;
using nlohmann::json;
using Kind = RegisterRequest::Kind;

namespace {
namespace request_keys = wire_keys::request;
namespace reply_keys = wire_keys::reply;

// Leaves out what is not there: 0 is the default of every number in a message.
void addIfSet(json& out, const char* key, std::uint64_t number) {
  if (number != 0) out[key] = number;
}

std::uint64_t numberOrZero(const json& object, const char* key) {
  return optionalField(object, key, std::uint64_t{0});
}

Kind kindFrom(const json& encoded) {
  const int number = requiredField<int>(encoded, request_keys::kKind);
  if (number < 0 || number > static_cast<int>(Kind::fetch)) {
    throw DecodeError(request_keys::kKind, "unknown kind of request");
  }
  return static_cast<Kind>(number);
}
}  // namespace

json toJson(const IncarnationMap& incarnations) {
  json encoded = json::object();
  for (const auto& [node, incarnation] : incarnations) encoded[node.str()] = incarnation.value;
  return encoded;
}

IncarnationMap incarnationsFrom(const json& object, const char* key) {
  IncarnationMap incarnations;
  for (const auto& [node, item] : requiredField<std::map<std::string, json>>(object, key)) {
    // The first versions kept a list; its last item was the newest.
    const auto number = item.is_array() && !item.empty()
                            ? requiredItem<std::uint64_t>(item, item.size() - 1)
                            : decodeAs<std::uint64_t>(item, key);
    incarnations[NodeId(node)] = Incarnation{number};
  }
  return incarnations;
}

json toJson(const RegisterRequest& request, const ReceiverState& receiver,
            const ConfigTextCache* textCache) {
  json encoded = {{request_keys::kKind, static_cast<int>(request.kind)},
                  {request_keys::kSender, request.sender.str()},
                  {request_keys::kBallot, toJson(request.ballot)}};
  switch (request.kind) {
    case Kind::prepare:
      // The rest only helps to leave out a value that the sender knows.
      if (request.knownValueId.empty()) break;
      encoded[request_keys::kKnownValueId] = request.knownValueId;
      addIfSet(encoded, request_keys::kTextId, request.cachedTextId);
      addIfSet(encoded, request_keys::kCachedHistoryId, request.cachedHistoryId);
      break;
    case Kind::accept:
      encoded[request_keys::kValue] = toJson(request.value, receiver, textCache);
      break;
    case Kind::rejoin:
      encoded[request_keys::kIncarnation] = request.incarnation.value;
      addIfSet(encoded, request_keys::kTextId, request.cachedTextId);
      break;
    case Kind::fetch:
      encoded[request_keys::kTextId] = request.wantedTextId;
      break;
  }
  return encoded;
}

RegisterRequest requestFromJson(const json& encoded, const ConfigTextCache* textCache) {
  RegisterRequest request;
  request.kind = kindFrom(encoded);
  request.sender = NodeId(requiredField<std::string>(encoded, request_keys::kSender));
  request.ballot = ballotFromJson(requiredMember(encoded, request_keys::kBallot));
  switch (request.kind) {
    case Kind::prepare:
      request.knownValueId = optionalField<std::string>(encoded, request_keys::kKnownValueId, "");
      request.cachedTextId = numberOrZero(encoded, request_keys::kTextId);
      request.cachedHistoryId = numberOrZero(encoded, request_keys::kCachedHistoryId);
      break;
    case Kind::accept:
      request.value = valueFromJson(requiredMember(encoded, request_keys::kValue), textCache);
      break;
    case Kind::rejoin:
      request.incarnation =
          Incarnation{requiredField<std::uint64_t>(encoded, request_keys::kIncarnation)};
      request.cachedTextId = numberOrZero(encoded, request_keys::kTextId);
      break;
    case Kind::fetch:
      request.wantedTextId = numberOrZero(encoded, request_keys::kTextId);
      break;
  }
  return request;
}

json toJson(const RegisterReply& reply, const ReceiverState& receiver,
            const ConfigTextCache* textCache) {
  json encoded = {{reply_keys::kGranted, reply.granted},
                  {reply_keys::kIncarnation, reply.incarnation.value},
                  {reply_keys::kPromisedBallot, toJson(reply.promisedBallot)}};
  if (reply.recovering) encoded[reply_keys::kRecovering] = true;
  if (reply.valueRecovered) encoded[reply_keys::kValueRecovered] = true;
  addIfSet(encoded, reply_keys::kTextId, reply.textId);
  addIfSet(encoded, reply_keys::kHistoryId, reply.historyId);
  addIfSet(encoded, reply_keys::kRequesterIncarnation, reply.requesterIncarnation.value);
  if (!reply.incarnations.empty()) {
    encoded[reply_keys::kIncarnations] = toJson(reply.incarnations);
  }
  if (!reply.granted || reply.acceptedBallot.number == 0) return encoded;
  encoded[reply_keys::kAcceptedBallot] = toJson(reply.acceptedBallot);
  if (reply.sameValue) {
    encoded[reply_keys::kSameValue] = true;
  } else {
    encoded[reply_keys::kValue] = toJson(reply.value, receiver, textCache);
  }
  return encoded;
}

RegisterReply replyFromJson(const json& encoded, const ConfigTextCache* textCache) {
  RegisterReply reply;
  reply.granted = requiredField<bool>(encoded, reply_keys::kGranted);
  reply.recovering = optionalField(encoded, reply_keys::kRecovering, false);
  reply.valueRecovered = optionalField(encoded, reply_keys::kValueRecovered, false);
  reply.incarnation = Incarnation{requiredField<std::uint64_t>(encoded, reply_keys::kIncarnation)};
  reply.textId = numberOrZero(encoded, reply_keys::kTextId);
  reply.historyId = numberOrZero(encoded, reply_keys::kHistoryId);
  reply.requesterIncarnation =
      Incarnation{numberOrZero(encoded, reply_keys::kRequesterIncarnation)};
  if (encoded.contains(reply_keys::kIncarnations)) {
    reply.incarnations = incarnationsFrom(encoded, reply_keys::kIncarnations);
  }
  reply.promisedBallot = ballotFromJson(requiredMember(encoded, reply_keys::kPromisedBallot));
  if (!encoded.contains(reply_keys::kAcceptedBallot)) return reply;
  reply.acceptedBallot = ballotFromJson(encoded.at(reply_keys::kAcceptedBallot));
  reply.sameValue = optionalField(encoded, reply_keys::kSameValue, false);
  if (!reply.sameValue) {
    reply.value = valueFromJson(requiredMember(encoded, reply_keys::kValue), textCache);
  }
  return reply;
}

}  // namespace merlingauge::consensus
