#include "node/metrics_endpoint.hpp"

#include <Poco/Exception.h>
#include <Poco/Logger.h>
#include <Poco/Net/SocketAddress.h>

#include "base/errors.hpp"

namespace merlingauge::node {

namespace {
// A monitoring system or two.
constexpr std::size_t kMaxConnections = 8;
constexpr int kOk = 200;
// Of the text format that prometheus::TextSerializer writes.
constexpr const char* kContentType = "text/plain; version=0.0.4; charset=utf-8";
}  // namespace

MetricsEndpoint::MetricsEndpoint(event::EventLoop& loop, const Settings& settings,
                                 const MetricsReport& report,
                                 const std::shared_ptr<http::ResponseInvariantCounters>& invariants)
    : report_(report) {
  if (!settings.metrics) return;
  path_ = settings.metrics->path;
  try {
    open(loop, settings, invariants);
  } catch (const Poco::Exception& error) {
    Poco::Logger::get("node").warning("no metrics on port " +
                                      std::to_string(settings.metrics->port) + ": " +
                                      error.displayText());
  }
}

void MetricsEndpoint::open(event::EventLoop& loop, const Settings& settings,
                           const std::shared_ptr<http::ResponseInvariantCounters>& invariants) {
  const Poco::Net::SocketAddress address(settings.nodeId.str(), settings.metrics->port);
  listener_ = std::make_unique<http::HttpListener>(loop, address, kMaxConnections);
  listener_->context->invariants = invariants;
  listener_->context->onExchange = [this](const http::ServerExchange::Ptr& exchange) {
    handle(*exchange);
  };
}

void MetricsEndpoint::handle(http::ServerExchange& exchange) const {
  const auto& request = exchange.request;
  if (request.getURI() != path_) {
    exchange.respondError(ErrorKind::unknownOperation);
  } else if (request.getMethod() != Poco::Net::HTTPRequest::HTTP_GET) {
    exchange.respondError(ErrorKind::methodNotAllowed);
  } else {
    exchange.respond(kOk, "OK", report_.text(), kContentType);
  }
}

}  // namespace merlingauge::node
