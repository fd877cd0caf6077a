// metrics_endpoint: the listener that a monitoring system scrapes.
#pragma once

#include <memory>

#include "event/event_loop.hpp"
#include "http/http_listener.hpp"
#include "node/metrics_report.hpp"
#include "node/settings.hpp"

namespace merlingauge::node {

/// Serves GET of the path that the settings name. A port that can't be had is logged, and the node
/// runs on without its metrics. Event-loop thread only.
class MetricsEndpoint {
 public:
  /// Does nothing where the settings name no metrics. `report` must outlive the endpoint.
  /// `invariants`: those of the process.
  MetricsEndpoint(event::EventLoop& loop, const Settings& settings, const MetricsReport& report,
                  const std::shared_ptr<http::ResponseInvariantCounters>& invariants);

 private:
  void open(event::EventLoop& loop, const Settings& settings,
            const std::shared_ptr<http::ResponseInvariantCounters>& invariants);
  void handle(http::ServerExchange& exchange) const;

  const MetricsReport& report_;
  std::string path_;
  std::unique_ptr<http::HttpListener> listener_;
};

}  // namespace merlingauge::node
