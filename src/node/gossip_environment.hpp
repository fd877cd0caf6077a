// gossip_environment: the gossip service's clock, timers and network on an event loop.
#pragma once

#include <utility>

#include "event/event_loop.hpp"
#include "gossip/environment.hpp"
#include "gossip/wire_keys.hpp"
#include "rpc/peer_rpc.hpp"

namespace merlingauge::node {

/// Both references must outlive it.
class GossipEnvironment : public gossip::Environment {
 public:
  GossipEnvironment(event::EventLoop& loop, rpc::PeerRpc& rpc) : loop_(loop), rpc_(rpc) {}

  [[nodiscard]] TimePoint now() const override { return loop_.now(); }
  [[nodiscard]] TimePoint readClock() const override { return event::EventLoop::readClock(); }
  TimerId runAfter(Duration delay, std::function<void()> task) override {
    return loop_.after(delay, std::move(task));
  }
  void cancel(TimerId timer) override { loop_.cancel(timer); }
  void sendPull(const NodeId& recipient, const nlohmann::json& message, Duration timeout,
                ResponseCallback onResponse) override {
    rpc_.call(recipient, gossip::wire::kPath, message, timeout, std::move(onResponse));
  }

 private:
  event::EventLoop& loop_;
  rpc::PeerRpc& rpc_;
};

}  // namespace merlingauge::node
