#include "simulation/gossip/simulated_network.hpp"

#include <algorithm>
#include <memory>

#include "gossip/wire_keys.hpp"

namespace merlingauge::test {

using nlohmann::json;

namespace {
// HTTP heads of a request and of a response.
constexpr std::size_t kRequestHeadBytes = 240;
constexpr std::size_t kResponseHeadBytes = 200;
// A message of so many bytes takes the processor twice as long as an empty one.
constexpr double kBytesPerUnitCost = 32768;
}  // namespace

SimulatedNetwork::SimulatedNetwork(const Scenario& scenario, Clock& clock)
    : scenario_(scenario), clock_(clock), lossProbability_(number(scenario, "loss", 0)) {
  for (const auto* line : linesOf(scenario, "fault")) faults_.insert(line->words.at(1));
}

bool SimulatedNetwork::passes(const NodeId& from, const NodeId& to) const {
  const bool cutBothWays = cuts_.contains({from, to}) || cuts_.contains({to, from});
  return !cutBothWays && !oneWayCuts_.contains({from, to});
}

bool SimulatedNetwork::isLinked(const NodeId& left, const NodeId& right) const {
  return passes(left, right) && passes(right, left);
}

bool SimulatedNetwork::arrives(const NodeId& from, const NodeId& to) {
  return passes(from, to) && (lossProbability_ <= 0 || !clock_.chance(lossProbability_));
}

void SimulatedNetwork::cut(const std::vector<NodePair>& pairs) {
  cuts_.insert(pairs.begin(), pairs.end());
}

void SimulatedNetwork::join(const std::vector<NodePair>& pairs) {
  for (const auto& pair : pairs) cuts_.erase(pair);
}

void SimulatedNetwork::cutOneWay(const std::set<NodePair>& pairs) {
  oneWayCuts_.insert(pairs.begin(), pairs.end());
}

void SimulatedNetwork::joinOneWay(const std::set<NodePair>& pairs) {
  for (const auto& pair : pairs) oneWayCuts_.erase(pair);
}

void SimulatedNetwork::send(SimulatedNode& from, SimulatedNode& to, const std::string& body,
                            Duration timeout, ResponseCallback onResponse) {
  auto callback = std::make_shared<ResponseCallback>(std::move(onResponse));
  const auto finish = [&from, run = from.run, callback](std::optional<json> response) {
    if (!*callback || from.run != run) return;
    const auto call = std::exchange(*callback, nullptr);
    call(std::move(response));
  };
  clock_.at(clock_.now() + timeout, [finish] { finish(std::nullopt); });
  countBytes(from, to, body.size() + kRequestHeadBytes);
  const double delay = delayMs();
  clock_.after(delay, [this, &from, &to, body, finish, delay] {
    if (arrives(from.id, to.id)) deliver(from, to, body, finish, delay);
  });
}

// A small machine takes its time over each message, in the order in which they come.
void SimulatedNetwork::runOnProcessor(SimulatedNode& node, std::size_t bytes,
                                      std::function<void()> work) {
  const double unitCostMs = number(scenario_, node.isControlNode ? "core_ms" : "node_ms", 0);
  const auto cost = fromMillis(unitCostMs * (1 + static_cast<double>(bytes) / kBytesPerUnitCost));
  if (cost <= Duration(0)) {
    work();
    return;
  }
  node.busyUntil = std::max(clock_.now(), node.busyUntil) + cost;
  clock_.at(node.busyUntil, std::move(work));
}

// Responses come in one after the other; one that was given up still takes its time.
void SimulatedNetwork::receiveOverLink(SimulatedNode& node, std::size_t bytes,
                                       std::function<void()> work) {
  const double kilobytesPerSecond = number(scenario_, "link_kb_s", 0);
  if (kilobytesPerSecond <= 0 || node.isControlNode) {
    work();
    return;
  }
  const auto transfer = fromMillis(1000 * static_cast<double>(bytes) / 1024 / kilobytesPerSecond);
  node.linkBusyUntil = std::max(clock_.now(), node.linkBusyUntil) + transfer;
  clock_.at(node.linkBusyUntil, std::move(work));
}

void SimulatedNetwork::deliver(SimulatedNode& from, SimulatedNode& to, const std::string& body,
                               const ResponseCallback& finish, double delay) {
  runOnProcessor(to, body.size(), [this, &from, &to, body, finish, delay] {
    if (!to.isUp()) {
      clock_.after(delay, [finish] { finish(std::nullopt); });
      return;
    }
    const double arrivedAt = clock_.ms();
    to.gossip->handlePull(json::parse(body),
                          [this, &from, &to, finish, arrivedAt](const std::string& response) {
                            const auto text = applyFaults(to, response, clock_.ms() - arrivedAt);
                            deliverResponse(from, to, text, finish);
                          });
  });
}

void SimulatedNetwork::deliverResponse(SimulatedNode& from, SimulatedNode& to,
                                       const std::string& text, const ResponseCallback& finish) {
  countBytes(to, from, text.size() + kResponseHeadBytes);
  runOnProcessor(to, text.size(), [this, &from, &to, text, finish] {
    clock_.after(delayMs(), [this, &from, &to, text, finish] {
      if (!arrives(to.id, from.id)) return;
      receiveOverLink(from, text.size(), [this, &from, text, finish] {
        runOnProcessor(from, text.size(), [finish, text] { finish(json::parse(text)); });
      });
    });
  });
}

std::string SimulatedNetwork::applyFaults(const SimulatedNode& from, const std::string& response,
                                          double heldMs) const {
  if (faults_.empty() || !from.isControlNode) return response;
  auto message = json::parse(response);
  if (hasFault("neighbour")) {
    message[gossip::wire::kKnownUpToAge] = -static_cast<std::int64_t>(heldMs);
  }
  if (hasFault("untold")) message.erase(gossip::wire::kOutOfQuorum);
  return message.dump();
}

void SimulatedNetwork::countBytes(const SimulatedNode& from, const SimulatedNode& to,
                                  std::size_t bytes) {
  const bool sameZone = from.zone == to.zone;
  (sameZone ? bytesWithinZones_ : bytesBetweenZones_) += static_cast<double>(bytes);
  if (clock_.ms() < number(scenario_, "burst_from", 0)) return;
  const auto halfSecond = static_cast<std::int64_t>(clock_.ms() / 500);
  for (const auto* node : {&from, &to}) {
    if (node->isControlNode) continue;
    auto& kilobytes = kilobytesPerHalfSecond_[{node->id, halfSecond}];
    kilobytes += static_cast<double>(bytes) / 1024;
    worstBurstKilobytes_ = std::max(worstBurstKilobytes_, kilobytes);
  }
}

void SimulatedNetwork::report(std::map<std::string, double>& measured) const {
  measured["far_kb"] = bytesBetweenZones_ / 1024;
  measured["near_kb"] = bytesWithinZones_ / 1024;
  measured["burst_kb"] = worstBurstKilobytes_;
}

}  // namespace merlingauge::test
