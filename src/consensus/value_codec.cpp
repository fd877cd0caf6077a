#include "consensus/value_codec.hpp"

#include <charconv>
#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/decode_error.hpp"
#include "base/json_fields.hpp"
#include "consensus/wire_keys.hpp"

namespace merlingauge::consensus {

using config::ChangeHistory;
using config::ConfigText;
using config::ConfigTextCache;
using nlohmann::json;

namespace {
namespace value_keys = wire_keys::value;
namespace history_keys = wire_keys::history;

// Bytes below which a text is sent as it is: packing it saves less than a packet.
constexpr std::size_t kPlainTextMax = 2048;
// A difference is worth sending only if it is below this part of the text; packed text is about so
// large.
constexpr std::size_t kDeltaPart = 8;
// A ballot number that leaves room for all that come after it: a larger one is no proposer's.
constexpr std::uint64_t kMaxBallotNumber = std::uint64_t{1} << 62U;

json toJson(const std::vector<NodeId>& nodes) {
  json encoded = json::array();
  for (const auto& node : nodes) encoded.push_back(node.str());
  return encoded;
}

std::vector<NodeId> nodesFrom(const json& object, const char* key) {
  std::vector<NodeId> nodes;
  for (auto& name : requiredField<std::vector<std::string>>(object, key)) {
    nodes.emplace_back(std::move(name));
  }
  return nodes;
}

// The text itself, or the shortest form of it that the receiver can use.
void writeText(const ConfigText& text, const ReceiverState& receiver,
               const ConfigTextCache* textCache, json& out) {
  out[value_keys::kTextId] = text.id();
  if (receiver.textId == text.id()) return;
  if (text.text().size() <= kPlainTextMax) {
    out[value_keys::kPlainText] = text.text();
    return;
  }
  const bool mayHaveBase = textCache != nullptr && receiver.textId != 0;
  if (const auto base = mayHaveBase ? textCache->find(receiver.textId) : nullptr) {
    const auto& delta = text.deltaFrom(*base);
    if (delta.size() < text.text().size() / kDeltaPart) {
      out[value_keys::kTextDelta] = delta;
      out[value_keys::kDeltaBase] = receiver.textId;
      return;
    }
  }
  if (receiver.wantsLargeText) {
    out[value_keys::kPackedText] = text.packed();
  } else {
    out[value_keys::kTextOmitted] = 1;
  }
}

ConfigText::Ptr readDelta(const json& encoded, std::uint64_t id, const ConfigTextCache& textCache) {
  const auto base = textCache.find(requiredField<std::uint64_t>(encoded, value_keys::kDeltaBase));
  if (!base) throw MissingCachedText("the text that a difference is from is not cached");
  const auto delta = requiredField<std::string>(encoded, value_keys::kTextDelta);
  return ConfigText::fromDelta(*base, delta, id);
}

// Null where the text was left out and is not cached either.
ConfigText::Ptr readText(const json& encoded, const ConfigTextCache* textCache) {
  const auto id = requiredField<std::uint64_t>(encoded, value_keys::kTextId);
  auto text = textCache == nullptr ? nullptr : textCache->find(id);
  if (text || encoded.contains(value_keys::kTextOmitted)) return text;
  if (encoded.contains(value_keys::kPlainText)) {
    text = ConfigText::create(requiredField<std::string>(encoded, value_keys::kPlainText));
  } else if (encoded.contains(value_keys::kPackedText)) {
    const auto packed = requiredField<std::string>(encoded, value_keys::kPackedText);
    text = ConfigText::fromPacked(packed, id);
  } else if (encoded.contains(value_keys::kTextDelta) && textCache != nullptr) {
    text = readDelta(encoded, id, *textCache);
  } else {
    throw MissingCachedText("a text is only named and not cached");
  }
  if (!text || text->id() != id) {
    throw DecodeError(value_keys::kTextId, "not the id of the text that was sent");
  }
  return text;
}

// What the receiver lacks: what comes after the history that it has, or all from the floor on.
json writeHistory(const ChangeHistory& history, std::uint64_t receiverHistoryId) {
  json encoded = {{history_keys::kId, history.id()}};
  if (receiverHistoryId == history.id()) return encoded;
  encoded[history_keys::kFloor] = history.floor().value;
  const auto later = receiverHistoryId == 0 ? std::nullopt : history.packedSince(receiverHistoryId);
  if (later) {
    encoded[history_keys::kBase] = receiverHistoryId;
    encoded[history_keys::kEntries] = *later;
  } else {
    encoded[history_keys::kSeed] = history.seed();
    encoded[history_keys::kEntries] = history.packed();
  }
  return encoded;
}

ChangeHistory::Ptr readWholeHistory(const json& encoded, Revision floor) {
  const auto seed = requiredField<std::uint64_t>(encoded, history_keys::kSeed);
  const auto entries = requiredField<std::string>(encoded, history_keys::kEntries);
  try {
    return ChangeHistory::unpack(floor, seed, entries);
  } catch (const DecodeError& error) {
    throw DecodeError(history_keys::kEntries, error.reason());
  }
}

ChangeHistory::Ptr readLaterHistory(const json& encoded, std::uint64_t id, Revision floor,
                                    const ConfigTextCache& textCache) {
  const auto base =
      textCache.findHistory(requiredField<std::uint64_t>(encoded, history_keys::kBase));
  if (!base) throw MissingCachedText("the history that entries come after is not cached");
  const auto entries = requiredField<std::string>(encoded, history_keys::kEntries);
  try {
    return base->appendPacked(entries, floor, id);
  } catch (const DecodeError& error) {
    throw DecodeError(history_keys::kEntries, error.reason());
  }
}

ChangeHistory::Ptr readHistory(const json& encoded, const ConfigTextCache* textCache) {
  const auto id = requiredField<std::uint64_t>(encoded, history_keys::kId);
  auto history = textCache == nullptr ? nullptr : textCache->findHistory(id);
  if (history) return history;
  const Revision floor{optionalField(encoded, history_keys::kFloor, std::int64_t{0})};
  if (floor.value < 0) throw DecodeError(history_keys::kFloor, "below 0");
  if (encoded.contains(history_keys::kSeed)) {
    history = readWholeHistory(encoded, floor);
  } else if (encoded.contains(history_keys::kBase) && textCache != nullptr) {
    history = readLaterHistory(encoded, id, floor, *textCache);
  } else {
    throw MissingCachedText("a history is only named and not cached");
  }
  if (!history || history->id() != id) {
    throw DecodeError(history_keys::kId, "not the id of the history that was sent");
  }
  return history;
}

// What the first of these changes built on is not known: it only gives the floor.
ChangeHistory::Ptr readLegacyHistory(const json& object) {
  constexpr std::size_t kDigestDigits = 16;  // 64 bits in hex
  constexpr int kHex = 16;
  ChangeHistory::Ptr history;
  for (const auto& item : requiredField<std::vector<json>>(object, value_keys::kLegacyHistory)) {
    const Revision revision{requiredItem<std::int64_t>(item, 0)};
    const auto hex = requiredItem<std::string>(item, 1).substr(0, kDigestDigits);
    std::uint64_t digest = 0;
    std::from_chars(hex.data(), hex.data() + hex.size(), digest, kHex);
    if (history && revision <= history->lastRevision()) {
      throw DecodeError(value_keys::kLegacyHistory, "revisions that do not rise");
    }
    history = history ? history->extendedBy({revision, digest})
                      : std::make_shared<ChangeHistory>(revision);
  }
  return history;
}
}  // namespace

json toJson(const Ballot& ballot) { return json::array({ballot.number, ballot.author.str()}); }

Ballot ballotFromJson(const json& encoded) {
  Ballot ballot;
  ballot.number = requiredItem<std::uint64_t>(encoded, 0);
  ballot.author = NodeId(requiredItem<std::string>(encoded, 1));
  if (ballot.number > kMaxBallotNumber) throw DecodeError("item 0", "ballot number too large");
  return ballot;
}

json toJson(const RegisterValue& value, const ReceiverState& receiver,
            const ConfigTextCache* textCache) {
  json encoded = {{value_keys::kSequence, value.sequence},
                  {value_keys::kEpoch, value.epoch},
                  {value_keys::kVoters, toJson(value.voters)}};
  if (!value.uniqueId.empty()) encoded[value_keys::kUniqueId] = value.uniqueId;
  if (value.config) {
    writeText(*value.config, receiver, textCache, encoded);
    encoded[value_keys::kConfigRevision] = value.configRevision.value;
  }
  if (value.history && receiver.wantsHistory) {
    encoded[value_keys::kHistory] = writeHistory(*value.history, receiver.historyId);
  }
  if (!value.previousVoters.empty()) {
    encoded[value_keys::kPreviousVoters] = toJson(value.previousVoters);
  }
  return encoded;
}

RegisterValue valueFromJson(const json& encoded, const ConfigTextCache* textCache) {
  RegisterValue value;
  value.sequence = requiredField<std::uint64_t>(encoded, value_keys::kSequence);
  value.epoch = requiredField<std::uint64_t>(encoded, value_keys::kEpoch);
  value.voters = nodesFrom(encoded, value_keys::kVoters);
  value.uniqueId = optionalField<std::string>(encoded, value_keys::kUniqueId, "");
  if (encoded.contains(value_keys::kConfigRevision)) {
    value.config = readText(encoded, textCache);
    if (!value.config) {
      value.missingTextId = requiredField<std::uint64_t>(encoded, value_keys::kTextId);
    }
    value.configRevision =
        Revision{requiredField<std::int64_t>(encoded, value_keys::kConfigRevision)};
  }
  if (encoded.contains(value_keys::kPreviousVoters)) {
    value.previousVoters = nodesFrom(encoded, value_keys::kPreviousVoters);
  }
  if (encoded.contains(value_keys::kHistory)) {
    value.history = readHistory(encoded.at(value_keys::kHistory), textCache);
  } else if (encoded.contains(value_keys::kLegacyHistory)) {
    value.history = readLegacyHistory(encoded);
  }
  if (value.history && value.history->lastRevision() != value.configRevision) {
    throw DecodeError(value_keys::kHistory, "of another revision than the configuration");
  }
  return value;
}

}  // namespace merlingauge::consensus
