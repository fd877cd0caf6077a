// exchange_relay.hpp: what egress and ingress share in passing a request on and a response back.
#pragma once

#include <Poco/Net/HTTPRequest.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "event/event_loop.hpp"
#include "http/client_exchange.hpp"
#include "http/idle_timeout_estimator.hpp"
#include "http/message_headers.hpp"
#include "http/server_exchange.hpp"

namespace merlingauge::proxy {

/// How long a kept connection may have been idle and still carry a request that may be sent twice.
/// A connection found dead costs one more attempt then, so this may be as long as connections are
/// kept.
inline constexpr Duration kIdempotentIdleLimit = std::chrono::seconds(20);

/// The body of one request, held for as long as it may have to be sent again.
class ReplayBuffer {
 public:
  /// Takes what `client` has received. Returns the new bytes, good until the next call.
  std::string_view takeFrom(http::ServerExchange& client);
  /// Stops holding the body if it is longer than `kMaxReplayBytes`. True if it is still held.
  bool checkLength();
  /// Everything here has been passed on: frees it unless it may have to be sent again.
  void onPassedOn();
  [[nodiscard]] bool replayable() const { return replayable_; }
  [[nodiscard]] std::string_view bytes() const { return bytes_; }

 private:
  /// Longer bodies are streamed and can't be sent again: memory per request stays bounded.
  static constexpr std::size_t kMaxReplayBytes = 64 * 1024;

  std::string bytes_;
  bool replayable_ = true;
};

/// The head of a request passed on: method, URI and headers of the client's, without those that
/// `isDropped` names, and with the time that is left, at least 1 ms.
Poco::Net::HTTPRequest upstreamRequest(const http::ServerExchange& client, TimePoint deadline,
                                       TimePoint now, http::HeaderFilter isDropped);
/// Passes `bytes` of the body on, and its end if the client has sent that.
void forwardBody(const http::ServerExchange& client, std::string_view bytes,
                 http::ClientExchange& upstream);
/// Back-pressure: the upstream is not read while the client has much of the response outstanding.
void applyBackpressure(const http::ServerExchange& client, http::ClientExchange& upstream);
/// Takes the callbacks off `client`. They own the request that set them, and one of them may be
/// running: they are destroyed in the loop's next turn, `owner` with them.
void releaseCallbacks(event::EventLoop& loop, http::ServerExchange& client,
                      std::shared_ptr<const void> owner);

/// False for failures that say nothing of the instance's health: no connection came up, or a kept
/// one had been closed. (That is no proof that the request was not read.)
bool countsAgainstInstance(http::ClientExchange::Failure failure);
/// Lets the estimate of trustworthy idle times learn from a failed exchange of `service`.
/// `idleTime`: of its connection before the exchange; nothing for a new connection.
void learnFromFailure(http::IdleTimeoutEstimator& idleTimeouts, const ServiceName& service,
                      std::optional<Duration> idleTime, http::ClientExchange::Failure failure,
                      TimePoint now);

}  // namespace merlingauge::proxy
