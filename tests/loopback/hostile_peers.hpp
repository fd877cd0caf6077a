// hostile_peers: damaged messages of other nodes, through the decoders and the state machines
// behind.
#pragma once

#include <cstddef>
#include <cstdint>

namespace merlingauge::test {

struct MessageCounts {
  std::size_t received = 0;
  std::size_t rejected = 0;  ///< a register message may be rejected by each of three decoders
};

/// Two nodes that pull from each other over a network that damages half of what it carries.
void playHostileGossip(std::uint64_t seed, MessageCounts& counts);
/// Damaged messages of the register.
void playHostileRegister(std::uint64_t seed, MessageCounts& counts);

}  // namespace merlingauge::test
