#include "proxy/exchange_relay.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "proxy/service_headers.hpp"

namespace merlingauge::proxy {

using Failure = http::ClientExchange::Failure;
using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;

namespace {
// Bytes of a response that may wait for a slow client: enough to keep its connection busy, little
// enough for thousands of clients.
constexpr std::size_t kPauseAboveBytes = 256 * 1024;
}  // namespace

std::string_view ReplayBuffer::takeFrom(http::ServerExchange& client) {
  const auto had = bytes_.size();
  bytes_.append(client.receivedBody);
  client.receivedBody.clear();
  return std::string_view(bytes_).substr(had);
}

bool ReplayBuffer::checkLength() {
  replayable_ = replayable_ && bytes_.size() <= kMaxReplayBytes;
  return replayable_;
}

void ReplayBuffer::onPassedOn() {
  if (!replayable_) bytes_.clear();
}

HTTPRequest upstreamRequest(const http::ServerExchange& client, TimePoint deadline, TimePoint now,
                            http::HeaderFilter isDropped) {
  HTTPRequest request(client.request.getMethod(), client.request.getURI(), HTTPMessage::HTTP_1_1);
  http::copyHeaders(client.request, request, isDropped);
  const std::int64_t leftMs = (deadline - now).count() / 1000;
  request.set(service_headers::kDeadlineMs, std::to_string(std::max<std::int64_t>(1, leftMs)));
  return request;
}

void forwardBody(const http::ServerExchange& client, std::string_view bytes,
                 http::ClientExchange& upstream) {
  upstream.sendBody(bytes);
  if (client.bodyComplete) upstream.endBody();
}

void applyBackpressure(const http::ServerExchange& client, http::ClientExchange& upstream) {
  upstream.pauseReading(client.unsentBytes() > kPauseAboveBytes);
}

void releaseCallbacks(event::EventLoop& loop, http::ServerExchange& client,
                      std::shared_ptr<const void> owner) {
  loop.defer([onBody = std::move(client.onBody), onClientGone = std::move(client.onClientGone),
              onFlushed = std::move(client.onFlushed), owner = std::move(owner)] {});
  client.onBody = nullptr;
  client.onClientGone = nullptr;
  client.onFlushed = nullptr;
}

bool countsAgainstInstance(Failure failure) {
  return failure != Failure::notSent && failure != Failure::staleConnection;
}

void learnFromFailure(http::IdleTimeoutEstimator& idleTimeouts, const ServiceName& service,
                      std::optional<Duration> idleTime, Failure failure, TimePoint now) {
  if (!idleTime) return;
  if (failure == Failure::staleConnection) {
    idleTimeouts.onStaleConnection(service, *idleTime, now);
  } else if (failure == Failure::invalidResponse) {
    idleTimeouts.onOutOfStep(service, now);
  }
}

}  // namespace merlingauge::proxy
