// request_body: collects the body of a request before it is handled.
#pragma once

#include <functional>
#include <string>

#include "http/server_exchange.hpp"

namespace merlingauge::rpc {

/// Calls `onComplete` once with the whole body: at once where it has come already, else when its
/// last byte does. Not called where the client goes away first. Event-loop thread.
void whenBodyComplete(const http::ServerExchange::Ptr& exchange,
                      std::function<void(const std::string& body)> onComplete);

}  // namespace merlingauge::rpc
