// metrics_report: the node's counters and gauges in the Prometheus text format.
#pragma once

#include <prometheus/metric_family.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "node/listeners.hpp"
#include "node/status_report.hpp"

namespace merlingauge::node {

/// Built from the counters that the parts of the node keep anyway: nothing is counted twice, and
/// nothing is spent between two scrapes. Names and labels are described in docs/operations.md.
/// Event-loop thread only.
class MetricsReport {
 public:
  /// All that is referred to must outlive the report.
  MetricsReport(const StatusSources& sources, const Listeners& listeners)
      : sources_(sources), listeners_(listeners) {}
  /// The text of one scrape.
  [[nodiscard]] std::string text() const;

 private:
  using Families = std::vector<prometheus::MetricFamily>;

  void addNode(Families& families) const;
  void addEgress(Families& families) const;
  void addIngress(Families& families) const;
  void addReceivedResponses(Families& families) const;
  void addListeners(Families& families) const;
  void addPeerTraffic(Families& families) const;
  void addMembership(Families& families) const;
  void addInvariants(Families& families) const;

  StatusSources sources_;
  const Listeners& listeners_;
};

}  // namespace merlingauge::node
