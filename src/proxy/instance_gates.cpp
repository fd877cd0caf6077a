#include "proxy/instance_gates.hpp"

#include <algorithm>
#include <utility>

namespace merlingauge::proxy {

namespace {
// Part of the drain timeout after which a draining instance is passed nothing new: the other half
// is left for what runs there. So the bound holds whatever the other nodes have heard.
constexpr double kCloseAfterDrainPart = 0.5;
}  // namespace

InstanceGate* InstanceGates::find(const InstanceId& id) {
  const auto it = gates_.find(id);
  return it == gates_.end() ? nullptr : &it->second;
}

bool InstanceGates::isOpen(const InstanceId& id, TimePoint now) const {
  const auto it = gates_.find(id);
  if (it == gates_.end()) return false;
  const auto& closesAt = it->second.closesAt;
  return !closesAt || *closesAt > now;
}

void InstanceGates::onInstanceUpdate(const membership::Instance& instance, TimePoint now) {
  const bool available = instance.status == membership::Instance::Status::available;
  auto* gate = find(instance.id);
  if (gate == nullptr) {
    // Gates of earlier incarnations are dropped when a new one comes, once nothing is left there.
    std::erase_if(gates_, [](const auto& entry) {
      const auto& old = entry.second;
      return old.closesAt && old.queue.running() == 0 && old.waiting.empty();
    });
    gate = &gates_.emplace(instance.id, InstanceGate(instance.capacity)).first->second;
    // It drained before this incarnation of the node began: an earlier one may have acknowledged
    // it.
    if (!available) gate->closesAt = now;
  }
  gate->queue.setSlots(instance.capacity);
  if (available || gate->closesAt) return;
  const bool gone = instance.status == membership::Instance::Status::gone;
  const auto drain = fromSeconds(toSeconds(drainTimeout_) * kCloseAfterDrainPart);
  closeAt(instance.id, *gate, gone ? now : now + drain, now);
}

void InstanceGates::closeAt(const InstanceId& id, InstanceGate& gate, TimePoint at, TimePoint now) {
  gate.closesAt = at;
  loop_.after(at - now, [this, id] {
    auto* closing = find(id);
    if (closing == nullptr) return;
    AdmissionQueue::Transitions transitions;
    transitions.expired = closing->queue.rejectAll();
    apply(id, transitions);
  });
}

void InstanceGates::addWaiting(const InstanceId& id, AdmissionQueue::Ticket ticket,
                               std::weak_ptr<QueuedRequest> request) {
  auto* gate = find(id);
  if (gate == nullptr) return;
  gate->waiting[ticket] = std::move(request);
  armTimer(id, *gate);
}

void InstanceGates::cancel(const InstanceId& id, AdmissionQueue::Ticket ticket, TimePoint now) {
  auto* gate = find(id);
  if (gate == nullptr) return;
  gate->waiting.erase(ticket);
  apply(id, gate->queue.cancel(ticket, now));
}

void InstanceGates::onRequestEnded(const InstanceId& id, TimePoint now, Duration took) {
  auto* gate = find(id);
  if (gate != nullptr) apply(id, gate->queue.onRequestEnded(now, took));
}

int InstanceGates::requestCount() const {
  int sum = 0;
  for (const auto& [id, gate] : gates_) sum += gate.queue.running() + gate.queue.queued();
  return sum;
}

std::optional<std::string> InstanceGates::load(const InstanceId& id, int without) const {
  const auto it = gates_.find(id);
  if (it == gates_.end()) return std::nullopt;
  const auto& queue = it->second.queue;
  const int requests = std::max(0, queue.running() + queue.queued() - without);
  return std::to_string(requests) + "," + std::to_string(queue.slots());
}

void InstanceGates::apply(const InstanceId& id, const AdmissionQueue::Transitions& transitions) {
  auto* gate = find(id);
  if (gate == nullptr) return;
  for (const auto ticket : transitions.admitted) dequeue(*gate, ticket, true);
  for (const auto ticket : transitions.expired) dequeue(*gate, ticket, false);
  armTimer(id, *gate);
}

void InstanceGates::dequeue(InstanceGate& gate, AdmissionQueue::Ticket ticket, bool admitted) {
  const auto it = gate.waiting.find(ticket);
  if (it == gate.waiting.end()) return;
  const auto request = it->second.lock();
  gate.waiting.erase(it);
  if (!request) return;
  request->onDequeued(admitted);
  // Not from inside whatever made room: each starts in a turn of its own.
  loop_.defer([request, admitted] {
    if (!request->isOver()) request->onTurn(admitted);
  });
}

void InstanceGates::armTimer(const InstanceId& id, InstanceGate& gate) {
  loop_.cancel(gate.timer);
  gate.timer = 0;
  const TimePoint first = gate.queue.nextDeadline();
  if (first == TimePoint::max()) return;
  // A millisecond more: the queue drops what is past its deadline, not what has just reached it.
  gate.timer = loop_.after(first - loop_.now() + fromMillis(1), [this, id] {
    auto* due = find(id);
    if (due == nullptr) return;
    due->timer = 0;
    apply(id, due->queue.tick(loop_.now()));
  });
}

}  // namespace merlingauge::proxy
