#include "membership/instance_table.hpp"

#include <utility>

#include "membership/registry_codec.hpp"

namespace merlingauge::membership {

const InstanceItem* InstanceTable::find(const InstanceId& id) const {
  const auto found = items_.find(id);
  return found == items_.end() ? nullptr : &found->second;
}

void InstanceTable::put(Instance instance, Dot dot, TimePoint closedAt) {
  const auto [entry, isNew] = items_.try_emplace(instance.id);
  const auto& [id, item] = *entry;
  if (!isNew) {
    digest_ ^= itemHash(item.instance);
    if (item.instance.service != instance.service) {
      auto& previous = services_[item.instance.service];
      previous.usable.erase(id);
      ++previous.changeCount;
    }
  }
  if (!instance.isClosed()) {
    entry->second.closedAt.reset();
  } else if (!item.closedAt) {
    entry->second.closedAt = closedAt;
  }
  entry->second.instance = std::move(instance);
  entry->second.dot = std::move(dot);
  entry->second.text.clear();
  digest_ ^= itemHash(item.instance);
  auto& service = services_[item.instance.service];
  if (item.instance.isUsable()) {
    service.usable[id] = &item.instance;
  } else {
    service.usable.erase(id);
  }
  ++service.changeCount;
}

void InstanceTable::erase(const InstanceId& id) {
  const auto found = items_.find(id);
  if (found == items_.end()) return;
  const auto& instance = found->second.instance;
  digest_ ^= itemHash(instance);
  auto& service = services_[instance.service];
  service.usable.erase(id);
  ++service.changeCount;
  items_.erase(found);
}

std::vector<Instance> InstanceTable::usableInstances(const ServiceName& service) const {
  std::vector<Instance> usable;
  const auto found = services_.find(service);
  if (found == services_.end()) return usable;
  usable.reserve(found->second.usable.size());
  for (const auto& [id, instance] : found->second.usable) usable.push_back(*instance);
  return usable;
}

std::uint64_t InstanceTable::changeCount(const ServiceName& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second.changeCount;
}

void InstanceTable::addTo(RangeDigests& digests) const {
  for (const auto& [id, item] : items_) digests.at(rangeOf(id.str())) ^= itemHash(item.instance);
}

void InstanceTable::appendText(const InstanceItem& item, TimePoint now, std::string& out) {
  if (item.text.empty()) item.text = encodeInstanceWithoutAge(item.instance, item.dot);
  appendWithAge(item.text, item.closedAt ? now - *item.closedAt : Duration(0), out);
}

}  // namespace merlingauge::membership
