#include "gossip/pull_messages.hpp"

#include <algorithm>
#include <utility>

#include "base/json_fields.hpp"
#include "gossip/wire_keys.hpp"
#include "membership/registry_codec.hpp"

namespace merlingauge::gossip {

using membership::SourceId;
using membership::VersionVectorEntries;
using nlohmann::json;
using RangeDigests = membership::RangeDigests;

namespace {
// An age from a peer beyond this (11 days) says no more than this does, and stays far from
// overflow.
constexpr double kLongestAgeMs = 1e9;

std::int64_t wholeMillis(Duration duration) { return duration.count() / 1000; }

// An age is rounded up: rather older than it is.
std::int64_t roundedUpMillis(Duration age) {
  return age.count() > 0 ? (age.count() + 999) / 1000 : age.count() / 1000;
}

std::optional<Duration> optionalAge(const json& message, const char* key) {
  if (!message.contains(key)) return std::nullopt;
  const auto millis = requiredField<double>(message, key);
  return fromMillis(std::clamp(millis, -kLongestAgeMs, kLongestAgeMs));
}

// Moves a member out of a message that has it.
std::optional<json> takeMember(json& message, const char* key) {
  const auto found = message.find(key);
  if (found == message.end()) return std::nullopt;
  return std::move(*found);
}

VersionVectorEntries vectorOf(const json& message) {
  const auto found = message.find(wire::kVector);
  return found == message.end() ? VersionVectorEntries() : membership::entriesFromJson(*found);
}

PullBack pullBackOf(const json& message) {
  if (!message.contains(wire::kPullBack)) return PullBack::none;
  return requiredField<int>(message, wire::kPullBack) > 1 ? PullBack::lowFrequency
                                                          : PullBack::ordinary;
}

std::vector<SourceId> removedSourcesOf(const json& message) {
  std::vector<SourceId> sources;
  const auto found = message.find(wire::kRemovedSources);
  if (found == message.end()) return sources;
  for (const auto& source : *found) {
    sources.emplace_back(decodeAs<std::string>(source, wire::kRemovedSources));
  }
  return sources;
}

std::optional<RangeDigests> rangeDigestsOf(const json& message) {
  const auto found = message.find(wire::kRangeDigests);
  if (found == message.end()) return std::nullopt;
  RangeDigests digests{};
  for (std::size_t range = 0; range < digests.size(); ++range) {
    digests.at(range) = requiredItem<std::uint64_t>(*found, range);
  }
  return digests;
}

PullRequest pullFromJson(json message) {
  PullRequest request;
  request.sender = NodeId(requiredField<std::string>(message, wire::kSender));
  request.valueSequence = requiredField<std::uint64_t>(message, wire::kValueSequence);
  const auto holdMillis = requiredField<std::int64_t>(message, wire::kHoldTime);
  request.holdTime = std::chrono::milliseconds(
      std::clamp<std::int64_t>(holdMillis, 0, wholeMillis(PullRequest::kLongestHold)));
  request.vectorHash = requiredField<std::uint64_t>(message, wire::kVectorHash);
  request.registryDigest = requiredField<std::uint64_t>(message, wire::kRegistryDigest);
  if (message.contains(wire::kConfigTextId)) {
    request.configTextId = requiredField<std::uint64_t>(message, wire::kConfigTextId);
  }
  request.pullBack = pullBackOf(message);
  request.fromControlNode = message.contains(wire::kFromControlNode);
  request.wholeVector = message.contains(wire::kWholeVector);
  request.vectorChanges = vectorOf(message);
  request.removedSources = removedSourcesOf(message);
  if (message.contains(wire::kRepairRanges)) {
    request.repairRanges = requiredField<std::uint32_t>(message, wire::kRepairRanges);
  }
  request.items = takeMember(message, wire::kItems);
  return request;
}
}  // namespace

json toJson(const PullRequest& request) {
  json message = {{wire::kSender, request.sender.str()},
                  {wire::kValueSequence, request.valueSequence},
                  {wire::kHoldTime, wholeMillis(request.holdTime)},
                  {wire::kVectorHash, request.vectorHash},
                  {wire::kRegistryDigest, request.registryDigest}};
  if (request.configTextId) message[wire::kConfigTextId] = *request.configTextId;
  if (request.pullBack != PullBack::none) {
    message[wire::kPullBack] = request.pullBack == PullBack::ordinary ? 1 : 2;
  }
  if (request.fromControlNode) message[wire::kFromControlNode] = 1;
  if (request.wholeVector) message[wire::kWholeVector] = 1;
  if (!request.vectorChanges.empty()) {
    message[wire::kVector] = membership::toJson(request.vectorChanges);
  }
  for (const auto& source : request.removedSources) {
    message[wire::kRemovedSources].push_back(source.str());
  }
  if (request.repairRanges) message[wire::kRepairRanges] = *request.repairRanges;
  if (request.items) message[wire::kItems] = *request.items;
  return message;
}

json toJson(const ProbeRequest& request) {
  return {{wire::kSender, request.sender.str()}, {wire::kProbe, 1}};
}

json toJson(const DiscoveryRequest& request) {
  return {{wire::kSender, request.sender.str()}, {wire::kDiscovery, 1}};
}

json toJson(const ReplicationRequest& request) {
  return {
      {wire::kSender, request.sender.str()}, {wire::kReplicate, 1}, {wire::kItems, request.items}};
}

GossipRequest requestFromJson(json message) {
  // Probes and discovery are answered whoever sends them, so their sender is not asked for.
  const auto sender = [&] {
    return NodeId(optionalField<std::string>(message, wire::kSender, ""));
  };
  if (message.contains(wire::kProbe)) return ProbeRequest{sender()};
  if (message.contains(wire::kDiscovery)) return DiscoveryRequest{sender()};
  if (message.contains(wire::kReplicate)) {
    return ReplicationRequest{sender(), requiredMember(message, wire::kItems)};
  }
  return pullFromJson(std::move(message));
}

PullResponse responseFromJson(json message) {
  PullResponse response;
  if (!message.is_object()) throw DecodeError("response", "not an object");
  if (message.contains(wire::kRetryAfter)) {
    response.retryAfter = optionalAge(message, wire::kRetryAfter);
    return response;
  }
  response.vectorChanges = vectorOf(message);
  response.wantsWholeVector = message.contains(wire::kWantsWholeVector);
  response.rangeDigests = rangeDigestsOf(message);
  response.staleness.knownUpToAge = optionalAge(message, wire::kKnownUpToAge);
  response.staleness.acceptedAsOfAge = optionalAge(message, wire::kAcceptedAsOfAge);
  response.staleness.outOfQuorum = message.contains(wire::kOutOfQuorum);
  response.items = takeMember(message, wire::kItems);
  response.value = takeMember(message, wire::kValue);
  return response;
}

void PullResponseWriter::add(const char* key, const std::string& value) {
  const bool isFirst = text_.size() == 1;
  text_ += isFirst ? "\"" : ",\"";
  text_ += key;
  text_ += "\":";
  text_ += value;
}

void PullResponseWriter::addItems(const std::string& items) { add(wire::kItems, items); }

void PullResponseWriter::addVectorChanges(const VersionVectorEntries& changes) {
  add(wire::kVector, membership::toJson(changes).dump());
}

void PullResponseWriter::addRangeDigests(const RangeDigests& digests) {
  add(wire::kRangeDigests, json(digests).dump());
}

void PullResponseWriter::addValue(const std::string& value) { add(wire::kValue, value); }

void PullResponseWriter::addStaleness(const StalenessReport& report) {
  const auto addAge = [this](const char* key, const std::optional<Duration>& age) {
    if (age) add(key, std::to_string(roundedUpMillis(*age)));
  };
  addAge(wire::kKnownUpToAge, report.knownUpToAge);
  addAge(wire::kAcceptedAsOfAge, report.acceptedAsOfAge);
  if (report.outOfQuorum) add(wire::kOutOfQuorum, "1");
}

std::string PullResponseWriter::finish() { return std::move(text_) + "}"; }

std::string emptyResponse() { return "{}"; }

std::string wholeVectorWantedResponse() { return json{{wire::kWantsWholeVector, 1}}.dump(); }

std::string retryAfterResponse(Duration wait) {
  return json{{wire::kRetryAfter, wholeMillis(wait) + 1}}.dump();
}

std::string replicationResponse(bool holds) {
  return holds ? json{{wire::kHolds, 1}}.dump() : emptyResponse();
}

bool holdsItems(const json& replicationResponse) {
  return replicationResponse.is_object() && replicationResponse.contains(wire::kHolds);
}

std::string toDiscoveryResponse(const std::vector<DiscoveredControlNode>& nodes) {
  json list = json::array();
  for (const auto& node : nodes) list.push_back({node.id.str(), node.zone.str()});
  return json{{wire::kControlNodes, std::move(list)}}.dump();
}

std::vector<DiscoveredControlNode> discoveryResponseFromJson(const json& message) {
  std::vector<DiscoveredControlNode> nodes;
  for (const auto& entry : requiredMember(message, wire::kControlNodes)) {
    nodes.push_back({NodeId(requiredItem<std::string>(entry, 0)),
                     ZoneName(requiredItem<std::string>(entry, 1))});
  }
  return nodes;
}

}  // namespace merlingauge::gossip
