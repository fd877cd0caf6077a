// egress_attempt.hpp: one attempt of a client's request at one instance.
#pragma once

#include <Poco/Net/HTTPResponse.h>

#include <memory>
#include <string>

#include "base/ids.hpp"
#include "event/event_loop.hpp"
#include "http/client_exchange.hpp"
#include "proxy/upstream_transport.hpp"

namespace merlingauge::proxy {

/// Held by its EgressRequest while its response is awaited, and by the callbacks of its exchange.
struct EgressAttempt {
  InstanceId endpoint;
  http::ClientExchange::Ptr exchange;
  event::EventLoop::TimerId silenceTimer = 0;  ///< 0: not set
  std::string heldBody;                        ///< of the response, not yet sent to the client
  std::unique_ptr<Poco::Net::HTTPResponse> response;  ///< head for the client, once it has come
  http::BodyFraming responseFraming;
  ResponseInfo responseInfo;
  bool answered = false;  ///< the response's head has come
  bool silent = false;    ///< has shown no sign of life for too long
  bool counted = false;   ///< counts in the instance's load
};

using EgressAttemptPtr = std::shared_ptr<EgressAttempt>;

}  // namespace merlingauge::proxy
