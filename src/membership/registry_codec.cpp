#include "membership/registry_codec.hpp"

#include <algorithm>

#include "base/decode_error.hpp"
#include "base/json_fields.hpp"
#include "membership/wire_format.hpp"

namespace merlingauge::membership {

using nlohmann::json;

namespace {

template <class T>
T decodeElement(const json& item, const wire::Element& element) {
  return requiredItem<T>(item, element.position, element.name);
}

template <class Id>
Id decodeId(const json& item, const wire::Element& element) {
  return Id(decodeElement<std::string>(item, element));
}

Dot decodeDot(const json& item, const wire::Element& source, const wire::Element& counter) {
  return {decodeId<SourceId>(item, source), decodeElement<std::uint64_t>(item, counter)};
}

Instance::Status decodeStatus(const json& item) {
  const auto& element = wire::instance::kStatus;
  const int number = decodeElement<int>(item, element);
  if (number < 0 || number > static_cast<int>(Instance::Status::gone)) {
    throw DecodeError(element.name, "no status has number " + std::to_string(number));
  }
  return static_cast<Instance::Status>(number);
}

int flagsOf(const Instance& instance) {
  return (instance.warmingUp ? wire::instance::kWarmingUpFlag : 0) +
         (instance.unresponsive ? wire::instance::kUnresponsiveFlag : 0);
}

int flagsOf(const NodeInfo& info) {
  return (info.isControlNode ? wire::node::kControlNodeFlag : 0) +
         (info.shuttingDown ? wire::node::kShuttingDownFlag : 0) +
         (info.unresponsive ? wire::node::kUnresponsiveFlag : 0) +
         (info.recovered ? wire::node::kRecoveredFlag : 0);
}

}  // namespace

ItemKind kindOf(const json& item) {
  const auto kind = decodeElement<std::string>(item, wire::kKind);
  if (kind == wire::kInstanceKind) return ItemKind::instance;
  if (kind == wire::kNodeKind) return ItemKind::node;
  return ItemKind::unknown;
}

InstanceUpdate decodeInstance(const json& item) {
  namespace at = wire::instance;
  InstanceUpdate update;
  auto& instance = update.instance;
  instance.id = decodeId<InstanceId>(item, at::kId);
  instance.service = decodeId<ServiceName>(item, at::kService);
  instance.address = decodeElement<std::string>(item, at::kAddress);
  instance.zone = decodeId<ZoneName>(item, at::kZone);
  instance.capacity = std::max(1, decodeElement<int>(item, at::kCapacity));
  instance.status = decodeStatus(item);
  instance.sequence = decodeElement<std::uint64_t>(item, at::kSequence);
  instance.reporterEdit = decodeElement<std::uint32_t>(item, at::kReporterEdit);
  const int flags = decodeElement<int>(item, at::kFlags);
  instance.warmingUp = (flags & at::kWarmingUpFlag) != 0;
  instance.unresponsive = (flags & at::kUnresponsiveFlag) != 0;
  instance.failingTenths = decodeElement<int>(item, at::kFailingTenths);
  instance.reporter = decodeId<NodeId>(item, at::kReporter);
  update.dot = decodeDot(item, at::kDotSource, at::kDotCounter);
  const auto closedForMillis = decodeElement<std::int64_t>(item, at::kClosedFor);
  update.closedFor = fromMillis(static_cast<double>(std::max<std::int64_t>(0, closedForMillis)));
  return update;
}

NodeUpdate decodeNode(const json& item) {
  namespace at = wire::node;
  NodeUpdate update;
  auto& info = update.info;
  info.id = decodeId<NodeId>(item, at::kId);
  info.zone = decodeId<ZoneName>(item, at::kZone);
  const int flags = decodeElement<int>(item, at::kFlags);
  info.isControlNode = (flags & at::kControlNodeFlag) != 0;
  info.shuttingDown = (flags & at::kShuttingDownFlag) != 0;
  info.unresponsive = (flags & at::kUnresponsiveFlag) != 0;
  info.recovered = (flags & at::kRecoveredFlag) != 0;
  info.infoVersion = decodeElement<std::uint64_t>(item, at::kInfoVersion);
  info.incarnation = Incarnation{decodeElement<std::uint64_t>(item, at::kIncarnation)};
  update.dot = decodeDot(item, at::kDotSource, at::kDotCounter);
  return update;
}

VersionVectorEntries entriesFromJson(const json& document) {
  VersionVectorEntries entries;
  for (const auto& [source, counter] : document.items()) {
    entries[SourceId(source)] = decodeAs<std::uint64_t>(counter, source);
  }
  return entries;
}

// In the order of wire::instance.
std::string encodeInstanceWithoutAge(const Instance& instance, const Dot& dot) {
  const auto item =
      json::array({wire::kInstanceKind, instance.id.str(), instance.service.str(), instance.address,
                   instance.zone.str(), instance.capacity, static_cast<int>(instance.status),
                   instance.sequence, instance.reporterEdit, flagsOf(instance),
                   instance.failingTenths, instance.reporter.str(), dot.source.str(), dot.counter});
  std::string text = item.dump();
  text.back() = ',';  // in place of the closing bracket
  return text;
}

void appendWithAge(const std::string& textWithoutAge, Duration closedFor, std::string& out) {
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(closedFor).count();
  out += textWithoutAge;
  out += std::to_string(millis);
  out += ']';
}

// In the order of wire::node.
std::string encodeNode(const NodeInfo& info, const Dot& dot) {
  return json::array({wire::kNodeKind, info.id.str(), info.zone.str(), flagsOf(info),
                      info.infoVersion, info.incarnation.value, dot.source.str(), dot.counter})
      .dump();
}

json toJson(const VersionVectorEntries& entries) {
  json document = json::object();
  for (const auto& [source, counter] : entries) document[source.str()] = counter;
  return document;
}

}  // namespace merlingauge::membership
