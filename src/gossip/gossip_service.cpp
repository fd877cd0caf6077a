#include "gossip/gossip_service.hpp"

#include <utility>

namespace merlingauge::gossip {

namespace {
// What is kept of a node that pulls from others by now, or is gone. Many times the longest interval
// between two of its pulls.
constexpr Duration kForgetPullerAfter = std::chrono::seconds(20);
}  // namespace

GossipService::GossipService(const GossipDependencies& dependencies, GossipOptions options,
                             GossipObserver& observer)
    : dependencies_(dependencies),
      options_(std::move(options)),
      observer_(observer),
      directory_(dependencies_, options_),
      selector_(dependencies_, options_, directory_),
      contacts_(dependencies_, options_),
      lease_(dependencies_, options_),
      discovery_(dependencies_, options_, directory_, *this),
      client_(
          {dependencies_, options_, observer_, *this, directory_, selector_, contacts_, lease_}),
      server_(
          {dependencies_, options_, observer_, *this, directory_, selector_, contacts_, lease_}),
      replicator_(dependencies_, options_, directory_) {}

void GossipService::tick() {
  if (stopped_) return;
  updateLease();
  discovery_.tick();
  if (!discovery_.done()) return;
  if (client_.reselectIfDue()) forgetOld();
  client_.sendDuePulls();
}

void GossipService::handlePull(nlohmann::json message, GossipReplyCallback reply) {
  server_.handle(requestFromJson(std::move(message)), std::move(reply));
}

void GossipService::reselectSoon() {
  client_.requestReselection();
  dependencies_.environment.runAfter(Duration(0), [this] { tick(); });
}

void GossipService::updateLease() {
  const auto change = lease_.update();
  if (change == QuorumLease::Change::none) return;
  observer_.onLeaseChange(change == QuorumLease::Change::gained);
  // Whoever waits here for updates is told to look elsewhere.
  if (change == QuorumLease::Change::lost) server_.answerAll();
}

void GossipService::forgetOld() {
  server_.forgetUnheard(kForgetPullerAfter);
  selector_.forgetOld(kForgetPullerAfter);
  contacts_.forgetUnknown(kForgetPullerAfter);
}

void GossipService::stop() {
  stopped_ = true;
  discovery_.stop();
  client_.stop();
  server_.stop();
  replicator_.stop();
}

}  // namespace merlingauge::gossip
