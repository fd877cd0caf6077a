#include "rpc/request_body.hpp"

#include <memory>
#include <utility>

namespace merlingauge::rpc {

using http::ServerExchange;

void whenBodyComplete(const ServerExchange::Ptr& exchange,
                      std::function<void(const std::string&)> onComplete) {
  if (exchange->bodyComplete) {
    onComplete(exchange->receivedBody);
    return;
  }
  // `onComplete` usually owns the exchange, so the exchange drops it once it has run or the client
  // is gone: neither would be freed otherwise.
  const std::weak_ptr<ServerExchange> weak = exchange;
  exchange->onBody = [weak, onComplete = std::move(onComplete)] {
    const auto held = weak.lock();
    if (!held || !held->bodyComplete) return;
    const auto run = onComplete;  // dropping the handler destroys this lambda's own copy
    held->onBody = nullptr;
    run(held->receivedBody);
  };
  exchange->onClientGone = [weak] {
    if (const auto held = weak.lock()) held->onBody = nullptr;
  };
}

}  // namespace merlingauge::rpc
