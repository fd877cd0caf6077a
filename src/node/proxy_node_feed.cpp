#include "node/proxy_node_feed.hpp"

#include <utility>
#include <vector>

namespace merlingauge::node {

ProxyNodeFeed::ProxyNodeFeed(const membership::InstanceRegistry& registry, proxy::Egress* egress)
    : registry_(registry), egress_(egress) {}

void ProxyNodeFeed::update() {
  if (egress_ == nullptr || changesSeen_ == registry_.nodeChangeCount()) return;
  changesSeen_ = registry_.nodeChangeCount();
  std::vector<proxy::ProxyNode> usable;
  std::size_t known = 0;
  for (const auto& [node, info] : registry_.nodes()) {
    if (info.isControlNode) continue;
    ++known;
    if (!info.shuttingDown && !info.unresponsive) usable.push_back({node, info.zone});
  }
  egress_->setProxyNodes(std::move(usable), known);
}

}  // namespace merlingauge::node
