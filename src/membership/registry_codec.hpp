// registry_codec: the registry's items and version vectors as JSON of the peer protocol.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "base/time.hpp"
#include "membership/dot.hpp"
#include "membership/instance.hpp"
#include "membership/node_info.hpp"
#include "membership/version_vector.hpp"

namespace merlingauge::membership {

/// An instance as a peer holds it. The age travels as a duration since clocks are not comparable.
struct InstanceUpdate {
  Instance instance;
  Dot dot;
  Duration closedFor{};  ///< how long ago the instance closed; 0 while it is open
};

/// A node as a peer holds it.
struct NodeUpdate {
  NodeInfo info;
  Dot dot;
};

/// What an item is about; an unknown kind comes from a later version and is skipped.
enum class ItemKind : std::uint8_t { instance, node, unknown };

/// The decoders throw DecodeError, with the name of the element in wire_format.hpp as its field.
ItemKind kindOf(const nlohmann::json& item);
InstanceUpdate decodeInstance(const nlohmann::json& item);
NodeUpdate decodeNode(const nlohmann::json& item);
VersionVectorEntries entriesFromJson(const nlohmann::json& document);

/// The text of an instance item up to its last element, the only one that changes with time: it can
/// be kept for as long as the instance stays as it is.
std::string encodeInstanceWithoutAge(const Instance& instance, const Dot& dot);
/// Appends such a text, completed, to `out`.
void appendWithAge(const std::string& textWithoutAge, Duration closedFor, std::string& out);
std::string encodeNode(const NodeInfo& info, const Dot& dot);
nlohmann::json toJson(const VersionVectorEntries& entries);

}  // namespace merlingauge::membership
