// instance_table: the instances that a node knows, with the usable ones of each service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.hpp"
#include "membership/dot.hpp"
#include "membership/instance.hpp"
#include "membership/range_digest.hpp"

namespace merlingauge::membership {

/// One instance as this node holds it.
struct InstanceItem {
  Instance instance;
  Dot dot;  ///< of the update that `instance` rests on
  /// Since when it has been closed, as counted here; set exactly while instance.isClosed().
  std::optional<TimePoint> closedAt;
  mutable std::string text;  ///< its cached encoding without the age; empty: not encoded yet
};

/// The instances by id, the usable ones by service, and a digest over all of them. Decides nothing:
/// which update is kept is the registry's choice. Event-loop thread only.
class InstanceTable {
 public:
  /// nullptr where the instance is not known; valid until it is erased.
  [[nodiscard]] const InstanceItem* find(const InstanceId& id) const;
  [[nodiscard]] const std::unordered_map<InstanceId, InstanceItem>& items() const { return items_; }
  /// Replaces what is held of the instance. `closedAt` counts only where it was open before.
  void put(Instance instance, Dot dot, TimePoint closedAt);
  void erase(const InstanceId& id);

  [[nodiscard]] std::vector<Instance> usableInstances(const ServiceName& service) const;
  /// Rises whenever an instance of the service was put or erased.
  [[nodiscard]] std::uint64_t changeCount(const ServiceName& service) const;
  /// XOR of the item hashes of all instances.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  /// XORs the item hashes into the digests of their ranges.
  void addTo(RangeDigests& digests) const;
  /// Appends the item in its encoding of the peer protocol; encoded once for each update.
  static void appendText(const InstanceItem& item, TimePoint now, std::string& out);

 private:
  struct Service {
    std::map<InstanceId, const Instance*> usable;  // points into items_
    std::uint64_t changeCount = 0;
  };

  std::unordered_map<InstanceId, InstanceItem> items_;
  std::map<ServiceName, Service> services_;
  std::uint64_t digest_ = 0;
};

}  // namespace merlingauge::membership
