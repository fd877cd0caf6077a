// register_replica.hpp: what other modules need of the replicated register on this node.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/time.hpp"

namespace merlingauge::consensus {

struct RegisterValue;

/// The newest committed value of the replicated register as this node knows it, and the acceptor
/// state that bears on it. Every node has one, whether it votes or not: a node that does not vote
/// learns committed values by gossip. All calls come from the event-loop thread and return at once.
class RegisterReplica {
 public:
  RegisterReplica() = default;
  virtual ~RegisterReplica() = default;
  RegisterReplica(const RegisterReplica&) = delete;
  RegisterReplica& operator=(const RegisterReplica&) = delete;
  RegisterReplica(RegisterReplica&&) = delete;
  RegisterReplica& operator=(RegisterReplica&&) = delete;

  /// The newest committed value known here. Only committed values are ever shown: an accepted one
  /// may still lose to a higher ballot. Its sequence never decreases.
  [[nodiscard]] virtual const RegisterValue& committedValue() const = 0;
  /// The same value encoded for a receiver that has the configuration text `receiverTextId` (0: it
  /// has none). The reference stays valid until the next call of `learn` or of this function.
  [[nodiscard]] virtual const std::string& committedValueJson(std::uint64_t receiverTextId) = 0;
  /// Decodes a value that another node sent, with the texts cached here. Throws DecodeError on
  /// malformed input, and MissingCachedText on a value that rests on a text that this node lacks.
  [[nodiscard]] virtual RegisterValue decodeValue(const nlohmann::json& encoded) const = 0;
  /// Takes in a value that some node knows to be committed. An older one than the known is ignored.
  virtual void learn(const RegisterValue& value) = 0;
  /// Everything that this node's own acceptor had accepted by this time is covered by
  /// `committedValue`; nothing where this node has no acceptor, or one that has not recovered yet.
  [[nodiscard]] virtual std::optional<TimePoint> ownAcceptedAsOf() const = 0;
};

}  // namespace merlingauge::consensus
