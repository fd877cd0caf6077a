// instance: one server instance as the mesh knows it, and the order of updates on it.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "base/ids.hpp"

namespace merlingauge::membership {

/// The state of one run of one server. Each node holds one copy; copies are joined by keeping the
/// one of higher precedence (see InstancePrecedence).
struct Instance {
  /// Only rises within one run (a chain, hence a join-semilattice): an instance that drains never
  /// becomes available again, and one that is gone stays gone.
  enum class Status : std::uint8_t { available, draining, gone };

  InstanceId id;
  ServiceName service;  ///< empty on a node that learnt only that the instance is gone
  std::string address;  ///< ip:port of the server itself
  ZoneName zone;
  int capacity = 1;  ///< relative weight, at least 1
  Status status = Status::available;
  /// Of the heartbeat that this state rests on. Only the server raises it, like the incarnation
  /// number of SWIM: a later heartbeat refutes an earlier suspicion.
  std::uint64_t sequence = 0;
  /// Orders the changes that the reporter makes between two heartbeats; 0 with a new heartbeat.
  std::uint32_t reporterEdit = 0;
  bool warmingUp = false;
  /// Its heartbeats have stopped. Overrides the same sequence and edit without this mark (SWIM:
  /// suspect overrides alive of the same incarnation); the next heartbeat clears it.
  bool unresponsive = false;
  int failingTenths = 0;  ///< tenths of its responses that fail, as its reporter sees them, 0 to 10
  NodeId reporter;        ///< the node that receives its heartbeats

  /// May new requests be sent to it?
  [[nodiscard]] bool isUsable() const { return status == Status::available && !unresponsive; }
  /// Gone or unresponsive: kept only so that older updates on it do not revive it.
  [[nodiscard]] bool isClosed() const { return status == Status::gone || unresponsive; }
};

/// The order of updates on one instance, most significant field first. It is total and the same on
/// every node, so keeping the higher of two is a join: commutative, associative, idempotent. Hence
/// neither the order of delivery nor a duplicate changes the result (state-based CRDT).
struct InstancePrecedence {
  Instance::Status status = Instance::Status::available;
  std::uint64_t sequence = 0;
  std::uint32_t reporterEdit = 0;
  bool unresponsive = false;
  auto operator<=>(const InstancePrecedence&) const = default;
};

inline InstancePrecedence precedenceOf(const Instance& instance) {
  return {instance.status, instance.sequence, instance.reporterEdit, instance.unresponsive};
}

/// Do both say the same of the server, whoever reports it and whatever the heartbeat?
inline bool describeSameState(const Instance& left, const Instance& right) {
  return left.status == right.status && left.capacity == right.capacity &&
         left.address == right.address && left.warmingUp == right.warmingUp &&
         left.service == right.service;
}

/// The reporterEdit that puts `update` after `held` when both rest on the same heartbeat.
inline std::uint32_t nextReporterEdit(const Instance& held, const Instance& update) {
  return update.sequence == held.sequence ? held.reporterEdit + 1 : 0;
}

}  // namespace merlingauge::membership
