#include "node/graceful_shutdown.hpp"

#include <Poco/Logger.h>

#include <algorithm>

namespace merlingauge::node {

namespace {
// By then callers (readiness) and other nodes (gossip) have noticed that this node shuts down.
constexpr Duration kAcceptWhileDraining = std::chrono::milliseconds(2300);
// Left of the grace period for the exit itself.
constexpr Duration kExitMargin = std::chrono::milliseconds(400);
// A control node waits for its replacement as a voter for this long, or half of the grace period.
constexpr Duration kHandOverTimeout = std::chrono::seconds(3);
// One tick: the last responses and the last gossip still leave the sockets.
constexpr Duration kFlushTime = std::chrono::milliseconds(100);

Poco::Logger& logger() { return Poco::Logger::get("node"); }
}  // namespace

GracefulShutdown::GracefulShutdown(event::EventLoop& loop, const Settings& settings,
                                   Lifecycle& lifecycle, const ShutdownParticipants& participants)
    : loop_(loop), settings_(settings), lifecycle_(lifecycle), participants_(participants) {}

void GracefulShutdown::begin() {
  if (lifecycle_.isShuttingDown()) return;
  lifecycle_.onShutdown(loop_.now());
  logger().information("shutting down, requests in flight are finished first");
  participants_.registry.announceShutdown();
  participants_.gossip.notifyUpdate();
  participants_.listeners.drain();
}

void GracefulShutdown::tick() {
  if (!lifecycle_.isShuttingDown() || finished_) return;
  const Duration elapsed = loop_.now() - *lifecycle_.shutdownSince();
  const bool accepting = participants_.egress != nullptr && elapsed < kAcceptWhileDraining;
  // The response of a request that is over may still wait for a slow reader.
  const bool idle =
      requestsInFlight() == 0 && !participants_.listeners.hasUnacknowledgedResponses();
  if (!accepting) rejectNewRequests();
  const Duration limit = std::max(Duration(0), settings_.gracePeriod - kExitMargin);
  const bool done = idle && !accepting && elapsed > kFlushTime && hasHandedOver(elapsed);
  if (done || elapsed > limit) finish();
}

int GracefulShutdown::requestsInFlight() const {
  const int outgoing = participants_.egress ? participants_.egress->inFlight() : 0;
  const int incoming = participants_.ingress ? participants_.ingress->running() : 0;
  return outgoing + incoming;
}

void GracefulShutdown::rejectNewRequests() {
  if (participants_.egress) participants_.egress->rejectNewRequests(true);
  if (participants_.ingress) participants_.ingress->rejectNewRequests();
}

// A control node votes on until the voters no longer need it, or can't replace it. Nor does it end
// as the only one that holds its updates, or with a change under way.
bool GracefulShutdown::hasHandedOver(Duration elapsed) {
  if (!settings_.isControlNode()) return true;
  if (elapsed > std::min(kHandOverTimeout, settings_.gracePeriod / 2)) return true;
  if (participants_.registerService.hasPendingWork()) return false;
  const auto view = participants_.voterSet.view(loop_.now());
  return !replacementIsDue(view) && isReplicated(view);
}

// This node votes, and the next voter set is known and does without it.
bool GracefulShutdown::replacementIsDue(const consensus::VoterSetView& view) const {
  const auto& registerService = participants_.registerService;
  if (!registerService.recovered()) return false;
  if (!registerService.committedValue().isVoter(settings_.nodeId)) return false;
  const auto next = consensus::nextVoterSet(view);
  return next && std::find(next->begin(), next->end(), settings_.nodeId) == next->end();
}

// Enough others hold the last update of this node, and with it all that came before.
bool GracefulShutdown::isReplicated(const consensus::VoterSetView& view) const {
  const auto isAvailableOther = [&](const consensus::ControlNodeView& node) {
    return node.id != settings_.nodeId && node.heardRecently && !node.unavailable();
  };
  const auto others = std::count_if(view.nodes.begin(), view.nodes.end(), isAvailableOther);
  const auto required = std::min(settings_.faultTolerance + 1, static_cast<std::size_t>(others));
  return participants_.gossip.replicaCount(participants_.registry.selfDot()) >= required;
}

void GracefulShutdown::finish() {
  finished_ = true;
  participants_.gossip.stop();
  logger().information("stopped");
  loop_.after(kFlushTime, [this] { loop_.stop(); });
}

}  // namespace merlingauge::node
