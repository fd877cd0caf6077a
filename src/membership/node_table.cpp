#include "membership/node_table.hpp"

#include <utility>

#include "membership/registry_codec.hpp"

namespace merlingauge::membership {

const NodeInfo* NodeTable::find(const NodeId& id) const {
  const auto found = nodes_.find(id);
  return found == nodes_.end() ? nullptr : &found->second;
}

void NodeTable::put(const NodeInfo& info, Dot dot, TimePoint now) {
  const auto [entry, isNew] = nodes_.try_emplace(info.id);
  if (!isNew) digest_ ^= itemHash(entry->second);
  entry->second = info;
  digest_ ^= itemHash(info);
  records_[info.id] = Record{std::move(dot), {}};
  if (info.isControlNode) controlNodes_.insert(info.id);
  if (info.isDown()) {
    downSince_.try_emplace(info.id, now);
  } else {
    downSince_.erase(info.id);
  }
  ++changeCount_;
}

void NodeTable::erase(const NodeId& id) {
  const auto found = nodes_.find(id);
  if (found == nodes_.end()) return;
  digest_ ^= itemHash(found->second);
  nodes_.erase(found);
  records_.erase(id);
  controlNodes_.erase(id);
  downSince_.erase(id);
  ++changeCount_;
}

void NodeTable::addTo(RangeDigests& digests) const {
  for (const auto& [id, info] : nodes_) digests.at(rangeOf(id.str())) ^= itemHash(info);
}

void NodeTable::appendText(const NodeId& id, std::string& out) const {
  const auto& record = records_.at(id);
  if (record.text.empty()) record.text = encodeNode(nodes_.at(id), record.dot);
  out += record.text;
}

}  // namespace merlingauge::membership
