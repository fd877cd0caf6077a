// wire_format: positions and letters of the registry's items in the peer protocol. The bytes are
// fixed: two versions run side by side during a rolling upgrade.
#pragma once

#include <cstddef>

/// An item is a JSON list whose first element names its kind. Receivers skip kinds they do not know
/// and elements after the last one named here, so that later versions may add both.
namespace merlingauge::membership::wire {

/// One element of an item: where it stands, and its name for errors.
struct Element {
  std::size_t position = 0;
  const char* name = "";
};

inline constexpr Element kKind{0, "item.kind"};
inline constexpr const char* kInstanceKind = "s";
inline constexpr const char* kNodeKind = "n";

/// An item of kind "s": an update on one instance.
namespace instance {
inline constexpr Element kId{1, "instance.id"};
inline constexpr Element kService{2, "instance.service"};    ///< empty: not known
inline constexpr Element kAddress{3, "instance.address"};    ///< ip:port
inline constexpr Element kZone{4, "instance.zone"};          ///< name
inline constexpr Element kCapacity{5, "instance.capacity"};  ///< weight; below 1 is read as 1
inline constexpr Element kStatus{6, "instance.status"};      ///< number of Instance::Status
inline constexpr Element kSequence{7, "instance.sequence"};  ///< of its heartbeat
inline constexpr Element kReporterEdit{8, "instance.reporterEdit"};  ///< count since that heartbeat
inline constexpr Element kFlags{9, "instance.flags"};                ///< sum of the bits below
inline constexpr Element kFailingTenths{10, "instance.failingTenths"};  ///< 0 to 10
inline constexpr Element kReporter{11, "instance.reporter"};            ///< node id
inline constexpr Element kDotSource{12, "instance.dot.source"};         ///< "NODE/INCARNATION"
inline constexpr Element kDotCounter{13, "instance.dot.counter"};
inline constexpr Element kClosedFor{14, "instance.closedFor"};  ///< ms since it closed; 0 if open

inline constexpr int kWarmingUpFlag = 1;
inline constexpr int kUnresponsiveFlag = 2;
}  // namespace instance

/// An item of kind "n": an update on one node.
namespace node {
inline constexpr Element kId{1, "node.id"};
inline constexpr Element kZone{2, "node.zone"};                ///< name
inline constexpr Element kFlags{3, "node.flags"};              ///< sum of the bits below
inline constexpr Element kInfoVersion{4, "node.infoVersion"};  ///< orders its updates
inline constexpr Element kIncarnation{5, "node.incarnation"};
inline constexpr Element kDotSource{6, "node.dot.source"};  ///< "NODE/INCARNATION"
inline constexpr Element kDotCounter{7, "node.dot.counter"};

inline constexpr int kControlNodeFlag = 1;
inline constexpr int kShuttingDownFlag = 2;
inline constexpr int kUnresponsiveFlag = 4;
inline constexpr int kRecoveredFlag = 8;
}  // namespace node

}  // namespace merlingauge::membership::wire
