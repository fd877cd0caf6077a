#include "simulation/gossip/fleet.hpp"

#include <algorithm>
#include <utility>

#include "consensus/value_codec.hpp"

namespace merlingauge::test {

using consensus::Acceptor;
using consensus::RegisterValue;
using consensus::StalenessBound;
using nlohmann::json;

namespace {
constexpr int kSeeds = 3;
// After a disturbance a node has this long to catch up.
constexpr double kSettleMs = 3000;
// As long as a restarted control node waits for its neighbours' registry.
constexpr double kThrottleAfterRestartMs = 1500;
}  // namespace

// Of one run of a node: a timer of an earlier run does nothing.
class Fleet::NodeEnvironment final : public gossip::Environment {
 public:
  NodeEnvironment(Fleet& fleet, SimulatedNode& node) : fleet_(fleet), node_(node) {}
  [[nodiscard]] TimePoint now() const override { return fleet_.clock_.now(); }
  [[nodiscard]] TimePoint readClock() const override { return fleet_.clock_.now(); }
  TimerId runAfter(Duration delay, std::function<void()> task) override {
    const auto timer = ++fleet_.lastTimer_;
    fleet_.clock_.at(fleet_.clock_.now() + delay, [&fleet = fleet_, &node = node_, run = node_.run,
                                                   timer, task = std::move(task)] {
      if (fleet.cancelledTimers_.erase(timer) == 0 && node.run == run) task();
    });
    return timer;
  }
  void cancel(TimerId timer) override { fleet_.cancelledTimers_.insert(timer); }
  void sendPull(const NodeId& recipient, const json& message, Duration timeout,
                ResponseCallback onResponse) override {
    fleet_.network_.send(node_, fleet_.at(recipient.str()), message.dump(), timeout,
                         std::move(onResponse));
  }

 private:
  Fleet& fleet_;
  SimulatedNode& node_;
};

class Fleet::NodeReplica final : public consensus::RegisterReplica {
 public:
  NodeReplica(Fleet& fleet, SimulatedNode& node) : fleet_(fleet), node_(node) {}
  [[nodiscard]] const RegisterValue& committedValue() const override { return node_.committed; }
  [[nodiscard]] const std::string& committedValueJson(std::uint64_t) override {
    encoded_ = toJson(node_.committed).dump();
    return encoded_;
  }
  [[nodiscard]] RegisterValue decodeValue(const json& encoded) const override {
    return consensus::valueFromJson(encoded);
  }
  void learn(const RegisterValue& value) override { fleet_.learn(node_, value); }
  [[nodiscard]] std::optional<TimePoint> ownAcceptedAsOf() const override {
    const TimePoint now = fleet_.clock_.now();
    if (fleet_.voters_.empty()) return now;  // values come from scenario lines
    if (!node_.acceptor) return std::nullopt;
    return fleet_.network_.hasFault("ahead") ? now : node_.stalenessBound.ownAsOf(now);
  }

 private:
  Fleet& fleet_;
  SimulatedNode& node_;
  std::string encoded_;
};

class Fleet::NodeObserver final : public gossip::GossipObserver {
 public:
  NodeObserver(Fleet& fleet, SimulatedNode& node) : fleet_(fleet), node_(node) {}
  void onFirstContact(const NodeId& peer) override {
    if (!node_.isControlNode || fleet_.at(peer.str()).isControlNode) return;
    const TimePoint now = fleet_.clock_.now();
    node_.registry->throttleUpdatesUntil(now);
    if (node_.registry->releaseThrottledUpdates(now)) node_.gossip->notifyUpdate();
  }

 private:
  Fleet& fleet_;
  SimulatedNode& node_;
};

Fleet::Fleet(const Scenario& scenario, Clock& clock, SimulatedNetwork& network)
    : scenario_(scenario), clock_(clock), network_(network) {
  const int zones = static_cast<int>(number(scenario_, "zones", 4));
  const int controlNodes = static_cast<int>(number(scenario_, "cores", 5));
  const int sidecars = static_cast<int>(number(scenario_, "sidecars", 12));
  for (int i = 0; i < controlNodes + sidecars; ++i) {
    const bool isControlNode = i < controlNodes;
    const auto name =
        isControlNode ? "c" + std::to_string(i) : "s" + std::to_string(i - controlNodes);
    addNode(name, isControlNode, "z" + std::to_string(i % zones));
  }
  const auto voters = static_cast<std::size_t>(number(scenario_, "voters", 0));
  for (std::size_t i = 0; i < voters; ++i) {
    auto& node = *nodes_.at(i);
    voters_.push_back(node.id);
    const Acceptor first(node.id, Incarnation{clock_.random() >> 1}, true);
    node.disk = consensus::encodeState(first.state());
  }
  for (const auto* line : linesOf(scenario_, "at")) {
    if (line->words.at(2) == "join") at(line->words.at(3)).joinsLater = true;
  }
}

void Fleet::addNode(const std::string& name, bool isControlNode, const std::string& zone) {
  auto node = std::make_unique<SimulatedNode>();
  node->id = NodeId(name);
  node->zone = ZoneName(zone);
  node->isControlNode = isControlNode;
  const int seeds = std::min(kSeeds, static_cast<int>(number(scenario_, "cores", 5)));
  for (int i = 0; i < seeds; ++i) node->seeds.emplace_back("c" + std::to_string(i));
  nodes_.push_back(std::move(node));
}

SimulatedNode& Fleet::at(const std::string& name) {
  for (const auto& node : nodes_) {
    if (node->id.str() == name) return *node;
  }
  throw Broken{"no node " + name};
}

void Fleet::startAll() {
  for (const auto& node : nodes_) {
    if (!node->joinsLater) start(*node);
  }
}

gossip::GossipOptions Fleet::gossipOptions(const SimulatedNode& node) const {
  gossip::GossipOptions options;
  options.self = node.id;
  options.zone = node.zone;
  options.seeds = node.seeds;
  options.isControlNode = node.isControlNode;
  options.receivesHeartbeats = number(scenario_, "edges", 0) == 0;
  options.updateInterval = fromMillis(number(scenario_, "pace", 10));
  options.fullSyncInterval = fromMillis(number(scenario_, "let_in", 3));
  return options;
}

void Fleet::start(SimulatedNode& node) {
  ++node.run;
  node.committed = RegisterValue{};
  node.lowestSequence = 0;
  node.stalenessBound = StalenessBound();
  node.startedAtMs = clock_.ms();
  if (node.disk) {
    node.acceptor.emplace(node.id, consensus::decodeState(*node.disk));
    node.committed.voters = voters_;
    node.stalenessBound.onAccepted(node.acceptor->value().sequence, StalenessBound::kNever);
  }
  // An incarnation that may be lower than the last one: the machine's monotonic clock began anew.
  node.registry = std::make_unique<membership::InstanceRegistry>(
      membership::NodeInfo{node.id, node.zone, node.isControlNode, false, false, 0, Incarnation{}},
      Incarnation{clock_.random() % 1000 + 1});
  node.environment = std::make_unique<NodeEnvironment>(*this, node);
  node.replica = std::make_unique<NodeReplica>(*this, node);
  node.observer = std::make_unique<NodeObserver>(*this, node);
  node.gossip = std::make_unique<gossip::GossipService>(
      gossip::GossipDependencies{*node.environment, *node.registry, *node.replica,
                                 node.stalenessBound},
      gossipOptions(node), *node.observer);
  if (!node.isControlNode) return;
  const double throttleMs = node.run > 1 ? kThrottleAfterRestartMs : 0;
  node.registry->throttleUpdatesUntil(clock_.now() + fromMillis(throttleMs));
}

void Fleet::kill(SimulatedNode& node) {
  ++node.run;
  node.gossip.reset();
}

void Fleet::learn(SimulatedNode& node, const RegisterValue& value) {
  if (value.sequence <= node.committed.sequence) return;
  node.committed = value;
  node.stalenessBound.onLearned(value.sequence);
  require(value.sequence >= node.lowestSequence, "a node went back");
  node.lowestSequence = value.sequence;
  if (value.sequence == newest_ && isSettled(node)) {
    slowestMs_ = std::max(slowestMs_, clock_.ms() - newestAtMs_);
  }
  node.gossip->notifyUpdate();
}

void Fleet::setNewestFrom(std::uint64_t sequence, double atMs) {
  newest_ = sequence;
  newestAtMs_ = atMs;
}

bool Fleet::isSettled(const SimulatedNode& node) const {
  const auto disturbed = disturbedAtMs_.find(node.id);
  return disturbed == disturbedAtMs_.end() || clock_.ms() - disturbed->second > kSettleMs;
}

void Fleet::tick() {
  for (const auto& node : nodes_) {
    if (!node->isUp()) continue;
    node->gossip->tick();
    if (node->isControlNode && node->registry->releaseThrottledUpdates(clock_.now())) {
      node->gossip->notifyUpdate();
    }
  }
  const bool allKnown = std::all_of(nodes_.begin(), nodes_.end(), [this](const auto& node) {
    return node->isUp() && node->registry->nodes().size() == nodes_.size();
  });
  if (allKnownAtMs_ <= 0 && allKnown) allKnownAtMs_ = clock_.ms();
}

void Fleet::requireConverged() const {
  for (const auto& node : nodes_) {
    if (!node->isUp()) continue;
    require(node->committed.sequence == newest_,
            node->id.str() + " has not heard of the newest value");
    require(node->registry->digest() == nodes_[0]->registry->digest(),
            node->id.str() + " has another registry than " + nodes_[0]->id.str());
  }
}

void Fleet::report(std::map<std::string, double>& measured) const {
  const auto usable = nodes_[0]->registry->usableInstances(ServiceName("svc"));
  measured["slowest_ms"] = slowestMs_;
  measured["servers"] = static_cast<double>(usable.size());
  measured["known_ms"] = allKnownAtMs_ > 0 ? allKnownAtMs_ : number(scenario_, "length", 20000);
  measured["ballot"] = 0;
  for (const auto& node : nodes_) {
    if (!node->acceptor) continue;
    const auto ballot = static_cast<double>(node->acceptor->acceptedBallot().number);
    measured["ballot"] = std::max(measured["ballot"], ballot);
  }
}

}  // namespace merlingauge::test
