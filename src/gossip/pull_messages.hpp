// pull_messages: the messages of the pull protocol as types, and their JSON. wire_keys.hpp has the
// keys.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "membership/instance_registry.hpp"

namespace merlingauge::gossip {

/// A node asks to be pulled from by the node that it pulls from, so that its own updates get out.
enum class PullBack : std::uint8_t { none, ordinary, lowFrequency };

/// Asks a peer for updates, and tells it how far this node has come.
struct PullRequest {
  NodeId sender;
  /// Sequence of the committed register value that the sender has.
  std::uint64_t valueSequence = 0;
  /// How long the request may be held until there is an update (long poll); at most kLongestHold.
  Duration holdTime{};
  /// Hash of the sender's whole version vector. The receiver applies `vectorChanges` and
  /// `removedSources` to what it remembers of the sender and compares the hash, so that both never
  /// disagree for longer than one pull.
  std::uint64_t vectorHash = 0;
  std::uint64_t registryDigest = 0;
  std::optional<std::uint64_t> configTextId;
  PullBack pullBack = PullBack::none;
  bool fromControlNode = false;
  /// `vectorChanges` is the whole version vector.
  bool wholeVector = false;
  membership::VersionVectorEntries vectorChanges;
  std::vector<membership::SourceId> removedSources;
  /// The ranges, one bit each, whose items are asked for; `items` has the sender's own of them.
  std::optional<std::uint32_t> repairRanges;
  std::optional<nlohmann::json> items;

  /// A longer hold time is cut to this: it bounds how long a peer can keep an exchange open here.
  static constexpr Duration kLongestHold = std::chrono::seconds(5);
};

/// Asks whether a node is there.
struct ProbeRequest {
  NodeId sender;
};

/// Asks a node for the control nodes that it knows.
struct DiscoveryRequest {
  NodeId sender;
};

/// Asks a control node to hold updates of the sender, which may end before anybody pulls them.
struct ReplicationRequest {
  NodeId sender;
  nlohmann::json items;  ///< list of registry items
};

using GossipRequest = std::variant<PullRequest, ProbeRequest, DiscoveryRequest, ReplicationRequest>;

nlohmann::json toJson(const PullRequest& request);
nlohmann::json toJson(const ProbeRequest& request);
nlohmann::json toJson(const DiscoveryRequest& request);
nlohmann::json toJson(const ReplicationRequest& request);
/// Throws DecodeError. The items are moved out of `message`.
GossipRequest requestFromJson(nlohmann::json message);

/// How far the knowledge of whoever answers a pull reaches, as ages at the arrival of that pull:
/// two nodes have no clock in common. A negative age is a time after the arrival.
struct StalenessReport {
  /// Everything that was chosen up to then is known to the sender.
  std::optional<Duration> knownUpToAge;
  /// Everything that the sender's own acceptor had accepted by then is known to the sender.
  std::optional<Duration> acceptedAsOfAge;
  /// The sender is a control node without contact to a quorum of the voters.
  bool outOfQuorum = false;
};

/// The response to a pull as the puller reads it.
struct PullResponse {
  /// The receiver can't send the whole state now; nothing else is in the response.
  std::optional<Duration> retryAfter;
  std::optional<nlohmann::json> items;
  membership::VersionVectorEntries vectorChanges;
  bool wantsWholeVector = false;
  std::optional<membership::RangeDigests> rangeDigests;
  /// The committed register value, still encoded: it may rest on a text cached here.
  std::optional<nlohmann::json> value;
  StalenessReport staleness;
  /// More items are to come: the vector entries come with the last of them.
  [[nodiscard]] bool isPart() const { return items && !items->empty() && vectorChanges.empty(); }
};

/// Throws DecodeError. Items and value are moved out of `message`.
PullResponse responseFromJson(nlohmann::json message);

/// Builds the response to a pull as text: the registry keeps its items as text, and to parse them
/// only to write them again would be most of a control node's processor time.
class PullResponseWriter {
 public:
  /// `items`: text of a JSON list.
  void addItems(const std::string& items);
  void addVectorChanges(const membership::VersionVectorEntries& changes);
  void addRangeDigests(const membership::RangeDigests& digests);
  /// `value`: text of the encoded register value.
  void addValue(const std::string& value);
  void addStaleness(const StalenessReport& report);
  /// The whole response. Nothing may be added afterwards.
  [[nodiscard]] std::string finish();

 private:
  void add(const char* key, const std::string& value);

  std::string text_ = "{";
};

/// Responses without updates, as text.
std::string emptyResponse();
std::string wholeVectorWantedResponse();
std::string retryAfterResponse(Duration wait);

/// Response to a ReplicationRequest. `holds`: the items are held by a control node that counts.
std::string replicationResponse(bool holds);
bool holdsItems(const nlohmann::json& replicationResponse);

/// One control node as bootstrap discovery tells of it.
struct DiscoveredControlNode {
  NodeId id;
  ZoneName zone;  ///< empty where the answering node does not know it
};

std::string toDiscoveryResponse(const std::vector<DiscoveredControlNode>& nodes);
/// Throws DecodeError.
std::vector<DiscoveredControlNode> discoveryResponseFromJson(const nlohmann::json& message);

}  // namespace merlingauge::gossip
