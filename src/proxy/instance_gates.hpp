// instance_gates.hpp: who is let through to the instances beside this node, and who waits.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "event/event_loop.hpp"
#include "membership/instance_registry.hpp"
#include "proxy/admission_queue.hpp"
#include "proxy/failure_rate_reporter.hpp"

namespace merlingauge::proxy {

/// A request that waits in a gate's queue.
class QueuedRequest {
 public:
  virtual ~QueuedRequest() = default;
  /// It has left the queue: it holds a slot now (`admitted`), or its time is up.
  virtual void onDequeued(bool admitted) = 0;
  /// The same in a turn of the loop of its own: it may start now, or has to be rejected. Not called
  /// for one that is over.
  virtual void onTurn(bool admitted) = 0;
  [[nodiscard]] virtual bool isOver() const = 0;
};

/// The gate of one incarnation of an instance.
struct InstanceGate {
  explicit InstanceGate(int slots) : queue(slots) {}
  AdmissionQueue queue;
  std::optional<TimePoint> closesAt;  ///< draining: nothing new is passed on from here on
  std::map<AdmissionQueue::Ticket, std::weak_ptr<QueuedRequest>> waiting;
  event::EventLoop::TimerId timer = 0;  ///< for the queue's next deadline; 0: not set
  FailureRateReporter failures;
};

/// The gates by instance, and the timers of their queues. Lives as long as the ingress;
/// event-loop thread only.
class InstanceGates {
 public:
  /// `drainTimeout`: within it after its instance began to drain, a gate closes.
  InstanceGates(event::EventLoop& loop, Duration drainTimeout)
      : loop_(loop), drainTimeout_(drainTimeout) {}

  /// Null: the instance is unknown here. Good until the next `onInstanceUpdate`.
  [[nodiscard]] InstanceGate* find(const InstanceId& id);
  /// The instance beside this node has sent its state: makes, resizes or closes its gate.
  void onInstanceUpdate(const membership::Instance& instance, TimePoint now);
  /// The gate is there and not closed.
  [[nodiscard]] bool isOpen(const InstanceId& id, TimePoint now) const;

  /// A request that the gate's queue has taken waits for its turn.
  void addWaiting(const InstanceId& id, AdmissionQueue::Ticket ticket,
                  std::weak_ptr<QueuedRequest> request);
  /// A waiting request is given up.
  void cancel(const InstanceId& id, AdmissionQueue::Ticket ticket, TimePoint now);
  /// A request that held a slot is over. `took`: how long it was executed; 0: not a measure of it.
  void onRequestEnded(const InstanceId& id, TimePoint now, Duration took);

  /// Requests that run or wait, at all instances.
  [[nodiscard]] int requestCount() const;
  /// "requests,slots" of the instance, as other nodes are told. `without`: requests not counted.
  [[nodiscard]] std::optional<std::string> load(const InstanceId& id, int without) const;

 private:
  void apply(const InstanceId& id, const AdmissionQueue::Transitions& transitions);
  void dequeue(InstanceGate& gate, AdmissionQueue::Ticket ticket, bool admitted);
  void closeAt(const InstanceId& id, InstanceGate& gate, TimePoint at, TimePoint now);
  void armTimer(const InstanceId& id, InstanceGate& gate);

  event::EventLoop& loop_;
  Duration drainTimeout_;
  std::map<InstanceId, InstanceGate> gates_;
};

}  // namespace merlingauge::proxy
