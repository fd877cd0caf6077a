#include "node/metrics_report.hpp"

#include <prometheus/text_serializer.h>

#include <sstream>

#include "http/message_end.hpp"
#include "http/response_invariants.hpp"
#include "proxy/response_log.hpp"

namespace merlingauge::node {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

namespace {

using Labels = std::vector<ClientMetric::Label>;

constexpr double kMicrosPerSecond = 1e6;

MetricFamily family(MetricType type, const std::string& name, const std::string& help) {
  MetricFamily result;
  result.name = "merlingauge_" + name;
  result.help = help;
  result.type = type;
  return result;
}

MetricFamily counters(const std::string& name, const std::string& help) {
  return family(MetricType::Counter, name, help);
}

MetricFamily gauges(const std::string& name, const std::string& help) {
  return family(MetricType::Gauge, name, help);
}

// The value goes where the type of the family has it.
void add(MetricFamily& to, double value, Labels labels = {}) {
  ClientMetric metric;
  metric.label = std::move(labels);
  if (to.type == MetricType::Counter) {
    metric.counter.value = value;
  } else {
    metric.gauge.value = value;
  }
  to.metric.push_back(std::move(metric));
}

void add(MetricFamily& to, std::uint64_t value, Labels labels = {}) {
  add(to, static_cast<double>(value), std::move(labels));
}

MetricFamily gauge(const std::string& name, const std::string& help, double value) {
  auto result = gauges(name, help);
  add(result, value);
  return result;
}

MetricFamily counter(const std::string& name, const std::string& help, std::uint64_t value) {
  auto result = counters(name, help);
  add(result, value);
  return result;
}

void addResponseEnds(MetricFamily& to, proxy::ResponseHop hop,
                     const http::MessageEndCounts& counts) {
  using http::FramingKind;
  using http::MessageEnd;
  for (const auto framing : {FramingKind::none, FramingKind::contentLength, FramingKind::chunked,
                             FramingKind::untilClose}) {
    for (std::size_t i = 0; i < static_cast<std::size_t>(MessageEnd::count); ++i) {
      const auto end = static_cast<MessageEnd>(i);
      const auto count = counts.count(framing, end);
      if (count == 0) continue;
      add(to, count,
          {{"hop", proxy::nameOf(hop)},
           {"framing", http::nameOf(framing)},
           {"end", http::nameOf(end)}});
    }
  }
}

}  // namespace

std::string MetricsReport::text() const {
  Families families;
  addNode(families);
  if (sources_.egress != nullptr) addEgress(families);
  if (sources_.ingress != nullptr) addIngress(families);
  addReceivedResponses(families);
  addListeners(families);
  addPeerTraffic(families);
  addMembership(families);
  addInvariants(families);
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, families);
  return out.str();
}

void MetricsReport::addNode(Families& families) const {
  const auto& committed = sources_.registerService.committedValue();
  const auto& gossip = sources_.gossip;
  auto info = gauges("build_info", "Always 1; the version is a label.");
  add(info, 1.0, {{"version", MERLINGAUGE_VERSION}});
  families.push_back(std::move(info));
  families.push_back(gauge("ready", "1 while this node wants to be sent requests.",
                           sources_.readiness.isReady() ? 1 : 0));
  families.push_back(gauge("config_revision_known", "Newest committed revision known here.",
                           static_cast<double>(committed.revision().value)));
  families.push_back(gauge("config_revision_in_force", "Revision by which requests are routed.",
                           static_cast<double>(sources_.configApplier.revision().value)));
  families.push_back(gauge("voters", "Voters of the register, as known here.",
                           static_cast<double>(committed.voters.size())));
  families.push_back(
      gauge("control_contact_age_seconds", "Since a control node was last heard.",
            static_cast<double>(gossip.controlContactAge().count()) / kMicrosPerSecond));
  families.push_back(gauge("up_to_date", "1 while the known state is within its staleness bound.",
                           gossip.isUpToDate() ? 1 : 0));
  if (!sources_.settings.isControlNode()) return;
  families.push_back(gauge("quorum_lease", "1 while this control node holds its quorum lease.",
                           gossip.hasQuorumLease() ? 1 : 0));
  families.push_back(gauge("storage_failing", "1 while the disk refuses this voter's state.",
                           sources_.registerService.storageFailing() ? 1 : 0));
}

void MetricsReport::addEgress(Families& families) const {
  const auto& stats = sources_.egress->stats();
  families.push_back(counter("requests_total", "Requests received from clients.", stats.requests));
  auto results = counters("request_results_total", "Requests of clients that have ended.");
  add(results, stats.served, {{"result", "served"}});
  add(results, stats.rejected, {{"result", "rejected"}});
  add(results, stats.failed, {{"result", "failed"}});
  families.push_back(std::move(results));
  families.push_back(counter(
      "attempts_total", "Attempts sent to an instance or the node beside it.", stats.attempts));
  families.push_back(gauge("requests_in_flight", "Requests that a client waits for.",
                           sources_.egress->inFlight()));
  families.push_back(counter("upstream_connections_opened_total",
                             "Connections opened for attempts.",
                             sources_.upstreamPool.connectionsOpened()));
}

void MetricsReport::addIngress(Families& families) const {
  const auto& stats = sources_.ingress->stats();
  auto results = counters("ingress_requests_total",
                          "Requests of other nodes for the instance beside this one.");
  add(results, stats.admitted, {{"result", "admitted"}});
  add(results, stats.overloaded, {{"result", "overloaded"}});
  add(results, stats.unavailable, {{"result", "unavailable"}});
  families.push_back(std::move(results));
  families.push_back(
      counter("ingress_queued_total", "Requests that had to wait for a slot.", stats.queued));
  families.push_back(counter("ingress_unknown_outcome_total",
                             "Requests passed on without a whole response.", stats.unknownOutcome));
  families.push_back(counter("instance_connections_opened_total",
                             "Connections opened to the instance beside this node.",
                             sources_.serverPool.connectionsOpened()));
}

void MetricsReport::addReceivedResponses(Families& families) const {
  auto responses = counters("responses_received_total",
                            "Responses received, by their framing and what ended them.");
  if (sources_.egress != nullptr) {
    addResponseEnds(responses, proxy::ResponseHop::egress, sources_.egress->stats().responses);
  }
  if (sources_.ingress != nullptr) {
    addResponseEnds(responses, proxy::ResponseHop::ingress, sources_.ingress->stats().responses);
  }
  families.push_back(std::move(responses));
}

void MetricsReport::addListeners(Families& families) const {
  auto sent = counters("responses_sent_total", "Responses sent, by listener and how they ended.");
  auto open = gauges("connections", "Accepted connections that are open.");
  for (const auto& [name, listener] : listeners_.opened()) {
    const auto& ends = listener->context->responseEnds;
    add(sent, ends.whole, {{"listener", name}, {"end", "whole"}});
    add(sent, ends.partial, {{"listener", name}, {"end", "partial"}});
    add(sent, ends.callerGone, {{"listener", name}, {"end", "caller_gone"}});
    add(open, static_cast<double>(listener->connectionCount()), {{"listener", name}});
  }
  families.push_back(std::move(sent));
  families.push_back(std::move(open));
}

void MetricsReport::addPeerTraffic(Families& families) const {
  const auto& traffic = sources_.rpc.traffic();
  auto messages = counters("peer_messages_total", "Messages between this node and others.");
  add(messages, traffic.requestsSent, {{"direction", "sent"}});
  add(messages, traffic.requestsReceived, {{"direction", "received"}});
  families.push_back(std::move(messages));
  auto bytes = counters("peer_bytes_total", "Bytes of the bodies of messages between nodes.");
  add(bytes, traffic.requestBytesSent, {{"direction", "sent"}, {"kind", "request"}});
  add(bytes, traffic.responseBytesReceived, {{"direction", "received"}, {"kind", "response"}});
  add(bytes, traffic.requestBytesReceived, {{"direction", "received"}, {"kind", "request"}});
  add(bytes, traffic.responseBytesSent, {{"direction", "sent"}, {"kind", "response"}});
  families.push_back(std::move(bytes));
  if (sources_.store == nullptr) return;
  families.push_back(counter("store_commits_total", "Commits of the durable store.",
                             sources_.store->commitCount()));
}

void MetricsReport::addMembership(Families& families) const {
  std::size_t unresponsive = 0;
  for (const auto& [id, node] : sources_.registry.nodes()) unresponsive += node.unresponsive;
  auto nodes = gauges("nodes", "Nodes known here, this one too.");
  add(nodes, static_cast<double>(sources_.registry.nodes().size() - unresponsive),
      {{"state", "responsive"}});
  add(nodes, static_cast<double>(unresponsive), {{"state", "unresponsive"}});
  families.push_back(std::move(nodes));
}

void MetricsReport::addInvariants(Families& families) const {
  auto violations = counters("invariant_violations_total", "Violations; 0 in a sound program.");
  for (const auto invariant : http::kResponseInvariants) {
    add(violations, sources_.invariants.violations(invariant),
        {{"invariant", http::nameOf(invariant)}});
  }
  families.push_back(std::move(violations));
}

}  // namespace merlingauge::node
