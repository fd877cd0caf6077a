#include "simulation/register/network.hpp"

#include <utility>

namespace merlingauge::test::register_world {

Network::Network(const Scenario& scenario, Clock& clock, Fleet& fleet)
    : clock_(clock), fleet_(fleet), loss_(number(scenario, "loss", 0)) {
  const auto delays = linesOf(scenario, "delay");
  if (!delays.empty()) {
    lowestDelayMs_ = std::stod(delays[0]->words.at(1));
    highestDelayMs_ = std::stod(delays[0]->words.at(2));
  }
  for (const auto* line : linesOf(scenario, "link")) {
    const auto& words = line->words;
    SlowLink link{words.at(1), words.at(2),          std::stod(words.at(3)), std::stod(words.at(4)),
                  0,           words.at(5) == "lost"};
    if (!link.loses) link.extraMs = std::stod(words[5]);
    slowLinks_.push_back(std::move(link));
  }
}

void Network::deliver(const NodeId& from, const NodeId& to, std::function<void()> work) {
  if (from != to) {
    if (cuts_.contains(from) || cuts_.contains(to)) return;
    if (!healed_ && clock_.chance(loss_)) return;
  }
  double extraMs = 0;
  for (const auto& link : slowLinks_) {
    if (link.from != from.str() || link.to != to.str()) continue;
    if (clock_.ms() < link.beginMs || clock_.ms() >= link.endMs) continue;
    if (link.loses) return;
    extraMs = link.extraMs;
  }
  double delayMs = from == to ? 0 : clock_.uniform(lowestDelayMs_, highestDelayMs_) + extraMs;
  const double frozenForMs = fleet_.at(to.str()).frozenUntilMs - clock_.ms();
  if (frozenForMs > 0) delayMs += frozenForMs;
  clock_.after(delayMs, std::move(work));
}

void Network::cut(const NodeId& node, double forMs) {
  cuts_.insert(node);
  clock_.after(forMs, [this, node] { cuts_.erase(node); });
}

void Network::heal() {
  healed_ = true;
  cuts_.clear();
}

}  // namespace merlingauge::test::register_world
