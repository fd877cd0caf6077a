#include "node/status_report.hpp"

#include <vector>

#include "base/time.hpp"
#include "consensus/voter_set.hpp"

namespace merlingauge::node {

using membership::Instance;
using nlohmann::json;

namespace {

// Ages above this are of something that never was: they are counted from StalenessBound::kNever.
constexpr Duration kNeverAge = std::chrono::hours(24 * 365);

json ageInMillis(Duration age) {
  return age > kNeverAge ? json(nullptr) : json(age.count() / 1000);
}

const char* statusName(Instance::Status status) {
  switch (status) {
    case Instance::Status::available:
      return "available";
    case Instance::Status::draining:
      return "draining";
    case Instance::Status::gone:
      return "gone";
  }
  return "";
}

json nodeNames(const std::vector<NodeId>& nodes) {
  json names = json::array();
  for (const auto& node : nodes) names.push_back(node.str());
  return names;
}

}  // namespace

json StatusReport::build() const {
  json report = general();
  report["control"] = peerTraffic();
  report["nodes"] = nodes();
  report["servers"] = instances();
  if (sources_.settings.isControlNode()) {
    report["margin"] = consensus::quorumMargin(sources_.voterSet.view(sources_.loop.now()));
    report["authority"] = sources_.gossip.hasQuorumLease();
    report["authority_age_ms"] = ageInMillis(sources_.gossip.quorumContactAge());
  }
  if (sources_.egress != nullptr) report["egress"] = egress();
  if (sources_.ingress != nullptr) report["ingress"] = ingress();
  report["violations"] = violations();
  return report;
}

json StatusReport::general() const {
  const auto& registerService = sources_.registerService;
  const auto& committed = registerService.committedValue();
  const auto& gossip = sources_.gossip;
  return {{"node", sources_.settings.nodeName},
          {"version", MERLINGAUGE_VERSION},
          {"ready", sources_.readiness.isReady()},
          {"revision", committed.revision().value},
          {"in_force", sources_.configApplier.revision().value},
          {"epoch", committed.epoch},
          {"voters", nodeNames(committed.voters)},
          {"voters_before", nodeNames(committed.previousVoters)},
          {"votes", registerService.isVoter() && registerService.recovered()},
          {"disk_trouble", registerService.storageFailing()},
          {"news_age_ms", gossip.controlContactAge().count() / 1000},
          {"current", gossip.isUpToDate()},
          {"known_age_ms", ageInMillis(gossip.stalenessAge())}};
}

json StatusReport::instances() const {
  json list = json::array();
  for (const auto& instance : sources_.registry.instances()) {
    list.push_back({{"instance", instance.id.str()},
                    {"service", instance.service.str()},
                    {"address", instance.address},
                    {"zone", instance.zone.str()},
                    {"slots", instance.capacity},
                    {"status", statusName(instance.status)},
                    {"silent", instance.unresponsive},
                    {"failing_tenths", instance.failingTenths},
                    {"beats_to", instance.reporter.str()}});
  }
  return list;
}

json StatusReport::nodes() const {
  json list = json::array();
  for (const auto& [node, info] : sources_.registry.nodes()) {
    list.push_back({{"node", node.str()},
                    {"zone", info.zone.str()},
                    {"core", info.isControlNode},
                    {"leaving", info.shuttingDown},
                    {"silent", info.unresponsive},
                    {"awake", info.recovered},
                    {"heard", sources_.controlNodes.heardRecently(node)}});
  }
  return list;
}

json StatusReport::peerTraffic() const {
  const auto& traffic = sources_.rpc.traffic();
  json report = {{"asked", traffic.requestsSent},
                 {"asked_bytes", traffic.requestBytesSent},
                 {"told_bytes", traffic.responseBytesReceived},
                 {"served", traffic.requestsReceived},
                 {"served_bytes", traffic.requestBytesReceived},
                 {"answered_bytes", traffic.responseBytesSent},
                 {"pulling", sources_.gossip.pullTargetCount()},
                 {"pulled_from", sources_.gossip.pendingPollCount()}};
  if (sources_.store != nullptr) report["syncs"] = sources_.store->commitCount();
  return report;
}

json StatusReport::egress() const {
  const auto& stats = sources_.egress->stats();
  return {{"requests", stats.requests},
          {"served", stats.served},
          {"refused", stats.rejected},
          {"failed", stats.failed},
          {"sent_on", stats.attempts},
          {"dialled", sources_.upstreamPool.connectionsOpened()},
          {"in_flight", sources_.egress->inFlight()},
          {"services", egressServices()}};
}

json StatusReport::egressServices() const {
  json services = json::object();
  for (const auto& [service, view] : sources_.egress->subsetViews(sources_.loop.now())) {
    services[service.str()] = {{"in_range", view.selected},
                               {"known", view.known},
                               {"left_alone", view.ejected},
                               {"connections_each", view.connections}};
  }
  return services;
}

// Of each invariant, also those never violated.
json StatusReport::violations() const {
  json report = json::object();
  for (const auto invariant : http::kResponseInvariants) {
    report[http::nameOf(invariant)] = sources_.invariants.violations(invariant);
  }
  return report;
}

json StatusReport::ingress() const {
  const auto& stats = sources_.ingress->stats();
  return {{"admitted", stats.admitted},      {"queued", stats.queued},
          {"full", stats.overloaded},        {"not_there", stats.unavailable},
          {"unclear", stats.unknownOutcome}, {"dialled", sources_.serverPool.connectionsOpened()}};
}

}  // namespace merlingauge::node
